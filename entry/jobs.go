package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/hash"
	"quetzalpier/platform"
	"quetzalpier/runner"
	"quetzalpier/sleep"
	"quetzalpier/vault"
	"quetzalpier/wire"
)

const (
	// submitTimeout limits how long a submission waits for the key-value service. A
	// step loses value with every second of delay, but a late one is worth more to
	// its trainer than a refused one.
	submitTimeout = 6 * time.Second
	// storeRetryDelay and storeRetryMax bound the pause between two attempts to
	// store a job or its end.
	storeRetryDelay  = 100 * time.Millisecond
	storeRetryMax    = 400 * time.Millisecond
	storeCallTimeout = 1200 * time.Millisecond
	// storePartTimeout is added for each part of a job that is stored in parts.
	storePartTimeout = 200 * time.Millisecond
	// keepCallTimeout limits a call that stores a job on nodes' disks. The pool's
	// owner is called first and, until a call succeeds, at most otherKeepers other
	// nodes.
	keepCallTimeout = 1200 * time.Millisecond
	otherKeepers    = 2
	// maxNotices is how often an owner is notified of a job until it accepts.
	maxNotices = 5
	// maxReadWait limits how long a read waits for new results.
	maxReadWait = time.Second
	// ownerReplyMargin is added to the wait of a read for the timeout of the call
	// to the owner.
	ownerReplyMargin = 700 * time.Millisecond
	// submitRetryAfter is the retry delay for a job that could not be stored.
	submitRetryAfter = time.Second
	// recordsSweepInterval is the time between two passes over all records of jobs.
	recordsSweepInterval = time.Second
)

// jobRecord caches which keys of a job are known to be stored. They stay stored,
// and clients repeat their submissions and ends. The customer is that of the stored job,
// if it is known.
type jobRecord struct {
	stored    bool
	ended     bool
	known     bool
	customer  string
	updatedAt time.Time
}

// recordFor returns the record of a job; it is empty for an unknown one.
func (e *Entry) recordFor(job string) jobRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.records[job]
}

// record adds what is known to be stored of a job to its record. The end of a job
// may be stored without the job: it says nothing about the job's own key. At intervals it
// drops expired records.
func (e *Entry) record(job string, known jobRecord) {
	now := known.updatedAt
	e.mu.Lock()
	defer e.mu.Unlock()
	earlier := e.records[job]
	known.stored, known.ended = known.stored || earlier.stored, known.ended || earlier.ended
	if earlier.known {
		known.known, known.customer = true, earlier.customer
	}
	e.records[job] = known
	if now.Sub(e.recordsSweptAt) < recordsSweepInterval {
		return
	}
	e.recordsSweptAt = now
	for id, old := range e.records {
		if now.Sub(old.updatedAt) > e.Retention {
			delete(e.records, id)
		}
	}
}

// submitJob accepts a job. The job exists once its key is created.
func (e *Entry) submitJob(c *fasthttp.RequestCtx, r *request, route *quetzalpier.Route) {
	if r.method != http.MethodPost {
		e.refuse(c, r, quetzalpier.NotFound("route", "only POST submits a job"))
		return
	}
	data, err := e.joinJob(r)
	if err != nil {
		e.refuse(c, r, err)
		return
	}
	job, err := platform.DecodeJob(r.id, data, route, route.PoolOf(r.id), r.start)
	if err != nil {
		e.refuse(c, r, quetzalpier.Malformed(err))
		return
	}
	if len(job.Tasks) > maxTasks {
		e.refuse(c, r, tooManyTasks())
		return
	}
	timeout := submitTimeout + time.Duration(vault.PartCount(job))*storePartTimeout
	deadline := e.answerDeadline(sleep.Earlier(r.deadline, r.start.Add(timeout)))
	job.Customer = r.customerName()
	existed := e.recordFor(job.ID).stored
	unchecked := existed
	if !existed {
		existed, err = e.storeJob(job, deadline)
		// The vault has compared the customer of the stored job to a customer, not to none.
		unchecked = existed && job.Customer == ""
	}
	if err == nil && unchecked {
		err = e.checkJob(r, job.ID, "")
	}
	if err != nil {
		e.refuse(c, r, err)
		return
	}
	e.record(job.ID, jobRecord{stored: true, known: !existed, customer: job.Customer, updatedAt: r.start})
	c.SetStatusCode(http.StatusAccepted)
	e.Log.Info().Str("job", job.ID).Str("route", route.Name).Int("step", job.Step).Str("model", job.Model).
		Uint64("floor", uint64(job.MinVersion)).Int("tasks", len(job.Tasks)).Bool("again", existed).
		Str("customer", job.Customer).Uint64("config", r.configNumber).Dur("took_ms", time.Since(r.start)).Msg("job accepted")
}

