package runner_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/runner"
	"quetzalpier/vault"
	"quetzalpier/wire"
)

func TestStandIn(t *testing.T) {
	// outage starts a node next to the pool's owner while the key-value service
	// is unavailable.
	outage := func(t *testing.T, prepare ...func(*fixture)) *fixture {
		t.Helper()
		return newFixture(t, 1, append(prepare, func(r *fixture) {
			r.kvFailed.Store(true)
			r.board.Update(func(s *board.State) {
				s.Members["o"] = board.Member{ID: "o", Peer: "o:1", Roles: []string{runner.ClassStore}}
				s.Owners["lm"] = board.Owner{Node: "o", Fence: 7}
			})
		})...)
	}
	ranTask := func(r *fixture) func() bool { return func() bool { return len(r.engines[0].Runs()) > 0 } }
	startStandIn := func(t *testing.T, r *fixture, job *quetzalpier.Job) {
		t.Helper()
		require.Eventually(t, func() bool {
			r.runner.StandIn(job)
			return ranTask(r)()
		}, waitTimeout, 5*time.Millisecond)
	}
	storedResults := func(t *testing.T, r *fixture) int {
		t.Helper()
		results, err := r.vault.Results(t.Context(), "j")
		require.NoError(t, err)
		return len(results)
	}
	t.Run("tasks run at once and their results are stored after the outage", func(t *testing.T) {
		r := outage(t)
		job := newJob("j", 1, 5, 5)
		startStandIn(t, r, job)
		require.Eventually(t, func() bool { return len(r.scorer.Runs()) == 2 }, waitTimeout, time.Millisecond)
		require.Zero(t, storedResults(t, r))
		require.False(t, r.runner.Read(context.Background(), &wire.Read{Job: "j"}).GetKnown(), "a stand-in must not answer reads")
		r.putJob(t, job)
		r.kvFailed.Store(false)
		r.board.Update(func(s *board.State) { delete(s.Owners, "lm") })
		r.waitResults(t, "j", 2)
		require.Len(t, r.engines[0].Runs(), 2, "no task may run again")
	})
	t.Run("no stand-in for an owner that responds", func(t *testing.T) {
		r := outage(t, func(r *fixture) {
			r.runner.Call = func(context.Context, string, *wire.Call) (*wire.Reply, error) {
				return &wire.Reply{Kind: &wire.Reply_Accepted{Accepted: &wire.Accepted{}}}, nil
			}
		})
		r.runner.StandIn(newJob("j", 1, 5))
		require.Never(t, ranTask(r), 200*time.Millisecond, 10*time.Millisecond)
	})
	t.Run("a stand-in stops if the owner's key still exists after the outage", func(t *testing.T) {
		r := outage(t)
		startStandIn(t, r, newJob("j", 1, 100000))
		r.kvFailed.Store(false)
		require.Eventually(t, func() bool { return r.engines[0].Streaming() == 0 }, waitTimeout, 10*time.Millisecond)
	})
	t.Run("a stand-in stops at once when there is a new owner", func(t *testing.T) {
		r := outage(t)
		startStandIn(t, r, newJob("j", 1, 100000))
		r.board.Update(func(s *board.State) { s.Owners["lm"] = board.Owner{Node: "p", Fence: 8} })
		require.Eventually(t, func() bool { return r.engines[0].Streaming() == 0 }, waitTimeout, 10*time.Millisecond)
		require.Empty(t, r.lease.Names())
	})
	t.Run("after the takeover no read lacks results that another owner stored", func(t *testing.T) {
		r := outage(t)
		job := newJob("j", 1, 5, 5, 100000)
		startStandIn(t, r, job)
		require.Eventually(t, func() bool { return len(r.scorer.Runs()) == 2 }, waitTimeout, time.Millisecond)
		r.putJob(t, job)
		fence, err := r.kv.CompareAndSwap(t.Context(), vault.Owners+"lm", nil, 0, "")
		require.NoError(t, err)
		earlier := []quetzalpier.Result{{ID: "j-0", Done: true, Text: "text", Score: "score"}, {ID: "j-1"}}
		require.NoError(t, r.vault.AppendResults(t.Context(), "lm", fence, []vault.Page{{Job: "j", Results: earlier}}))
		require.NoError(t, r.kv.Delete(t.Context(), vault.Owners+"lm", fence))
		r.setUnreadable("out/j/")
		r.kvFailed.Store(false)
		r.board.Update(func(s *board.State) { delete(s.Owners, "lm") })
		require.Eventually(t, func() bool { _, held := r.lease.Fence("lm", time.Now()); return held }, waitTimeout, time.Millisecond)
		read := func() *wire.Results { return r.runner.Read(context.Background(), &wire.Read{Job: "j"}) }
		lacks := func() bool { reply := read(); return reply.GetKnown() && len(reply.GetResults()) < len(earlier) }
		require.Never(t, lacks, 300*time.Millisecond, time.Millisecond)
		r.setUnreadable("")
		require.Eventually(t, func() bool { return len(read().GetResults()) == len(earlier) }, waitTimeout, time.Millisecond)
	})
	t.Run("a later job lists no text with the score of another owner's text", func(t *testing.T) {
		r := outage(t)
		job := newJob("j", 1, 5, 100000)
		startStandIn(t, r, job)
		require.Eventually(t, func() bool { return len(r.scorer.Runs()) == 1 }, waitTimeout, time.Millisecond)
		r.putJob(t, job)
		fence, err := r.kv.CompareAndSwap(t.Context(), vault.Owners+"lm", nil, 0, "")
		require.NoError(t, err)
		theirs := quetzalpier.Result{ID: "j-0", Done: true, Text: "theirs", Versions: []quetzalpier.Version{1}, Score: "score of theirs"}
		require.NoError(t, r.vault.AppendResults(t.Context(), "lm", fence, []vault.Page{{Job: "j", Results: []quetzalpier.Result{theirs}}}))
		require.NoError(t, r.kv.Delete(t.Context(), vault.Owners+"lm", fence))
		r.kvFailed.Store(false)
		r.board.Update(func(s *board.State) { delete(s.Owners, "lm") })
		require.Eventually(t, func() bool {
			return len(r.runner.Read(context.Background(), &wire.Read{Job: "j"}).GetResults()) == 1
		}, waitTimeout, time.Millisecond)
		require.NoError(t, r.vault.End(t.Context(), "j", time.Now()))
		later := newJob("k", 1, 5)
		later.Tasks[0] = job.Tasks[0]
		r.putJob(t, later)
		result := r.waitResults(t, "k", 1)["j-0"]
		require.Equal(t, eventText("j-0", 5), result.Text)
		require.Equal(t, "s.rj-0", result.Score)
	})
	t.Run("a job is passed to a node that stands in already", func(t *testing.T) {
		var passed atomic.Int32
		r := outage(t, func(r *fixture) {
			r.board.Update(func(s *board.State) {
				s.Members["p"] = board.Member{ID: "p", Peer: "p:1", Roles: []string{runner.ClassStore}}
			})
			r.runner.Call = func(_ context.Context, peer string, call *wire.Call) (*wire.Reply, error) {
				switch {
				case peer != "p:1":
					return nil, errors.New("no answer")
				case call.GetStandby() != nil:
					return &wire.Reply{Kind: &wire.Reply_Standby{Standby: &wire.Standby{Active: true}}}, nil
				}
				passed.Add(1)
				return &wire.Reply{Kind: &wire.Reply_Accepted{Accepted: &wire.Accepted{}}}, nil
			}
		})
		r.runner.StandIn(newJob("j", 1, 5))
		require.Eventually(t, func() bool { return passed.Load() == 1 }, waitTimeout, time.Millisecond)
		require.Never(t, ranTask(r), 200*time.Millisecond, 10*time.Millisecond)
	})
	t.Run("a candidate leaves the pool to the node that stood in for its owner", func(t *testing.T) {
		standby := atomic.Bool{}
		standby.Store(true)
		r := outage(t, func(r *fixture) {
			r.board.Update(func(s *board.State) {
				s.Members["p"] = board.Member{ID: "p", Peer: "p:1", Roles: []string{runner.ClassStore}}
			})
			r.runner.KVStableFor = func(time.Duration, time.Time) bool { return false }
			r.runner.Call = func(_ context.Context, peer string, call *wire.Call) (*wire.Reply, error) {
				if peer != "p:1" || call.GetStandby() == nil {
					return nil, errors.New("no answer")
				}
				return &wire.Reply{Kind: &wire.Reply_Standby{Standby: &wire.Standby{Pool: call.GetStandby().GetPool(), Active: standby.Load()}}}, nil
			}
		})
		owns := func() bool { _, held := r.lease.Fence("lm", time.Now()); return held }
		r.kvFailed.Store(false)
		r.board.Update(func(s *board.State) { delete(s.Owners, "lm") })
		require.Never(t, owns, 700*time.Millisecond, 5*time.Millisecond)
		require.Eventually(t, owns, waitTimeout, 5*time.Millisecond, "the stand-in did not take it over")
	})
	t.Run("results stored by another owner before the takeover are kept", func(t *testing.T) {
		r := outage(t)
		job := newJob("j", 1, 5, 5, 5)
		startStandIn(t, r, job)
		require.Eventually(t, func() bool { return len(r.scorer.Runs()) == 3 }, waitTimeout, time.Millisecond)
		r.putJob(t, job)
		fence, err := r.kv.CompareAndSwap(t.Context(), vault.Owners+"lm", nil, 0, "")
		require.NoError(t, err)
		earlier := quetzalpier.Result{ID: "j-1"}
		require.NoError(t, r.vault.AppendResults(t.Context(), "lm", fence, []vault.Page{{Job: "j", Results: []quetzalpier.Result{earlier}}}))
		require.NoError(t, r.kv.Delete(t.Context(), vault.Owners+"lm", fence))
		r.kvFailed.Store(false)
		r.board.Update(func(s *board.State) { delete(s.Owners, "lm") })
		results := r.waitResults(t, "j", 3)
		require.False(t, results["j-1"].Done, "the stored result must not be replaced")
	})
}
