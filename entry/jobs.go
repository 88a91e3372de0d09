package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/hash"
	"quetzalpier/platform"
	"quetzalpier/runner"
	"quetzalpier/sleep"
	"quetzalpier/wire"
)

const (
	// submitWait bounds how long a submission waits for the key-value service:
	// a step is worth less with every second, but more than a refused one.
	submitWait = 6 * time.Second
	endWait    = 3 * time.Second
	storePause = 100 * time.Millisecond
	storeCall  = 1200 * time.Millisecond
	// keepCall bounds the keeping of a job on disks, of which keepersTried
	// nodes besides the owner are asked.
	keepCall     = 1200 * time.Millisecond
	keepersTried = 2
	// maxWait bounds a read's wait for news.
	maxWait = time.Second
	// ownerSlack is added to a read's wait for the owner's answer.
	ownerSlack = 700 * time.Millisecond
	// afterSubmit is when to come back with a job that could not be stored.
	afterSubmit = time.Second
)

// kept are the results of a job that this node has read; they never change.
type kept struct {
	total   int
	results []quetzalpier.Result
	at      time.Time
}

// facts are what this node knows to be stored of a job. It stays so, and
// clients ask for the same again and again.
type facts struct {
	stored bool
	ended  bool
	at     time.Time
}

func (e *Entry) known(job string) facts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.facts[job]
}

func (e *Entry) learn(job string, ended bool, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	known := e.facts[job]
	e.facts[job] = facts{stored: true, ended: known.ended || ended, at: now}
	for id, old := range e.facts {
		if now.Sub(old.at) > e.History {
			delete(e.facts, id)
		}
	}
}

// submit takes a job: it exists once its key is created.
func (e *Entry) submit(c *fasthttp.RequestCtx, r *request, route *quetzalpier.Route) {
	if r.method != http.MethodPost {
		e.refuse(c, r, quetzalpier.Missing("route", "only POST submits a job"))
		return
	}
	job, err := platform.DecodeJob(r.id, c.Request.Body(), route, route.Choose(rand.Float64()), r.start)
	if err != nil {
		e.refuse(c, r, quetzalpier.Malformed(err))
		return
	}
	limit := r.start.Add(submitWait)
	if r.deadline.Before(limit) {
		limit = r.deadline
	}
	again, err := true, error(nil)
	if !e.known(job.ID).stored {
		again, err = e.put(job, limit)
	}
	if err != nil {
		e.refuse(c, r, err)
		return
	}
	e.learn(job.ID, false, r.start)
	c.SetStatusCode(http.StatusAccepted)
	e.Log.Info().Str("job", job.ID).Str("route", route.Name).Int("step", job.Step).Str("model", job.Model).
		Uint64("floor", uint64(job.Floor)).Int("tasks", len(job.Tasks)).Bool("again", again).
		Uint64("config", r.config).Dur("took_ms", time.Since(r.start)).Msg("job accepted")
}

// put stores a job, or has it kept on disks while the key-value service is out
// for everyone. Its error promises that the job does not exist only if each
// try was certainly without effect.
//
// Load pattern: a service that is out for some seconds while trainers submit
// their steps on time; a step that is accepted late is late.
func (e *Entry) put(job *quetzalpier.Job, limit time.Time) (again bool, err error) {
	data, err := wire.EncodeJob(job)
	if err != nil {
		return false, err
	}
	ran := quetzalpier.RanNo
	for {
		ctx, cancel := context.WithDeadline(context.Background(), sleep.Earlier(limit, time.Now().Add(storeCall)))
		again, err = e.Vault.Put(ctx, job)
		cancel()
		if err == nil {
			if !again {
				e.hand(&wire.Keep{Job: data, Stored: true})
			}
			return again, nil
		}
		var unsure *quetzalpier.UnsureError
		if errors.As(err, &unsure) {
			ran = quetzalpier.RanUnknown
		}
		e.Log.Warn().Str("job", job.ID).Err(err).Msg("job not stored")
		if e.Cut() {
			// From here on a copy may lie on some disk.
			ran = quetzalpier.RanUnknown
			if e.keep(job, data) {
				return false, nil
			}
		}
		if !time.Now().Add(storePause).Before(limit) {
			return false, quetzalpier.Busy("store", "the job could not be stored: "+err.Error(), ran, e.Sender.Spread(afterSubmit))
		}
		sleep.For(context.Background(), storePause)
	}
}

