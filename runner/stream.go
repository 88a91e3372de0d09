package runner

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/link"
	"quetzalpier/platform"
	"quetzalpier/send"
	"quetzalpier/sleep"
	"quetzalpier/tasks"
)

const (
	// firstLimit bounds the time to a stream's header and progressLimit the time
	// between two reads. An engine that changes its weights pauses for a second
	// or two.
	firstLimit    = 2500 * time.Millisecond
	progressLimit = 2500 * time.Millisecond
	// refusedPause and failedPause are how long an engine gets no new run after
	// it refused one or broke one off; the latter doubles with each in a row.
	refusedPause = 60 * time.Millisecond
	failedPause  = 250 * time.Millisecond
	failedMax    = 2 * time.Second
	// crashLimit is how many engines may go away under a task before it is kept
	// from all of them.
	crashLimit = 3
	// rewardDeadline bounds one reward call.
	rewardDeadline = 3 * time.Second
	rewardPause    = 100 * time.Millisecond
)

// statusError reports an answer that is no stream.
type statusError struct {
	Engine string
	Status int
	// NotRun tells that the engine did not begin the run, and Other that it is
	// not the engine that was meant.
	NotRun bool
	Other  bool
}

// Error implements error.
func (e *statusError) Error() string {
	return "engine " + e.Engine + " answered " + strconv.Itoa(e.Status)
}

// run is one run of a task on an engine.
type run struct {
	term   *term
	task   *tasks.Task
	engine *engine
	vm     quetzalpier.VM
	last   int
	began  time.Time
}

// launch starts a run; the caller holds the lock.
func (t *term) launch(l tasks.Launch) {
	ctx, cancel := context.WithCancel(t.ctx)
	t.cancels[l.Task] = cancel
	r := &run{term: t, task: l.Task, engine: t.engines[l.Engine.VM.ID], vm: l.Engine.VM, last: len(l.Task.Text.Events), began: l.Task.Started}
	t.jobs.Go(func() {
		err := r.stream(ctx)
		cut := ctx.Err() != nil
		cancel()
		t.finish(r, err, cut, time.Now())
	})
}

// stream runs the task on the engine from the event on that it has last.
func (r *run) stream(ctx context.Context) error {
	answer, err := r.term.r.Links.Do(ctx, link.Call{
		Addr: r.vm.Addr, Request: r.request(time.Now()), First: firstLimit, Progress: progressLimit,
	})
	if err != nil {
		return err
	}
	defer func() { _ = answer.Close() }()
	if answer.Status != http.StatusOK {
		_, _ = io.Copy(io.Discard, answer)
		other := string(answer.Header.Peek(platform.HeaderWorker))
		return &statusError{
			Engine: r.vm.ID, Status: answer.Status, Other: other != "" && other != r.vm.ID,
			NotRun: len(answer.Header.Peek(platform.HeaderNotRun)) > 0 || answer.Status == http.StatusMisdirectedRequest,
		}
	}
	if id := string(answer.Header.Peek(platform.HeaderAttempt)); id != r.task.Spec.ID {
		return errors.Errorf("answer of engine %s belongs to %q", r.vm.ID, id)
	}
	// A run that was resumed behind its last event makes none, and names no
	// version.
	var version quetzalpier.Version
	if text := string(answer.Header.Peek(platform.HeaderVersion)); text != "" {
		if version, err = platform.ParseVersion(text); err != nil {
			return errors.Wrap(err, "answer of engine "+r.vm.ID)
		}
	}
	return r.events(platform.NewEvents(answer), version)
}

func (r *run) request(now time.Time) *fasthttp.Request {
	spec, job := r.task.Spec, r.task.Job.Spec
	req := &fasthttp.Request{}
	req.Header.SetMethod(http.MethodPost)
	req.Header.SetRequestURI(spec.Path)
	req.Header.SetHost(job.Host)
	for name, value := range spec.Headers {
		req.Header.Set(name, value)
	}
	req.Header.Set(platform.HeaderAttempt, spec.ID)
	req.Header.Set(platform.HeaderExpectWorker, r.vm.ID)
	req.Header.Set(platform.HeaderDeadline, strconv.FormatInt(max(1, job.Expires.Sub(now).Milliseconds()), 10))
	if r.last > 0 {
		req.Header.Set(platform.HeaderLast, strconv.Itoa(r.last))
	}
	req.SetBodyRaw(spec.Body)
	return req
}

// events gathers the stream's events. io.EOF of the body is its regular end.
func (r *run) events(events *platform.Events, version quetzalpier.Version) error {
	for {
		event, err := events.Next()
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
			return errors.Errorf("engine %s names no version for event %d", r.vm.ID, event.ID)
		}
		if event.ID != r.last+1 {
			return errors.Errorf("engine %s sent event %d after %d", r.vm.ID, event.ID, r.last)
		}
		r.last++
		if !r.add(event.Data, version, time.Now()) {
			return errors.Errorf("engine %s works with version %d", r.vm.ID, version)
		}
	}
}

// add takes an event over; false if the run is of no use any more.
func (r *run) add(data string, version quetzalpier.Version, now time.Time) bool {
	r.term.mu.Lock()
	defer r.term.mu.Unlock()
	job := r.task.Job.Spec
	r.engine.Versions[job.Model] = version
	if r.task.Cut || version < job.Floor {
		return false
	}
	r.task.Text.Add(data, version)
	if r.task.Moved != r.task.Started {
		r.engine.Note(now.Sub(r.task.Moved))
	}
	r.task.Moved = now
	return r.task.Text.Fits(job)
}