// storeJob stores a job in the key-value service or, while that is unavailable,
// on nodes' disks. It reports whether the job existed before. Its refusal states
// that the request did not run only if every attempt had no effect.
//
// Load pattern: the service is unavailable for some seconds while trainers submit
// their steps on time, and a step that is accepted late finishes late.
func (e *Entry) storeJob(job *quetzalpier.Job, deadline time.Time) (existed bool, err error) {
	ran := quetzalpier.RanNo
	timeout := storeCallTimeout + time.Duration(vault.PartCount(job))*storePartTimeout
	for failures := 1; ; failures++ {
		ctx, cancel := context.WithDeadline(e.serving, sleep.Earlier(deadline, time.Now().Add(timeout)))
		existed, err = e.storeJobOnce(ctx, job)
		cancel()
		if err == nil {
			if !existed {
				err = e.notifyStored(job)
			}
			return existed, err
		}
		var foreign *quetzalpier.ForeignJobError
		if errors.As(err, &foreign) {
			return false, jobMissing(job.ID)
		}
		var refused *quetzalpier.RefusedError
		if errors.As(err, &refused) && refused.Invalid && ran == quetzalpier.RanNo {
			return false, quetzalpier.Malformed(err)
		}
		var outcomeUnknown *quetzalpier.OutcomeUnknownError
		if errors.As(err, &outcomeUnknown) {
			ran = quetzalpier.RanUnknown
		}
		e.Log.Warn().Str("job", job.ID).Err(err).Msg("storing the job failed")
		if e.KVFailed() {
			// From here on a disk may hold a copy, so the outcome is unknown.
			ran = quetzalpier.RanUnknown
			kept, err := e.keepOnDisk(job)
			if kept || err != nil {
				return false, err
			}
		}
		pause := storePause(failures)
		if !time.Now().Add(pause).Before(deadline) || !sleep.For(e.serving, pause) {
			return false, quetzalpier.Unavailable("store", "the job could not be stored: "+err.Error(), ran, e.Sender.Jitter(submitRetryAfter))
		}
	}
}

// notifyStored sends a stored job to the owners of pools. A large one reaches its owner only
// through the watch of jobs: each owner would get all of it.
func (e *Entry) notifyStored(job *quetzalpier.Job) error {
	if vault.PartCount(job) > 0 {
		return nil
	}
	data, err := wire.EncodeJob(job)
	if err != nil || !vault.FitsValue(data) {
		return err
	}
	release, held := e.holdNotice(len(data))
	if !held {
		e.Log.Info().Str("job", job.ID).Msg("no room to notify the owners of a job, whose watches show it")
		return nil
	}
	e.notifyOwners(&wire.Call{Kind: &wire.Call_Keep{Keep: &wire.Keep{Job: data, Stored: true}}}, release)
	return nil
}

func storePause(failures int) time.Duration {
	return sleep.Backoff(failures, storeRetryDelay, storeRetryMax, rand.Float64())
}

// keepOnDisk stores a job on disks, through the pool's owner or else another node
// with a disk. It reports whether it succeeded. It returns a refusal if the ID is that of
// another customer's job.
func (e *Entry) keepOnDisk(job *quetzalpier.Job) (bool, error) {
	data, err := wire.EncodeJob(job)
	if err != nil {
		return false, err
	}
	for _, member := range e.keepers(job.Pool) {
		peer := member.Peer
		ctx, cancel := e.serveContext(keepCallTimeout)
		reply, err := e.Call(ctx, peer, &wire.Call{Kind: &wire.Call_Keep{Keep: &wire.Keep{Job: data}}})
		cancel()
		if err == nil && wire.IsForeign(reply) {
			return false, jobMissing(job.ID)
		}
		if err == nil {
			e.Log.Info().Str("job", job.ID).Str("peer", peer).Msg("job stored on disks")
			return true, nil
		}
		e.Log.Warn().Str("job", job.ID).Str("peer", peer).Err(err).Msg("peer failed to store the job on disks")
	}
	return false, nil
}

// keepers returns the members that may store a job of the pool on disks: its owner, then the
// nodes that would take the pool over. This node may be one of them.
func (e *Entry) keepers(pool string) []board.Member {
	var members []board.Member
	e.Board.Do(func(s *board.State) {
		owner := s.Owners[pool].Node
		ids := make([]string, 0, len(s.Members))
		for id, m := range s.Members {
			if id != owner && s.Answers(m) && m.HasRole(runner.ClassStore) {
				ids = append(ids, id)
			}
		}
		ids = hash.Owners(pool, ids, otherKeepers)
		if m, ok := s.Members[owner]; ok && m.HasRole(runner.ClassStore) && s.Reachable(owner) {
			ids = append([]string{owner}, ids...)
		}
		for _, id := range ids {
			members = append(members, s.Members[id])
		}
	})
	return members
}