// keep has a job kept by the pool's owner, or by another node with a disk.
func (e *Entry) keep(job *quetzalpier.Job, data []byte) bool {
	for _, peer := range e.keepers(job.Pool) {
		ctx, cancel := context.WithTimeout(context.Background(), keepCall)
		_, err := e.Call(ctx, peer, &wire.Call{Kind: &wire.Call_Keep{Keep: &wire.Keep{Job: data}}})
		cancel()
		if err == nil {
			e.Log.Info().Str("job", job.ID).Str("peer", peer).Msg("job kept on disks")
			return true
		}
		e.Log.Warn().Str("job", job.ID).Str("peer", peer).Err(err).Msg("job not kept by this node")
	}
	return false
}

// keepers are the nodes that may keep a job of the pool: its owner, then those
// that would take the pool over.
func (e *Entry) keepers(pool string) []string {
	var peers []string
	e.Board.Do(func(s *board.State) {
		owner := s.Owners[pool].Node
		ids := make([]string, 0, len(s.Members))
		for id, m := range s.Members {
			if id != owner && m.Usable() && m.Has(runner.ClassStore) {
				ids = append(ids, id)
			}
		}
		ids = hash.Owners(pool, ids, keepersTried)
		if m, ok := s.Members[owner]; ok && m.Has(runner.ClassStore) {
			ids = append([]string{owner}, ids...)
		}
		for _, id := range ids {
			peers = append(peers, s.Members[id].Peer)
		}
	})
	return peers
}

// hand tells the owners of a new job, which otherwise hear of it by their
// watch: that may be late while the key-value service is not well.
func (e *Entry) hand(keep *wire.Keep) {
	for _, peer := range e.owners() {
		e.workers.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), keepCall)
			defer cancel()
			if _, err := e.Call(ctx, peer, &wire.Call{Kind: &wire.Call_Keep{Keep: keep}}); err != nil {
				e.Log.Warn().Str("peer", peer).Err(err).Msg("owner not told of a job")
			}
		})
	}
}

func (e *Entry) owners() []string {
	var peers []string
	e.Board.Do(func(s *board.State) {
		for _, owner := range s.Owners {
			if m, ok := s.Members[owner.Node]; ok {
				peers = append(peers, m.Peer)
			}
		}
	})
	return peers
}

// end ends a job: no task of it is worked on once its owner hears of the key.
func (e *Entry) end(c *fasthttp.RequestCtx, r *request, call platform.Call) {
	if e.known(call.Job).ended {
		return
	}
	limit := r.start.Add(endWait)
	for {
		ctx, cancel := context.WithDeadline(context.Background(), sleep.Earlier(limit, time.Now().Add(storeCall)))
		err := e.Vault.End(ctx, call.Job)
		cancel()
		if err == nil {
			e.learn(call.Job, true, r.start)
			e.Log.Info().Str("job", call.Job).Dur("took_ms", time.Since(r.start)).Msg("job end stored")
			return
		}
		if !time.Now().Add(storePause).Before(limit) {
			e.refuse(c, r, quetzalpier.Busy("store", "the end could not be stored: "+err.Error(), quetzalpier.RanUnknown, 0))
			return
		}
		sleep.For(context.Background(), storePause)
	}
}

// read answers with a job's results from a position on.
func (e *Entry) read(c *fasthttp.RequestCtx, r *request, call platform.Call) {
	wait := time.Duration(0)
	if ms, err := strconv.Atoi(string(c.Request.Header.Peek(platform.HeaderWait))); err == nil && ms > 0 {
		wait = min(maxWait, time.Duration(ms)*time.Millisecond)
	}
	total, results, err := e.results(call.Job, call.After, wait, r.start)
	if err != nil {
		e.refuse(c, r, err)
		return
	}
	body, err := platform.EncodeRead(total, call.After, results)
	if err != nil {
		e.refuse(c, r, err)
		return
	}
	c.SetContentType("application/json")
	c.SetBody(body)
}

