package runner

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
	"unicode/utf8"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/limit"
	"quetzalpier/link"
	"quetzalpier/meter"
	"quetzalpier/pace"
	"quetzalpier/platform"
	"quetzalpier/send"
	"quetzalpier/sleep"
	"quetzalpier/tasks"
)

const (
	// minEventTimeout and maxEventTimeout bound how long a run may send no event. An
	// engine that changes its weights pauses for a second or two.
	minEventTimeout = 2500 * time.Millisecond
	maxEventTimeout = 20 * time.Second
	// minSilence is how long a run without an event takes to count as silent: one that
	// ends sooner failed.
	minSilence = time.Second
	// maxErrorBytes is how much of the body of an error is read to keep its connection.
	maxErrorBytes = 64 << 10
	// refusedDelay is how long an engine gets no new run after it refused one, and
	// replacedDelay after another engine responded at its address.
	refusedDelay  = 60 * time.Millisecond
	replacedDelay = 2 * time.Second
	// rewardDeadline limits one reward call.
	rewardDeadline = 3 * time.Second
	// rewardRetryBase and rewardRetryMax bound the pause before a failed reward
	// call is repeated.
	rewardRetryBase = 100 * time.Millisecond
	rewardRetryMax  = 2 * time.Second
	// retryDelay is the delay before a task runs again whose run failed with
	// status 500 or was broken off before any event. It doesn't grow with the
	// number of failures.
	retryDelay = 100 * time.Millisecond
)

// statusError reports a response that is not a stream.
type statusError struct {
	Engine string
	Status int
	// NotRun reports whether the engine did not begin the run, and OtherEngine
	// whether the response came from an engine other than the addressed one.
	NotRun      bool
	OtherEngine bool
}

// Error implements error.
func (e *statusError) Error() string {
	return "engine " + e.Engine + " responded with status " + strconv.Itoa(e.Status)
}

// versionError reports an event that was generated with a weight version that the
// task does not accept.
type versionError struct {
	Engine  string
	Version quetzalpier.Version
}

// Error implements error.
func (e *versionError) Error() string {
	return "engine " + e.Engine + " generated with weight version " + strconv.FormatUint(uint64(e.Version), 10) + ", which the task does not accept"
}

// maxTextBytes limits the text of a task, since a result is stored in one value of the
// key-value service, which holds 1 MB.
const maxTextBytes = 960 << 10

// textSizeError reports a text that is too long to be stored.
type textSizeError struct{ Engine string }

// Error implements error.
func (e *textSizeError) Error() string {
	return "engine " + e.Engine + " generated more than " + strconv.Itoa(maxTextBytes) + " bytes"
}

const (
	// freeTextBytes is the size up to which a text needs no room, and textStep how much of a longer
	// one is accounted for at a time. A text takes up to textCopies times its size while it grows.
	freeTextBytes = 64 << 10
	textStep      = 64 << 10
	textCopies    = 2
)

// textRoomError reports a long text that has no room beside the others that are being generated.
type textRoomError struct{ Engine string }

// Error implements error.
func (e *textRoomError) Error() string {
	return "text of engine " + e.Engine + " has no room in memory beside other long ones"
}

// run is one run of a task on an engine.
type run struct {
	parent *poolRunner
	task   *tasks.Task
	engine *engine
	vm     quetzalpier.VM
	// lastEvent is the ID of the last event received, in this run or an earlier
	// one.
	lastEvent int
	startedAt time.Time
	// sentAt is when the request was sent completely; zero if it was not.
	sentAt time.Time
	// timeout is how long the run may send no event.
	timeout time.Duration
	// firstEvent is the last event before the run.
	firstEvent int
	// textBytes is the size of the text so far, with the separators of its events.
	textBytes int
	// heldBytes is the size of the text that has room, and roomBytes the room that it has.
	heldBytes, roomBytes int
	// waited is how long the task waited for the run.
	waited tasks.Wait
	// heldTokens is how many of the promptTokens that the task shares with others the engine
	// was assumed to hold.
	heldTokens, promptTokens int
	// class is the class of the prompt, and mixed whether prompts of the other class are in
	// the pool.
	class string
	mixed bool
}

