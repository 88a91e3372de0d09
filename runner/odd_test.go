package runner_test

import (
	"math"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/platform"
	"quetzalpier/stand"
	"quetzalpier/vault"
	"quetzalpier/wire"
)

// newFixtureWith starts a node whose only engine answers with handler.
func newFixtureWith(t *testing.T, handler fasthttp.RequestHandler) *fixture {
	t.Helper()
	engine, err := stand.Serve("127.0.0.1:0", 0, handler)
	require.NoError(t, err)
	t.Cleanup(engine.Close)
	return newFixture(t, 0, func(r *fixture) {
		r.board.Update(func(s *board.State) {
			s.SetListed([]quetzalpier.VM{r.scorer.VM(), {
				ID: "e", Addr: engine.Addr, Kind: quetzalpier.KindEngine, Pool: "lm", State: quetzalpier.VMLive, Slots: 8, Models: map[string]quetzalpier.Version{"m": 1},
			}}, time.Now())
		})
	})
}

// Guards against a read from a position beyond an integer, which is negative after the
// conversion: the slice of the listed results panicked, and the process ended.
func TestReadFromHugePositionDoesNotEndTheProcess(t *testing.T) {
	r := newFixture(t, 1)
	r.putJob(t, newJob("j", 1, 2))
	r.waitResults(t, "j", 1)
	for _, after := range []uint64{math.MaxUint64, 1 << 63, math.MaxInt64, 1} {
		require.NotPanics(t, func() {
			require.Empty(t, r.runner.Read(t.Context(), &wire.Read{Job: "j", After: after}).GetResults())
		}, "position %d", after)
	}
}

// Guards against a text of one task that keeps the results of all jobs from being stored:
// messages can't hold text that isn't UTF-8.
func TestTextThatIsNotUTF8BlocksNoJob(t *testing.T) {
	r := newFixtureWith(t, func(c *fasthttp.RequestCtx) {
		c.Response.Header.SetBytesV(platform.HeaderAttempt, c.Request.Header.Peek(platform.HeaderAttempt))
		c.Response.Header.Set(platform.HeaderWeightVersion, "1")
		c.SetContentType("text/event-stream")
		c.SetBodyString("id: 1\ndata: a\xff\xfeb\n\n")
	})
	r.putJob(t, newJob("j", 1, 1))
	require.Equal(t, "a\uFFFD\uFFFDb", r.waitResults(t, "j", 1)["j-0"].Text)
}

// Guards against a text that is too long for a value of the key-value service: it was refused
// for ever, with the results of other jobs in the same transaction.
func TestTextThatDoesNotFitBlocksNoJob(t *testing.T) {
	r := newFixtureWith(t, func(c *fasthttp.RequestCtx) {
		c.Response.Header.SetBytesV(platform.HeaderAttempt, c.Request.Header.Peek(platform.HeaderAttempt))
		c.Response.Header.Set(platform.HeaderWeightVersion, "1")
		events := "id: 1\ndata: a\n\n"
		if strings.HasPrefix(string(c.Path()), "/b/huge") {
			events += "id: 2\ndata: " + strings.Repeat("x", 600<<10) + "\n\nid: 3\ndata: " + strings.Repeat("y", 600<<10) + "\n\n"
		}
		c.SetBodyString(events)
	})
	r.putJob(t, newJob("huge", 1, 1, 1))
	r.putJob(t, newJob("other", 1, 1))
	require.Equal(t, "a", r.waitResults(t, "other", 1)["other-0"].Text)
	require.False(t, r.waitResults(t, "huge", 2)["huge-0"].Done)
}

// Guards against values of another writer among the texts and results of a job, for which
// it was never opened after a takeover.
func TestOddValuesOfAJobDoNotKeepItFromOpening(t *testing.T) {
	r := newFixture(t, 1, func(r *fixture) {
		for key, value := range map[string]string{
			"part/j/j-0": "\xff\xff", "part/j/a/b": "\xff", "part/j/": "", "out/j/x": "\xff", "out/j/1/000000": "\xff", "out/j/0000000": "\xff", "out/j/": "",
			vault.Jobs + "bad": "\xff\xff", vault.Jobs: "", vault.Ends: "", vault.Ends + "j/1": "",
		} {
			_, err := r.kv.CompareAndSwap(t.Context(), key, []byte(value), 0, "")
			require.NoError(t, err)
		}
		r.putJob(t, newJob("j", 1, 3))
	})
	require.Equal(t, eventText("j-0", 3), r.waitResults(t, "j", 1)["j-0"].Text)
}

// Guards against a job that runs, though no client's was accepted under its ID: another
// writer put its value under another key.
func TestJobUnderTheKeyOfAnotherDoesNotRun(t *testing.T) {
	data, err := wire.EncodeJob(newJob("copied", 1, 3))
	require.NoError(t, err)
	r := newFixture(t, 1, func(r *fixture) {
		_, err := r.kv.CompareAndSwap(t.Context(), vault.Jobs+"other", data, 0, "")
		require.NoError(t, err)
		r.putJob(t, newJob("z", 1, 3))
	})
	r.waitResults(t, "z", 1)
	for _, run := range r.engines[0].Runs() {
		require.Equal(t, "z-0", run.ID)
	}
	_, err = r.vault.Get(t.Context(), "other")
	require.ErrorContains(t, err, "copied")
}

// Guards against headers of an item that belong to one connection, or that replace the host
// of the job's route or the event after which its run begins.
func TestHeadersOfAnItemDoNotReplaceThoseOfItsRun(t *testing.T) {
	heads := make(chan string, 8)
	r := newFixtureWith(t, func(c *fasthttp.RequestCtx) {
		heads <- string(c.Request.Header.Header())
		c.SetStatusCode(http.StatusUnprocessableEntity)
	})
	job := newJob("j", 1, 1)
	job.Tasks[0].Headers = map[string]string{"Host": "other", "Connection": "X-Hop", "X-Hop": "1", "Te": "trailers", "Last-Event-Id": "5", "X-Own": "1"}
	r.putJob(t, job)
	head := <-heads
	require.Contains(t, head, "Host: h\r\n")
	require.Contains(t, head, "X-Own: 1\r\n")
	for _, name := range []string{"other", "Connection", "X-Hop", "Te:", "Last-Event-Id"} {
		require.NotContains(t, head, name)
	}
}

// Guards against a key of another writer in the place of a pool's owner, which has no lease
// and never expires: no node took the pool over.
func TestOddOwnerDoesNotKeepAPoolVacant(t *testing.T) {
	for _, value := range []string{"", "ghost", "\xff\xfe", " 7", "n", strings.Repeat("x", 1<<16) + " 7"} {
		r := newFixture(t, 1, func(r *fixture) {
			_, err := r.kv.CompareAndSwap(t.Context(), vault.Owners+"lm", []byte(value), 0, "")
			require.NoError(t, err)
			r.putJob(t, newJob("j", 1, 2))
		})
		r.waitResults(t, "j", 1)
	}
}
