package entry

import (
	"bytes"
	"context"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"quetzalpier"
	"quetzalpier/access"
	"quetzalpier/board"
	"quetzalpier/platform"
	"quetzalpier/sleep"
	"quetzalpier/wire"
)

const (
	// endTimeout limits how long a client waits for an end to be stored.
	endTimeout = 3 * time.Second
	// backgroundRetryMax bounds the pause between two attempts if nobody waits for the end.
	backgroundRetryMax = time.Second
	// endNoticeTime limits how long the nodes that process jobs are notified of an end: a pool
	// has a new owner sooner unless the key-value service is unavailable.
	endNoticeTime = 6 * time.Second
	// endKeepers is how many other nodes are to know an end that a node that stops could not
	// store: the owner and the nodes that would take its pool over.
	endKeepers = 1 + otherKeepers
	// maxUncheckedEnds bounds the ends that are kept of clients whose API keys are not checked.
	maxUncheckedEnds = 1000
)

// endKey identifies the end of a job that a customer requested; customer is empty if there
// are no customers.
type endKey struct {
	customer string
	job      string
}

// unstoredEnd is what a node knows of an end that it is to store. ctx ends once the end is
// stored or the node is closed.
type unstoredEnd struct {
	call   *wire.Call
	ctx    context.Context
	cancel context.CancelFunc
	// inBackground is set once the end is being stored although its client was refused.
	inBackground bool
	// keepers are the nodes that said that they store it as well, guarded by Entry.mu. Only
	// share, which holds sharing, uses the answers of the nodes that were asked.
	keepers map[registration]bool
	sharing chan struct{}
	answers map[registration]*wire.Reply
}

// endJob stores the end of a job. If that fails within endTimeout, the client is
// refused, and the end is stored as soon as that is possible: the client may not
// repeat it.
func (e *Entry) endJob(c *fasthttp.RequestCtx, r *request, call platform.Call) {
	if e.recordFor(call.Job).ended && e.findJob(r, call.Job) == nil {
		e.logEnd(e.Log.Info(), c, r, call.Job).Msg("job end was stored before")
		return
	}
	share := func() { e.shareEnd(r, call.Job) }
	err := e.storeEnd(e.ctx, r, call.Job, e.answerDeadline(r.start.Add(endTimeout)), storePause, share)
	if err == nil {
		e.logEnd(e.Log.Info(), c, r, call.Job).Msg("job end stored")
		return
	}
	e.logEnd(e.Log.Warn(), c, r, call.Job).Err(err).Bool("later", !isNotFound(err)).Msg("job end not stored")
	if isNotFound(err) {
		e.refuse(c, r, err)
		return
	}
	e.refuse(c, r, quetzalpier.Unavailable("store", "the end could not be stored: "+err.Error(), quetzalpier.RanUnknown, 0))
	e.storeInBackground(r, call.Job, share)
}

// endUnchecked keeps the end of a job whose client was refused because this node could not
// check its API key yet. It is stored once the check succeeds.
func (e *Entry) endUnchecked(c *fasthttp.RequestCtx, r *request) {
	call, isCall, err := parseCall(c, r)
	if !isCall || err != nil || !call.End {
		return
	}
	copied, key := *r, credentials(c)
	key.Key = bytes.Clone(key.Key)
	if !e.addUnchecked(&copied, call.Job) {
		e.Log.Error().Str("job", call.Job).Msg("too many ends of jobs wait for a configuration; one is dropped")
		return
	}
	e.workers.Go(func() {
		err := e.awaitCheck(&copied, key)
		added := false
		switch {
		case err == nil:
			e.Log.Info().Str("job", call.Job).Str("customer", copied.customerName()).Dur("age_ms", time.Since(r.start)).Msg("client of a job's end was checked after it had been refused")
			added = e.storeInBackground(&copied, call.Job, func() { e.shareEnd(&copied, call.Job) })
		case isUnavailable(err):
			e.Log.Error().Str("job", call.Job).Err(err).Msg("the end of a job is forgotten, since its client's API key could not be checked")
		default:
			e.Log.Info().Str("job", call.Job).Err(err).Msg("the end of a job is dropped, since its client may not end it")
		}
		// Close logs those that are left at a stop.
		if added || e.ctx.Err() == nil {
			e.dropUnchecked(&copied)
		}
	})
}