// launch starts a run. The caller holds the lock.
func (p *poolRunner) launch(l tasks.Launch) {
	ctx, cancel := context.WithCancel(p.ctx)
	p.cancels[l.Task] = cancel
	p.runner.Board.Do(func(s *board.State) {
		if u := s.Upstreams[l.Engine.VM.ID]; u != nil {
			limit.Hold(u, l.Task.StartedAt)
		}
	})
	events := l.Task.Text.Events.Len()
	r := &run{
		parent: p, task: l.Task, engine: p.engines[l.Engine.VM.ID], vm: l.Engine.VM, startedAt: l.Task.StartedAt,
		firstEvent: events, lastEvent: events, textBytes: l.Task.Text.Events.Bytes(), waited: l.Waited, timeout: eventTimeout(l.Task.SilentRuns),
		heldTokens: l.HeldTokens, promptTokens: l.PromptTokens,
		class: l.Class, mixed: l.Mixed,
	}
	if l.PromptTokens > 0 {
		p.runner.Meter.PromptTokens.WithLabelValues(p.pool, "held").Add(float64(l.HeldTokens))
		p.runner.Meter.PromptTokens.WithLabelValues(p.pool, "processed").Add(float64(l.PromptTokens - l.HeldTokens))
	}
	p.goroutines.Go(func() {
		err := r.stream(ctx)
		canceled := ctx.Err() != nil
		cancel()
		p.finishRun(r, err, canceled, time.Now())
	})
}

// eventTimeout returns how long a run of a task may send no event, after as many of its
// runs in a row sent none.
//
// Load pattern: all engines are so slow that each event takes longer than the usual
// timeout. Runs that are broken off over and over would never get on.
func eventTimeout(silentRuns int) time.Duration {
	return min(maxEventTimeout, minEventTimeout<<min(silentRuns, 4))
}

// stream runs the task on the engine, starting after the last event that it
// has. A stream without an event for the run's timeout is broken off, also if other bytes
// come.
func (r *run) stream(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var stale error
	check := func() {
		if stale = r.parent.checkEnds(r.task.Job.Spec, time.Now()); stale != nil {
			cancel()
		}
	}
	// Opening a connection may take a second.
	check()
	resp, err := r.parent.runner.Upstreams.Send(ctx, r.vm, link.Call{
		Request: r.request(time.Now()), Purpose: link.PurposeRun, HeaderTimeout: r.timeout, ReadTimeout: r.timeout,
		Direct: true, Repeatable: true, OnConnected: check, OnSent: func() { r.recordSent(time.Now()) },
	})
	switch {
	case stale != nil:
		return stale
	case err != nil:
		return err
	}
	defer func() { _ = resp.Close() }()
	overdue := time.AfterFunc(r.timeout, cancel)
	defer overdue.Stop()
	worker := string(resp.Header.Peek(platform.HeaderWorker))
	status := &statusError{
		Engine: r.vm.ID, Status: resp.Status, OtherEngine: worker != "" && worker != r.vm.ID,
		NotRun: platform.StatesNotRun(resp.Status, resp.Header),
	}
	declined := resp.Status != http.StatusOK && (status.NotRun || status.OtherEngine)
	if id := string(resp.Header.Peek(platform.HeaderAttempt)); id != r.task.Spec.ID && !declined {
		resp.Discard()
		return errors.Errorf("response of engine %s is for task %q", r.vm.ID, id)
	}
	if resp.Status != http.StatusOK {
		// The connection is kept if the body is short.
		if _, err := io.Copy(io.Discard, io.LimitReader(resp, maxErrorBytes)); err != nil {
			return err
		}
		return status
	}
	// A run that is resumed after its final event generates none, and its
	// response names no version.
	var version quetzalpier.Version
	if text := string(resp.Header.Peek(platform.HeaderWeightVersion)); text != "" {
		if version, err = platform.ParseVersion(text); err != nil {
			return errors.Wrap(err, "response of engine "+r.vm.ID)
		}
	}
	events := r.parent.runner.Upstreams.DecodeEvents(resp)
	defer events.Close()
	return r.readEvents(events, version, overdue)
}