// results returns a job's results from position after on: those that this node
// has read before, or what the owner has, or what is stored.
func (e *Entry) results(job string, after int, wait time.Duration, now time.Time) (int, []quetzalpier.Result, error) {
	if total, known := e.from(job, after); len(known) > 0 {
		return total, known, nil
	}
	// An answer holds as many results as fit: the position that is asked for
	// may lie behind them.
	for from := e.have(job); ; {
		answer := e.ask(&wire.Read{Job: job, After: uint64(from), Wait: uint64(wait.Milliseconds())}, wait)
		if answer == nil {
			break
		}
		e.remember(job, int(answer.GetTotal()), from, wire.UnpackResults(answer.GetResults()), now)
		if from = e.have(job); from > after || len(answer.GetResults()) == 0 {
			total, results := e.from(job, after)
			return total, results, nil
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeCall)
	defer cancel()
	spec, err := e.Vault.Get(ctx, job)
	if err != nil {
		return 0, nil, quetzalpier.Busy("store", "the job could not be looked up: "+err.Error(), quetzalpier.RanNo, e.Sender.Spread(storePause))
	}
	if spec == nil {
		return 0, nil, e.missing(job)
	}
	listed, err := e.Vault.Listed(ctx, job)
	if err != nil {
		return 0, nil, quetzalpier.Busy("store", "the results could not be read: "+err.Error(), quetzalpier.RanNo, e.Sender.Spread(storePause))
	}
	e.remember(job, len(spec.Tasks), 0, listed, now)
	total, results := e.from(job, after)
	return total, results, nil
}

// ask asks the owners of pools; nil if none of them holds the job.
func (e *Entry) ask(read *wire.Read, wait time.Duration) *wire.Results {
	for _, peer := range e.owners() {
		ctx, cancel := context.WithTimeout(context.Background(), wait+ownerSlack)
		reply, err := e.Call(ctx, peer, &wire.Call{Kind: &wire.Call_Read{Read: read}})
		cancel()
		if err != nil {
			e.Log.Warn().Str("job", read.GetJob()).Str("peer", peer).Err(err).Msg("owner not reached")
			continue
		}
		if answer := reply.GetResults(); answer.GetKnown() {
			return answer
		}
	}
	return nil
}

// have is how many results of a job this node knows.
func (e *Entry) have(job string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if known := e.kept[job]; known != nil {
		return len(known.results)
	}
	return 0
}

// from returns how many tasks a job has, and the results from a position on, as
// far as this node knows them.
func (e *Entry) from(job string, after int) (int, []quetzalpier.Result) {
	e.mu.Lock()
	defer e.mu.Unlock()
	known := e.kept[job]
	if known == nil {
		return 0, nil
	}
	return known.total, known.results[min(after, len(known.results)):]
}

// remember keeps results from a position on.
func (e *Entry) remember(job string, total, from int, results []quetzalpier.Result, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	known := e.kept[job]
	if known == nil {
		known = &kept{total: total, at: now}
		e.kept[job] = known
		e.forget(now)
	}
	// Another read may have brought some of them meanwhile.
	if skip := len(known.results) - from; skip >= 0 && skip < len(results) {
		known.results = append(known.results[:len(known.results):len(known.results)], results[skip:]...)
	}
}

// forget drops jobs that need not be read any more; the caller holds the lock.
func (e *Entry) forget(now time.Time) {
	for job, known := range e.kept {
		if now.Sub(known.at) > e.History {
			delete(e.kept, job)
		}
	}
}

// body answers with the body of a task that is not listed yet.
func (e *Entry) body(c *fasthttp.RequestCtx, r *request, call platform.Call) {
	body, err := e.task(call.Job, call.Task)
	if err != nil {
		e.refuse(c, r, err)
		return
	}
	c.SetContentType("application/octet-stream")
	c.SetBody(body)
}

func (e *Entry) task(job, id string) ([]byte, error) {
	gone := quetzalpier.Missing("task", "task "+id+" of job "+job+" is listed, ended or unknown")
	if answer := e.ask(&wire.Read{Job: job, Task: id}, 0); answer != nil {
		if !answer.GetOpen() {
			return nil, gone
		}
		return answer.GetBody(), nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeCall)
	defer cancel()
	spec, err := e.Vault.Get(ctx, job)
	if err != nil {
		return nil, quetzalpier.Busy("store", "the job could not be looked up: "+err.Error(), quetzalpier.RanNo, e.Sender.Spread(storePause))
	}
	if spec == nil {
		return nil, e.missing(job)
	}
	task, ok := spec.Find(id)
	if !ok {
		return nil, gone
	}
	return task.Body, nil
}

// missing answers for a job that is not stored. One that was taken while the
// store was out may still lie on a disk.
func (e *Entry) missing(job string) error {
	if !e.Steady(time.Now()) {
		return quetzalpier.Busy("store", "job "+job+" is not stored, and the store was out a moment ago", quetzalpier.RanNo, e.Sender.Spread(storePause))
	}
	return quetzalpier.Missing("job", "job "+job+" does not exist")
}