// notifyOwners sends a new job to the owners of pools. They also receive it through their
// watch, but possibly late while the key-value service is unhealthy. It is repeated while an
// owner, or a new one, has not received it, and done is called at the end.
func (e *Entry) notifyOwners(call *wire.Call, done func()) {
	e.workers.Go(func() {
		defer done()
		answers := map[registration]*wire.Reply{}
		for failures := 1; failures <= maxNotices; failures++ {
			if e.notifyOnce(e.ctx, e.owners(), call, answers) || !sleep.For(e.ctx, storePause(failures)) {
				return
			}
		}
	})
}

// registration identifies a member until it registers anew, as it does after a restart, which
// forgets the notices that it got before.
type registration struct {
	peer string
	rev  uint64
}

func registrationOf(m board.Member) registration { return registration{peer: m.Peer, rev: m.Rev} }

// notifyOnce sends a call to those members that have not answered it since they registered,
// and adds the answers that it gets. It reports whether all members have answered.
func (e *Entry) notifyOnce(ctx context.Context, members []board.Member, call *wire.Call, answers map[registration]*wire.Reply) bool {
	var mu sync.Mutex
	var calls conc.WaitGroup
	all := true
	unanswered := slices.DeleteFunc(slices.Clone(members), func(m board.Member) bool { return answers[registrationOf(m)] != nil })
	for _, member := range unanswered {
		calls.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, keepCallTimeout)
			defer cancel()
			reply, err := e.Call(callCtx, member.Peer, call)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				answers[registrationOf(member)] = reply
				return
			}
			all = false
			if ctx.Err() != nil {
				return
			}
			e.Log.Warn().Str("peer", member.Peer).Err(err).Msg("notifying a node of a new or ended job failed")
		})
	}
	calls.Wait()
	return all
}

// owners returns the members that own pools; this node may be one of them.
func (e *Entry) owners() []board.Member {
	var members []board.Member
	e.Board.Do(func(s *board.State) {
		for _, owner := range s.Owners {
			if m, ok := s.Members[owner.Node]; ok {
				members = append(members, m)
			}
		}
	})
	return members
}

// readResults responds with a job's results from a position on.
func (e *Entry) readResults(c *fasthttp.RequestCtx, r *request, call platform.Call) {
	wait := time.Duration(0)
	if ms, err := strconv.Atoi(string(c.Request.Header.Peek(platform.HeaderWait))); err == nil && ms > 0 {
		wait = time.Duration(min(ms, int(maxReadWait.Milliseconds()))) * time.Millisecond
	}
	total, results, err := e.jobResultsFrom(r, call.Job, call.After, wait)
	if err != nil {
		e.refuse(c, r, err)
		return
	}
	body, err := platform.EncodeResults(total, call.After, results)
	if err != nil {
		e.refuse(c, r, err)
		return
	}
	c.SetContentType("application/json")
	e.answer(c, r, body)
}

// jobResultsFrom returns the number of a job's tasks and its results from position
// after on. It uses the results that this node has cached, else those of the
// owner, else the stored ones. The size of an answer is limited, so that there may be more. A job
// of another customer is not found.
func (e *Entry) jobResultsFrom(r *request, job string, after int, wait time.Duration) (int, []quetzalpier.Result, error) {
	now := r.start
	if total, known := e.results.after(job, after); len(known) > 0 {
		return total, known, e.checkJob(r, job, e.results.customer(job))
	}
	if answer := e.readFromOwners(&wire.Read{Job: job, After: uint64(after), Wait: uint64(wait.Milliseconds())}, wait); answer != nil {
		if err := e.checkJob(r, job, answer.GetCustomer()); err != nil {
			return 0, nil, err
		}
		total, results := int(answer.GetTotal()), wire.UnpackResults(answer.GetResults())
		e.results.add(job, answer.GetCustomer(), total, after, results, now)
		return total, results, nil
	}
	ctx, cancel := e.serveContext(storeCallTimeout)
	defer cancel()
	total, _ := e.results.after(job, after)
	customer := e.results.customer(job)
	if total == 0 {
		spec, err := e.readJob(ctx, job)
		if err != nil {
			return 0, nil, quetzalpier.Unavailable("store", "the job could not be looked up: "+err.Error(), quetzalpier.RanNo, e.Sender.Jitter(storeRetryDelay))
		}
		if spec == nil {
			return 0, nil, e.jobNotFound(job)
		}
		total, customer = spec.TaskCount(), spec.Customer
		e.record(job, jobRecord{stored: true, known: true, customer: customer, updatedAt: now})
	}
	if err := e.checkJob(r, job, customer); err != nil {
		return 0, nil, err
	}
	listed, err := e.Vault.Results(ctx, job)
	if err != nil {
		return 0, nil, quetzalpier.Unavailable("store", "the results could not be read: "+err.Error(), quetzalpier.RanNo, e.Sender.Jitter(storeRetryDelay))
	}
	e.results.add(job, customer, total, 0, listed, now)
	return total, listed[min(after, len(listed)):], nil
}