func (r *run) recordSent(now time.Time) {
	r.sentAt = now
	r.parent.recordSent(kindRun, r.task, r.task.Spec.ID, r.vm.ID, now)
}

func (r *run) request(now time.Time) *fasthttp.Request {
	spec, job := r.task.Spec, r.task.Job.Spec
	keyed := job.Customer != ""
	r.parent.runner.Board.Do(func(s *board.State) { keyed = keyed || s.Access.Enabled() })
	req := &fasthttp.Request{}
	req.Header.SetMethod(http.MethodPost)
	req.Header.SetRequestURI(spec.Path)
	for name, value := range spec.Headers {
		req.Header.Set(name, value)
	}
	platform.StripHopHeaders(&req.Header)
	req.Header.Del(platform.HeaderLastEventID)
	req.Header.SetHost(job.Host)
	if keyed {
		platform.SetCustomer(&req.Header, job.Customer)
	}
	req.Header.Set(platform.HeaderAttempt, spec.ID)
	req.Header.Set(platform.HeaderDeadline, strconv.FormatInt(max(1, job.ExpiresAt.Sub(now).Milliseconds()), 10))
	if r.mixed && r.class == pace.LongPrompt && len(req.Header.Peek(platform.HeaderUrgency)) == 0 {
		req.Header.Set(platform.HeaderUrgency, platform.UrgencyLongPrompt)
	}
	if r.lastEvent > 0 {
		req.Header.Set(platform.HeaderLastEventID, strconv.Itoa(r.lastEvent))
	}
	req.SetBodyRaw(spec.Body)
	return req
}

