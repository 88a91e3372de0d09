package usage

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/duty"
	"quetzalpier/meter"
	"quetzalpier/platform"
	"quetzalpier/sleep"
	"quetzalpier/vault"
	"quetzalpier/wire"
)

const (
	// Prefix is the prefix of the keys of reports, which end in the number of the window.
	Prefix = vault.Duties + "usage/"

	stepInterval  = 100 * time.Millisecond
	pruneInterval = time.Second
	// storeTimeout limits a call to the store, and reportTimeout one to the platform, which
	// answers in 0.2 s when it is slow.
	storeTimeout  = 1500 * time.Millisecond
	reportTimeout = 1500 * time.Millisecond
)

// Outcomes of windows in metrics and logs.
const (
	// Reported windows were accepted in time, late ones after their report was due.
	outcomeReported = "reported"
	outcomeLate     = "late"
	// Made up windows ended before the node held the duty; repeated ones were fixed by an
	// earlier holder and may have been sent by it.
	outcomeMadeUp   = "made up"
	outcomeRepeated = "repeated"
	outcomeLost     = "lost"
)

// Reporter collects the runs of all fronts while its node owns the pool of the duties, and
// reports them while it holds them.
type Reporter struct {
	Node     string
	Schedule Schedule
	Board    *board.Board
	Holder   *duty.Holder
	KV       quetzalpier.KV
	Duties   quetzalpier.Duties
	Meter    *meter.Meter
	Log      zerolog.Logger

	mu        sync.Mutex
	collector *Collector

	// Only Run uses the plan, which holds for planToken and the time planSince, and these
	// times and counts.
	plan      *Plan
	planToken uint64
	planSince time.Time
	failures  int
	loadAt    time.Time
	prunedAt  time.Time
}

// NewReporter returns a Reporter that begins now.
func NewReporter(now time.Time) *Reporter { return &Reporter{collector: NewCollector(now)} }

// Receive handles a message of a front. The owner of the pool accepts runs before it holds
// the duties and while its lease is not valid, since it may report them later.
func (r *Reporter) Receive(message *wire.Usage, now time.Time) *wire.Counted {
	owner := false
	r.Board.Do(func(s *board.State) { owner = s.Owners[duty.Pool(s)].Node == r.Node })
	if !owner {
		return &wire.Counted{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	next, late := r.collector.Receive(message, now)
	if late > 0 {
		r.Meter.UsageRuns.WithLabelValues("late").Add(float64(late))
		r.Log.Warn().Str("front", message.GetNode()).Int("runs", late).Msg("runs arrived after their window was closed")
	}
	return &wire.Counted{Holder: true, Next: next}
}

// Run reports until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	for sleep.For(ctx, stepInterval) {
		r.Step(ctx, time.Now())
	}
}

// Step closes, writes, sends and gives up the reports that are due to be at now, if the node
// holds the duty.
func (r *Reporter) Step(ctx context.Context, now time.Time) {
	r.prune(now)
	token, since, ok := r.Holder.Token(now)
	if !ok || !r.load(ctx, token, since, now) {
		return
	}
	r.planSince, r.plan.Since = since, r.trueTime(since)
	began := time.Now()
	for r.perform(ctx, token, now) && ctx.Err() == nil {
		now, began = now.Add(time.Since(began)), time.Now()
	}
	r.recordLost()
}

// trueTime returns the estimate of the true time at a moment.
func (r *Reporter) trueTime(at time.Time) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.collector.Clock.True(at)
}

// prune drops what is no longer needed and compares the node's own clock with the others.
func (r *Reporter) prune(now time.Time) {
	if now.Sub(r.prunedAt) < pruneInterval {
		return
	}
	r.prunedAt = now
	r.mu.Lock()
	defer r.mu.Unlock()
	r.collector.Clock.Observe(r.Node, now, now)
	r.collector.Prune(now)
}

// load reads the reports that earlier holders fixed, unless the node has held the duty since
// it did, perhaps with another token.
func (r *Reporter) load(ctx context.Context, token uint64, since, now time.Time) bool {
	if r.planToken == token || r.planToken > 0 && since.Equal(r.planSince) {
		r.planToken = token
		return true
	}
	if now.Before(r.loadAt) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	found, err := r.KV.Range(ctx, Prefix, false)
	if err != nil {
		r.failures++
		r.loadAt = now.Add(sleep.Backoff(r.failures, retryBase, retryMax, 0))
		r.Log.Warn().Err(err).Msg("reports of usage could not be read")
		return false
	}
	stored := map[int64][]byte{}
	for _, entry := range found.Entries {
		window, err := strconv.ParseInt(strings.TrimPrefix(entry.Key, Prefix), 10, 64)
		if err != nil {
			r.Log.Error().Str("key", entry.Key).Err(err).Msg("key of a report of usage could not be decoded")
			continue
		}
		stored[window] = entry.Value
	}
	r.plan, r.planToken, r.failures = NewPlan(r.Schedule, stored, r.trueTime(now)), token, 0
	r.Log.Info().Uint64("token", token).Int("stored", len(stored)).Int("ignored", r.plan.Ignored).Int("repeated", len(r.plan.reports)).Int64("next", r.plan.next).
		Msg("reports of usage read")
	return true
}