// addUnchecked adds an end to those whose clients are still to be checked. It returns false if
// there are too many.
func (e *Entry) addUnchecked(r *request, job string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.uncheckedEnds) >= maxUncheckedEnds {
		return false
	}
	e.uncheckedEnds[r] = job
	return true
}

// dropUnchecked removes an end from those whose clients are still to be checked.
func (e *Entry) dropUnchecked(r *request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.uncheckedEnds, r)
}

// awaitCheck checks the API key of a call about a job until that gives a result, while the
// job's results are kept. It sets the customer of the request.
func (e *Entry) awaitCheck(r *request, key access.Credentials) error {
	for failures := 1; ; failures++ {
		now := time.Now()
		err := e.checkAgain(r, key, now)
		wait := storePause(failures)
		if !isUnavailable(err) || now.Add(wait).After(r.start.Add(e.Retention)) || !sleep.For(e.ctx, wait) {
			return err
		}
	}
}

// checkAgain checks the API key of a call about a job with the present configuration.
func (e *Entry) checkAgain(r *request, key access.Credentials, now time.Time) (err error) {
	r.freshness = access.Freshness{Age: e.ConfigAge(now), RefuseAfter: e.RefuseAfter}
	routed := false
	e.Board.Do(func(s *board.State) {
		r.index, r.configNumber = s.Access, s.Config.Number
		_, routed = s.Config.MatchRoute(r.host, r.path)
	})
	switch {
	case r.configNumber == 0:
		return quetzalpier.Unavailable("config", "no configuration known yet", quetzalpier.RanNo, 0)
	case routed:
		return quetzalpier.NotFound("call", "a route leads to "+r.path)
	}
	r.customer, err = r.index.CheckJobCall(key, r.freshness)
	return err
}

// logEnd adds to a line what became of a request to end a job.
func (e *Entry) logEnd(line *zerolog.Event, c *fasthttp.RequestCtx, r *request, job string) *zerolog.Event {
	return line.Str("job", job).Bool("client_gone", clientGone(c)).Dur("took_ms", time.Since(r.start))
}

// storeEnd stores the end of a job until it succeeds, ctx ends or the deadline is too
// close for another attempt, and notifies the nodes that run the tasks of jobs. A job that is
// not the customer's is not found. It calls failed after each failure.
func (e *Entry) storeEnd(ctx context.Context, r *request, job string, deadline time.Time, pause func(failures int) time.Duration, failed func()) error {
	for failures := 1; ; failures++ {
		err := e.findJob(r, job)
		if isNotFound(err) {
			e.dropUnstored(endKey{r.customerName(), job})
			return err
		}
		now := time.Now()
		if err == nil {
			callCtx, cancel := context.WithDeadline(ctx, sleep.Earlier(deadline, now.Add(storeCallTimeout)))
			err = e.Vault.End(callCtx, job, now)
			cancel()
		}
		if err == nil {
			e.record(job, jobRecord{ended: true, updatedAt: time.Now()})
			e.notifyEnd(job, now)
			e.dropUnstored(endKey{r.customerName(), job})
			return nil
		}
		if ctx.Err() != nil {
			return err
		}
		e.stopTasks(r, job)
		failed()
		wait := pause(failures)
		if !time.Now().Add(wait).Before(deadline) || !sleep.For(ctx, wait) {
			return err
		}
	}
}

// notifyEnd sends the end of a job, which is stored, to the nodes that process the jobs of
// pools or would take them over: a former owner may still run the tasks, and a new one may
// not be able to read the ends. It is repeated while one has not received it or a pool has
// no known owner.
func (e *Entry) notifyEnd(job string, at time.Time) {
	call := &wire.Call{Kind: &wire.Call_Ended{Ended: wire.PackEnd(job, at)}}
	e.workers.Go(func() {
		answers := map[registration]*wire.Reply{}
		until := time.Now().Add(endNoticeTime)
		for failures := 0; failures < maxNotices && time.Now().Before(until); {
			members, owned := e.endReceivers()
			all := e.notifyOnce(e.ctx, members, call, answers)
			if all && owned {
				return
			}
			if !all {
				failures++
			}
			if !sleep.For(e.ctx, storePause(max(1, failures))) {
				return
			}
		}
	})
}