// readEvents adds the events of the stream to the task's text. io.EOF is the
// regular end of the stream, unless the task has no event. overdue breaks it off.
func (r *run) readEvents(events *platform.EventDecoder, version quetzalpier.Version, overdue *time.Timer) error {
	for {
		overdue.Reset(r.timeout)
		event, err := events.Next()
		if err == io.EOF && r.lastEvent == 0 {
			return errors.Errorf("engine %s sent no event", r.vm.ID)
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if event.Version > 0 {
			version = event.Version
		}
		if version == 0 {
			return errors.Errorf("engine %s sent no weight version for event %d", r.vm.ID, event.ID)
		}
		if event.ID != r.lastEvent+1 {
			return errors.Errorf("engine %s sent event %d after event %d", r.vm.ID, event.ID, r.lastEvent)
		}
		r.lastEvent++
		if !utf8.ValidString(event.Data) {
			// JSON and protobuf messages can't hold it. The replacements are those of encoding/json.
			event.Data = string([]rune(event.Data))
		}
		if r.textBytes += len(event.Data) + 1; r.textBytes > maxTextBytes {
			return &textSizeError{Engine: r.vm.ID}
		}
		if !r.takeRoom() {
			return &textRoomError{Engine: r.vm.ID}
		}
		if !r.addEvent(event.Data, version, time.Now()) {
			return &versionError{Engine: r.vm.ID, Version: version}
		}
	}
}

// takeRoom takes room for the text if it is a long one. It returns false if there is none.
func (r *run) takeRoom() bool {
	for r.textBytes > freeTextBytes+r.heldBytes {
		if !r.parent.runner.textRoom().Take(textCopies * textStep) {
			return false
		}
		r.heldBytes += textStep
		r.roomBytes += textCopies * textStep
	}
	return true
}

// addEvent adds an event to the task's text. It returns false if the run is no
// longer useful.
func (r *run) addEvent(data string, version quetzalpier.Version, now time.Time) bool {
	r.parent.mu.Lock()
	defer r.parent.mu.Unlock()
	job := r.task.Job.Spec
	r.engine.Versions[job.Model] = version
	if r.task.Canceled || version < job.MinVersion {
		return false
	}
	r.task.Text.Add(data, version)
	if r.lastEvent == r.firstEvent+1 {
		r.parent.runner.Meter.FirstToken.WithLabelValues(r.parent.pool, r.class).Observe(meter.SecondsBetween(r.startedAt, now))
	}
	if r.task.LastEventAt != r.task.StartedAt {
		r.engine.ObserveEvent(now.Sub(r.task.LastEventAt), now)
	}
	r.task.LastEventAt = now
	r.task.SilentRuns = 0
	return r.task.Text.MeetsPolicy(job)
}

// finishRun handles the end of a run.
func (p *poolRunner) finishRun(r *run, err error, canceled bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	defer signal(p.wake)
	p.runner.textRoom().Add(-r.roomBytes)
	delete(p.cancels, r.task)
	r.engine.Running--
	var limited *quetzalpier.LimitedError
	var stale *staleEndsError
	if !errors.As(err, &limited) && !errors.As(err, &stale) {
		p.logRun(r, err, canceled, now)
	}
	if r.task.Phase != tasks.Running || r.task.Job.Ended {
		return
	}
	r.task.Phase = tasks.Waiting
	if err != nil && r.lastEvent == r.firstEvent && now.Sub(r.startedAt) >= minSilence {
		r.task.SilentRuns++
	}
	dropped := !r.task.Text.MeetsPolicy(r.task.Job.Spec) || r.task.Text.MayBeMixed(p.softwareOf)
	if dropped {
		r.task.DropText()
	}
	switch {
	case canceled, err == nil && dropped:
	case errors.As(err, &stale):
		r.task.NotBefore = now.Add(endsRetryDelay)
	case errors.As(err, &limited):
		// The run was not sent; the engine gets no other one until its limit allows it.
	case err == nil:
		r.engine.RecordSuccess()
		p.scheduler.Complete(r.task, now)
		p.continueTask(r.task)
	default:
		p.handleRunError(r, err, now)
	}
}

// handleRunError decides on retries and delays after a failed run. Each engine that
// fails is held back by itself. Tasks are sound: the engines lost during the runs of
// a task don't add up against it. The caller holds the lock.
func (p *poolRunner) handleRunError(r *run, err error, now time.Time) {
	var status *statusError
	var version *versionError
	var linkErr *link.Error
	var oversized *textSizeError
	var room *textRoomError
	errors.As(err, &status)
	errors.As(err, &version)
	errors.As(err, &linkErr)
	switch {
	case status != nil && status.OtherEngine:
		r.engine.VM.State = quetzalpier.VMLeaving
		r.engine.NotUntil = now.Add(replacedDelay)
	case status != nil && status.NotRun:
		r.engine.NotUntil = now.Add(refusedDelay)
	case status != nil && status.Status == http.StatusUnprocessableEntity:
		p.scheduler.Fail(r.task, now)
	case errors.As(err, &oversized), status != nil && status.Status == http.StatusInternalServerError:
		if oversized != nil {
			r.task.DropText()
		}
		r.task.Failures++
		r.task.NotBefore = now.Add(retryDelay)
		if r.task.Failures >= r.task.Job.Spec.MaxAttempts {
			p.scheduler.Fail(r.task, now)
		}
	case status != nil && status.Status < http.StatusInternalServerError:
		// The engine works, and may accept other tasks.
		r.engine.NotUntil = now.Add(refusedDelay)
		r.task.NotBefore = now.Add(retryDelay)
	case version != nil && version.Version >= r.task.Job.Spec.MinVersion:
		// The engine loaded new weights during the run of a task that needs a
		// single version.
		r.task.NotBefore = now.Add(retryDelay)
	case errors.As(err, &room):
		r.task.DropText()
		r.engine.RecordFailure(r.startedAt, now)
		r.task.NotBefore = now.Add(retryDelay)
	default:
		r.engine.RecordFailure(r.startedAt, now)
		connected := linkErr == nil || linkErr.Stage != link.StageConnect
		if connected && r.lastEvent == r.firstEvent {
			r.task.NotBefore = now.Add(retryDelay)
		}
	}
}

func (p *poolRunner) logRun(r *run, err error, canceled bool, now time.Time) {
	outcome := "whole"
	line := p.runner.Log.Info()
	switch {
	case canceled:
		outcome = "cut"
	case err != nil:
		outcome = "failed"
		line = p.runner.Log.Warn().Err(err)
	}
	p.runner.Meter.Attempts.WithLabelValues(p.pool, outcome).Inc()
	withSent(line, r.sentAt, p.endedJobs[r.task.Job.Spec.ID]).Str("task", r.task.Spec.ID).Str("job", r.task.Job.Spec.ID).Str("group", r.task.Spec.Group).Str("engine", r.vm.ID).Str("software", r.vm.Software).Str("began", r.task.Text.Software).Str("outcome", outcome).
		Dur("busy_ms", r.waited.Busy).Dur("unloaded_ms", r.waited.Unloaded).Int("from", r.firstEvent).Int("events", r.lastEvent).Int("hint", r.task.Spec.LengthHint).Int("running", r.engine.Running).
		Int("prompt", r.promptTokens).Int("held", r.heldTokens).Dur("took_ms", now.Sub(r.startedAt)).Msg("run ended")
}

// continueTask takes the next step with a task whose text is complete: it fetches
// the reward, with retries, or has the result stored. The caller holds the lock.
func (p *poolRunner) continueTask(task *tasks.Task) {
	if task.Phase != tasks.Scoring {
		signal(p.resultReady)
		return
	}
	ctx, cancel := context.WithCancel(p.ctx)
	p.cancels[task] = cancel
	p.goroutines.Go(func() {
		defer cancel()
		p.fetchReward(ctx, task)
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.cancels, task)
	})
}