// finish takes a run's end over.
func (t *term) finish(r *run, err error, cut bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer signal(t.wake)
	delete(t.cancels, r.task)
	r.engine.Running--
	t.logRun(r, err, cut, now)
	if r.task.Phase != tasks.Running {
		return
	}
	r.task.Phase = tasks.Waiting
	if !r.task.Text.Fits(r.task.Job.Spec) {
		r.task.Text = tasks.Text{}
		r.task.Saved = 0
	}
	switch {
	case cut:
	case err == nil:
		r.engine.Failures = 0
		r.engine.NotUntil = time.Time{}
		r.task.Phase = tasks.Scoring
		t.score(r.task)
	default:
		t.failed(r, err, now)
	}
}

// failed decides what a failed run means; the caller holds the lock.
func (t *term) failed(r *run, err error, now time.Time) {
	var status *statusError
	var broken *link.Error
	errors.As(err, &status)
	errors.As(err, &broken)
	switch {
	case status != nil && status.Other:
		r.engine.VM.State = quetzalpier.VMLeaving
		r.engine.NotUntil = now.Add(failedMax)
	case status != nil && status.NotRun:
		r.engine.NotUntil = now.Add(refusedPause)
	case status != nil && status.Status == http.StatusUnprocessableEntity:
		t.book.GiveUp(r.task, now)
	case status != nil && status.Status == http.StatusInternalServerError:
		r.task.Failures++
		r.task.NotBefore = now.Add(rewardPause)
		if r.task.Failures >= r.task.Job.Spec.Attempts {
			t.book.GiveUp(r.task, now)
		}
	default:
		r.engine.Failures++
		r.engine.NotUntil = now.Add(min(failedMax, failedPause<<min(r.engine.Failures-1, 4)))
		if broken != nil && broken.Stage == link.StageConnect {
			return
		}
		if r.task.Crashes++; r.task.Crashes >= crashLimit {
			r.task.NotBefore = now.Add(failedMax << min(r.task.Crashes-crashLimit, 4))
		}
	}
}

func (t *term) logRun(r *run, err error, cut bool, now time.Time) {
	outcome := "whole"
	line := t.r.Log.Info()
	switch {
	case cut:
		outcome = "cut"
	case err != nil:
		outcome = "failed"
		line = t.r.Log.Warn().Err(err)
	}
	t.r.Meter.Attempts.WithLabelValues(t.pool, outcome).Inc()
	line.Str("task", r.task.Spec.ID).Str("job", r.task.Job.Spec.ID).Str("engine", r.vm.ID).Str("outcome", outcome).
		Int("events", r.last).Int("hint", r.task.Spec.Hint).Int("running", r.engine.Running).
		Dur("took_ms", now.Sub(r.began)).Msg("run ended")
}

// score fetches the reward of a whole text; the caller holds the lock.
func (t *term) score(task *tasks.Task) {
	t.jobs.Go(func() {
		for t.ctx.Err() == nil {
			if t.scored(task, t.reward(task.Spec.Reward), time.Now()) {
				return
			}
			sleep.For(t.ctx, rewardPause)
		}
	})
}

// outcome is what became of a reward call.
type outcome struct {
	Stamp  string
	Status int
	// Attempts is how many failed calls end the task.
	Attempts int
	Err      error
}

// scored takes the outcome of a reward call over; false if there is to be
// another one.
func (t *term) scored(task *tasks.Task, got outcome, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if task.Phase != tasks.Scoring || !task.Job.Open(now) {
		return true
	}
	defer signal(t.finished)
	if got.Err == nil && got.Status < http.StatusMultipleChoices && got.Stamp != "" {
		t.book.Finish(task, got.Stamp, now)
		return true
	}
	if got.Status == http.StatusInternalServerError {
		task.Refusals++
	}
	t.r.Log.Warn().Str("task", task.Spec.ID).Str("reward", task.Spec.Reward.ID).Int("status", got.Status).AnErr("cause", got.Err).
		Int("refusals", task.Refusals).Msg("reward call failed")
	if got.Attempts > 0 && task.Refusals >= got.Attempts {
		t.book.GiveUp(task, now)
		return true
	}
	return false
}

// reward makes a reward call through the route of its host and path.
func (t *term) reward(reward quetzalpier.Reward) outcome {
	now := time.Now()
	var route quetzalpier.Route
	known := false
	t.r.Board.Do(func(s *board.State) { route, known = s.Config.Match(reward.Host, reward.Path) })
	if !known {
		return outcome{Err: errors.Errorf("no route for %s%s", reward.Host, reward.Path)}
	}
	deadline := now.Add(rewardDeadline)
	if route.Timeout > 0 {
		deadline = now.Add(min(route.Timeout, rewardDeadline))
	}
	ctx, cancel := context.WithDeadline(t.ctx, deadline)
	defer cancel()
	// No deadline for the queue: a call that waits is better than one that
	// comes again.
	job := &send.Job{
		Pool: route.Choose(rand.Float64()), Class: quetzalpier.ClassRollout, Tenant: t.pool, Idempotent: true, Attempts: route.Attempts,
	}
	got := outcome{Attempts: route.Attempts}
	got.Err = t.r.Sender.Do(ctx, job, func(ctx context.Context, a *send.Attempt) error {
		req := &fasthttp.Request{}
		req.Header.SetMethod(http.MethodPost)
		req.Header.SetRequestURI(reward.Path)
		req.Header.SetHost(reward.Host)
		req.Header.Set(platform.HeaderAttempt, reward.ID)
		req.SetBodyRaw(reward.Body)
		answer, err := platform.Pass(ctx, t.r.Links, a.VM, a.Fresh, req, deadline)
		if err != nil {
			return err
		}
		a.Units = 1
		got.Stamp, got.Status = answer.Stamp, answer.Status
		return nil
	})
	return got
}