// addUnstored adds an end to those that are to be stored. It returns the end that was added
// before, if there is one, and nil if the node is closed.
func (e *Entry) addUnstored(r *request, job string) *unstoredEnd {
	e.mu.Lock()
	defer e.mu.Unlock()
	key := endKey{r.customerName(), job}
	if end := e.unstoredEnds[key]; end != nil {
		return end
	}
	if e.ctx.Err() != nil {
		return nil
	}
	end := &unstoredEnd{
		call:    &wire.Call{Kind: &wire.Call_Ended{Ended: wire.PackPendingEnd(job, r.customerName(), r.start)}},
		keepers: map[registration]bool{}, answers: map[registration]*wire.Reply{}, sharing: make(chan struct{}, 1),
	}
	end.ctx, end.cancel = context.WithCancel(e.ctx)
	e.unstoredEnds[key] = end
	e.Meter.UnstoredEnds.Set(float64(len(e.unstoredEnds)))
	return end
}

// dropUnstored removes an end from those that are to be stored.
func (e *Entry) dropUnstored(key endKey) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if end := e.unstoredEnds[key]; end != nil {
		end.cancel()
		delete(e.unstoredEnds, key)
		e.Meter.UnstoredEnds.Set(float64(len(e.unstoredEnds)))
	}
}

// EndStored tells that another node has stored the end of a job.
func (e *Entry) EndStored(job string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for key, end := range e.unstoredEnds {
		if key.job == job {
			end.cancel()
			delete(e.unstoredEnds, key)
		}
	}
	e.Meter.UnstoredEnds.Set(float64(len(e.unstoredEnds)))
}

// AcceptEnd stores an end that another node could not store, as soon as that is possible, if
// the job is the customer's. It returns false if this node is closed.
func (e *Entry) AcceptEnd(job, customer string, at, now time.Time) bool {
	r := &request{start: now}
	if !at.IsZero() {
		r.start = sleep.Earlier(at, now)
	}
	if customer != "" {
		r.customer = &quetzalpier.Customer{Name: customer}
	}
	e.Board.Do(func(s *board.State) { r.index = s.Access })
	return e.storeInBackground(r, job, func() {})
}

// storeInBackground stores an end whose client was refused, unless another node does so
// first, while the job's results are kept. It calls failed after each failure, and returns
// false if this node is closed.
func (e *Entry) storeInBackground(r *request, job string, failed func()) bool {
	end := e.addUnstored(r, job)
	if end == nil {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if end.inBackground {
		return true
	}
	end.inBackground = true
	e.workers.Go(func() {
		e.stopTasks(r, job)
		err := e.storeEnd(end.ctx, r, job, r.start.Add(e.Retention), backgroundPause, failed)
		e.logBackgroundEnd(end, r, job, err)
		if e.ctx.Err() == nil {
			e.dropUnstored(endKey{r.customerName(), job})
		}
	})
	return true
}

// logBackgroundEnd logs what became of an end whose client was refused.
func (e *Entry) logBackgroundEnd(end *unstoredEnd, r *request, job string, err error) {
	line, message := e.Log.Info(), "end stored after its client was refused"
	switch {
	case isNotFound(err):
		line, message = e.Log.Warn(), "the end of a job, whose client was refused, was not stored"
	case err != nil && end.ctx.Err() != nil && e.ctx.Err() == nil:
		err, message = nil, "another node stored the end of a job, whose client was refused"
	case err != nil:
		line, message = e.Log.Error(), "the end of a job, whose client was refused, could not be stored"
	}
	line.Str("job", job).Str("customer", r.customerName()).Bool("stopping", e.ctx.Err() != nil).Dur("age_ms", time.Since(r.start)).Err(err).Msg(message)
}

// stopTasks ends the job at this node, if it processes it for the customer.
func (e *Entry) stopTasks(r *request, job string) {
	if e.StopJob != nil {
		e.StopJob(job, r.customerName(), r.start, time.Now())
	}
}

func backgroundPause(failures int) time.Duration {
	return sleep.Backoff(failures, storeRetryMax, backgroundRetryMax, rand.Float64())
}