// fetchReward calls the reward of a task until there is an outcome or ctx ends.
func (p *poolRunner) fetchReward(ctx context.Context, task *tasks.Task) {
	for failures := 1; ctx.Err() == nil; failures++ {
		began := time.Now()
		if p.applyReward(task, p.callReward(ctx, task, began), time.Now()) {
			return
		}
		sleep.For(ctx, sleep.Backoff(failures, rewardRetryBase, rewardRetryMax, rand.Float64()))
	}
}

// rewardOutcome is the result of a reward call.
type rewardOutcome struct {
	Stamp  string
	Status int
	// MaxAttempts is how many failed calls end the task; zero means no limit.
	MaxAttempts int
	Err         error
	// BeganAt is when the call was made, Upstream where it went last, and SentAt when it was
	// sent completely last; zero if it was not.
	BeganAt  time.Time
	Upstream string
	SentAt   time.Time
}

// applyReward applies the outcome of a reward call to the task. It returns
// false if the call is to be repeated.
func (p *poolRunner) applyReward(task *tasks.Task, result rewardOutcome, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if task.Phase != tasks.Scoring || !task.Job.Open(now) {
		p.logClosedReward(task, result, now)
		return true
	}
	defer signal(p.resultReady)
	if result.Err == nil && result.Status < http.StatusMultipleChoices && result.Stamp != "" {
		p.scheduler.Finish(task, result.Stamp, now)
		p.logReward(p.runner.Log.Info(), task, result, now).Int("failures", task.RewardFailures).Msg("task scored")
		return true
	}
	if result.Status == http.StatusInternalServerError {
		task.RewardFailures++
	}
	p.logReward(p.runner.Log.Warn(), task, result, now).Int("status", result.Status).AnErr("cause", result.Err).
		Int("refusals", task.RewardFailures).Msg("reward call failed")
	if result.MaxAttempts > 0 && task.RewardFailures >= result.MaxAttempts {
		p.scheduler.Fail(task, now)
		return true
	}
	return false
}