// readFromOwners sends a read to the owners of pools, one after the other, until
// one of them has the job. It returns nil if none does.
func (e *Entry) readFromOwners(read *wire.Read, wait time.Duration) *wire.Results {
	for _, owner := range e.owners() {
		peer := owner.Peer
		ctx, cancel := e.serveContext(wait + ownerReplyMargin)
		reply, err := e.Call(ctx, peer, &wire.Call{Kind: &wire.Call_Read{Read: read}})
		cancel()
		if err != nil {
			e.Log.Warn().Str("job", read.GetJob()).Str("peer", peer).Err(err).Msg("reading a job from an owner failed")
			continue
		}
		if answer := reply.GetResults(); answer.GetKnown() {
			return answer
		}
	}
	return nil
}

// serveTaskBody responds with the body of a task that has no result yet.
func (e *Entry) serveTaskBody(c *fasthttp.RequestCtx, r *request, call platform.Call) {
	body, err := e.taskBody(r, call.Job, call.Task)
	if err != nil {
		e.refuse(c, r, err)
		return
	}
	c.SetContentType("application/octet-stream")
	e.answer(c, r, body)
}

// taskBody returns the body of a task, from the owner or else the stored job.
func (e *Entry) taskBody(r *request, job, id string) ([]byte, error) {
	notOpen := quetzalpier.NotFound("task", "task "+id+" of job "+job+" is listed, ended or unknown")
	if answer := e.readFromOwners(&wire.Read{Job: job, Task: id, Apart: true}, 0); answer != nil {
		if err := e.checkJob(r, job, answer.GetCustomer()); err != nil {
			return nil, err
		}
		if !answer.GetOpen() {
			return nil, notOpen
		}
		if !answer.GetStored() {
			return answer.GetBody(), nil
		}
	}
	ctx, cancel := e.serveContext(storeCallTimeout)
	defer cancel()
	spec, err := e.readJob(ctx, job)
	if err != nil {
		return nil, quetzalpier.Unavailable("store", "the job could not be looked up: "+err.Error(), quetzalpier.RanNo, e.Sender.Jitter(storeRetryDelay))
	}
	if spec == nil {
		return nil, e.jobNotFound(job)
	}
	e.record(job, jobRecord{stored: true, known: true, customer: spec.Customer, updatedAt: r.start})
	if err := e.checkJob(r, job, spec.Customer); err != nil {
		return nil, err
	}
	if !spec.Loaded() {
		// The parts, and what is decoded from them.
		release, err := e.bodies.Hold(2 * spec.Parts.Bytes)
		if err != nil {
			return nil, e.unreadRefusal(err)
		}
		defer release()
		if spec, err = e.Vault.Load(ctx, spec); err != nil {
			return nil, quetzalpier.Unavailable("store", "the tasks of the job could not be read: "+err.Error(), quetzalpier.RanNo, e.Sender.Jitter(storeRetryDelay))
		}
	}
	task, ok := spec.FindTask(id)
	if !ok {
		return nil, notOpen
	}
	return task.Body, nil
}

// jobNotFound returns the refusal for a job that is not stored. While the
// key-value service is or recently was unavailable, the job may exist on a disk
// only, so the refusal does not state that it does not exist. The service may be
// unavailable to the nodes that accepted the job and not to this one.
func (e *Entry) jobNotFound(job string) error {
	now := time.Now()
	if !e.KVStable(now) {
		return quetzalpier.Unavailable("store", "job "+job+" is not stored, and the store was out a moment ago", quetzalpier.RanNo, e.Sender.Jitter(storeRetryDelay))
	}
	if reason, retryAfter := e.mayBeKept(job, now); reason != "" {
		e.Log.Info().Str("job", job).Str("reason", reason).Msg("job is not stored and may be on a disk")
		return quetzalpier.Unavailable("store", "job "+job+" is not stored, and may be on a disk", quetzalpier.RanNo, e.Sender.Jitter(retryAfter))
	}
	return jobMissing(job)
}