// perform performs the next step and reports whether there may be another one.
func (r *Reporter) perform(ctx context.Context, token uint64, now time.Time) bool {
	switch step := r.plan.Next(r.trueTime(now)); step.Kind {
	case Close:
		return r.close(step.Window)
	case Fix:
		return r.fix(ctx, token, step.Report, now)
	case Send:
		return r.send(ctx, step.Report, now)
	}
	return false
}

// close counts the runs of a window.
func (r *Reporter) close(window int64) bool {
	r.mu.Lock()
	counts := r.collector.Count(window, r.Schedule.Start(window), r.Schedule.Start(window+1))
	r.mu.Unlock()
	body, err := platform.EncodeUsage(window, counts)
	if err != nil {
		r.Log.Error().Int64("window", window).Err(err).Msg("report of usage could not be encoded")
		return false
	}
	r.plan.Closed(window, body)
	return true
}

// fix writes a report to the store, or reads the one that is there. Whichever was written
// first is the report of the window.
func (r *Reporter) fix(ctx context.Context, token uint64, report *Report, now time.Time) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	key := reportKey(report.Window)
	expired := r.plan.Expired(report.Window)
	txn := quetzalpier.Txn{
		Expect: map[string]uint64{duty.Key: token, key: 0},
		Writes: []quetzalpier.Write{{Key: key, Value: report.Body}},
	}
	for _, window := range expired {
		txn.Deletes = append(txn.Deletes, reportKey(window))
	}
	_, err := r.KV.Commit(ctx, txn)
	var conflict *quetzalpier.RevisionError
	switch {
	case err == nil:
		r.plan.Fixed(report, report.Body)
		r.plan.Deleted(expired)
		return true
	case errors.As(err, &conflict) && conflict.Key == duty.Key:
		r.Holder.Superseded(token)
		r.planToken = 0
		r.Log.Warn().Uint64("token", token).Err(err).Msg("another node holds the duties")
		return false
	}
	// An earlier attempt may have written the report although its outcome was not known.
	entry, readErr := r.KV.Get(ctx, key)
	if readErr == nil && entry.Rev != 0 {
		r.plan.Fixed(report, entry.Value)
		return true
	}
	r.plan.Failed(report, r.trueTime(now))
	r.Log.Warn().Int64("window", report.Window).Err(err).AnErr("read", readErr).Msg("report of usage could not be written")
	return true
}

func reportKey(window int64) string { return Prefix + strconv.FormatInt(window, 10) }

// send sends a report to the platform, if it is this node's turn.
func (r *Reporter) send(ctx context.Context, report *Report, now time.Time) bool {
	turn, ok := r.Holder.Turn(now)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	began := time.Now()
	err := r.Duties.ReportUsage(ctx, turn, report.Body)
	now = now.Add(time.Since(began))
	r.Holder.Observe(turn, err, now)
	moment := r.trueTime(now)
	if err != nil {
		r.plan.Failed(report, moment)
		r.Log.Warn().Int64("window", report.Window).Uint64("token", turn.Token).Err(err).Msg("report of usage was not accepted")
		return true
	}
	r.plan.Sent(report)
	outcome := outcomeOf(report, !moment.Before(r.Schedule.Due(report.Window)))
	r.Meter.UsageWindows.WithLabelValues(outcome).Inc()
	r.Log.Info().Int64("window", report.Window).Uint64("token", turn.Token).Str("outcome", outcome).Int("bytes", len(report.Body)).
		Dur("left_ms", r.Schedule.Due(report.Window).Sub(moment)).Msg("usage reported")
	return true
}

// outcomeOf returns the outcome of a report that was accepted.
func outcomeOf(report *Report, late bool) string {
	switch {
	case report.Inherited:
		return outcomeRepeated
	case late:
		return outcomeLate
	case report.MadeUp:
		return outcomeMadeUp
	}
	return outcomeReported
}

// recordLost records the windows that were given up.
func (r *Reporter) recordLost() {
	if r.plan.Lost == 0 {
		return
	}
	r.Meter.UsageWindows.WithLabelValues(outcomeLost).Add(float64(r.plan.Lost))
	r.Log.Error().Int("windows", r.plan.Lost).Int64("next", r.plan.next).Msg("windows of usage were not reported while due")
	r.plan.Lost = 0
}