// logReward adds to a line what is known of a reward call. The caller holds the lock.
func (p *poolRunner) logReward(line *zerolog.Event, task *tasks.Task, result rewardOutcome, now time.Time) *zerolog.Event {
	job := task.Job.Spec.ID
	line.Str("task", task.Spec.ID).Str("job", job).Str("reward", task.Spec.Reward.ID).Str("upstream", result.Upstream)
	return withSent(line, result.SentAt, p.endedJobs[job]).Dur("took_ms", now.Sub(result.BeganAt))
}

// logClosedReward logs a reward call that was sent and whose job closed meanwhile. The
// caller holds the lock.
func (p *poolRunner) logClosedReward(task *tasks.Task, result rewardOutcome, now time.Time) {
	if !result.SentAt.IsZero() {
		p.logReward(p.runner.Log.Info(), task, result, now).Int("status", result.Status).AnErr("cause", result.Err).Msg("reward call of a closed job ended")
	}
}

// callReward makes the reward call of a task on the route of its host and path.
func (p *poolRunner) callReward(ctx context.Context, task *tasks.Task, now time.Time) rewardOutcome {
	reward := task.Spec.Reward
	var route quetzalpier.Route
	found := false
	p.runner.Board.Do(func(s *board.State) { route, found = s.Config.MatchRoute(reward.Host, reward.Path) })
	if !found {
		return rewardOutcome{BeganAt: now, Err: errors.Errorf("no route for reward call to %s%s", reward.Host, reward.Path)}
	}
	deadline := now.Add(rewardDeadline)
	if route.Timeout > 0 {
		deadline = now.Add(min(route.Timeout, rewardDeadline))
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	// The job has no queue deadline: a call that waits costs less than one that
	// is repeated.
	job := &send.Job{
		Pool: route.PickPool(rand.Float64()), Class: quetzalpier.ClassRollout, Tenant: p.pool, Priority: route.Priority, Idempotent: true, MaxAttempts: route.MaxAttempts,
	}
	job.Priority = route.Priority
	result := rewardOutcome{MaxAttempts: route.MaxAttempts, BeganAt: now}
	result.Err = p.runner.Sender.Do(ctx, job, func(ctx context.Context, a *send.Attempt) error {
		if err := p.checkEnds(task.Job.Spec, time.Now()); err != nil {
			cancel()
			return err
		}
		req := &fasthttp.Request{}
		req.Header.SetMethod(http.MethodPost)
		req.Header.SetRequestURI(reward.Path)
		req.Header.SetHost(reward.Host)
		req.Header.Set(platform.HeaderAttempt, reward.ID)
		req.SetBodyRaw(reward.Body)
		result.Upstream = a.VM.ID
		resp, err := p.runner.Upstreams.Forward(ctx, platform.Attempt{
			VM: a.VM, Purpose: link.PurposeReward, Fresh: a.Fresh, Repeatable: true, Deadline: deadline, SkipBody: true,
			OnSent: func() {
				result.SentAt = time.Now()
				p.recordSent(kindReward, task, reward.ID, a.VM.ID, result.SentAt)
			},
		}, req)
		p.runner.Sender.RecordDecline(a.VM.ID, resp, err, time.Now())
		if err != nil {
			return err
		}
		a.Units = 1
		p.runner.Sender.RecordShared(a.VM.ID, resp, time.Now())
		if !utf8.ValidString(resp.Stamp) {
			return &platform.InvalidAnswerError{Upstream: a.VM.ID, Reason: "its signature is not UTF-8"}
		}
		result.Stamp, result.Status = resp.Stamp, resp.Status
		return nil
	})
	return result
}
