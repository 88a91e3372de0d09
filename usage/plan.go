package usage

import (
	"math"
	"slices"
	"time"

	"quetzalpier/sleep"
)

const (
	// maxCloseDelay is how long after its end a window is closed: the runs of a front arrive
	// within 0.2 s and the time of a message, those of requests without an answer within 1.5 s
	// more. A quarter of the time until the report is due is not exceeded.
	maxCloseDelay = 2500 * time.Millisecond
	// retryBase and retryMax bound the pause before a report is written or sent again.
	retryBase = 250 * time.Millisecond
	retryMax  = 2 * time.Second
	// maxDeletes limits the keys that one transaction deletes, below the store's limit.
	maxDeletes = 24
)

// Schedule is when windows are closed and their reports are due.
type Schedule struct {
	// Window is the length of a window, and Late the time after its end until which its
	// report is due.
	Window time.Duration
	Late   time.Duration
}

// At returns the window that a moment of true time lies in.
func (s Schedule) At(moment time.Time) int64 {
	return int64(math.Floor(float64(moment.UnixMilli()) / float64(s.Window.Milliseconds())))
}

// Start returns the true time at which a window begins.
func (s Schedule) Start(window int64) time.Time {
	return time.UnixMilli(window * s.Window.Milliseconds())
}

// Due returns the true time until which the report of a window is due.
func (s Schedule) Due(window int64) time.Time { return s.Start(window + 1).Add(s.Late) }

// plausible reports whether a holder can have closed the window before now. Clocks differ by
// less than Late.
func (s Schedule) plausible(window int64, now time.Time) bool {
	return window >= 0 && window <= s.At(now.Add(s.Late))
}

// closeDelay returns how long after its end a window is closed.
func (s Schedule) closeDelay() time.Duration { return min(maxCloseDelay, s.Late/4) }

// firstDue returns the oldest window that is due at now.
func (s Schedule) firstDue(now time.Time) int64 {
	window := s.At(now.Add(-s.Late)) - 1
	for !now.Before(s.Due(window)) {
		window++
	}
	return window
}

// Report is the report of a window.
type Report struct {
	Window int64
	Body   []byte
	// Fixed reports whether the store has it, and Inherited whether an earlier holder fixed
	// it, so that it may have been sent. MadeUp reports are of windows that ended before the
	// node held the duty.
	Fixed     bool
	Inherited bool
	MadeUp    bool

	failures int
	retryAt  time.Time
}

// Kind is what to do with a window.
type Kind int

// The kinds of steps.
const (
	Idle Kind = iota
	// Close counts the runs of the window.
	Close
	// Fix writes the report to the store.
	Fix
	// Send sends the report to the platform.
	Send
)

// Step is what to do next.
type Step struct {
	Kind   Kind
	Window int64
	// Report is the report to write or send.
	Report *Report
}

// Plan decides which windows to close, and which reports to write, send, repeat or give up. It
// does no I/O. Times are true times.
type Plan struct {
	Schedule
	// Since is when the node began to hold the duty. Its runs are complete for windows that
	// are closed after a delay.
	Since time.Time
	// Lost counts the windows that were not reported while due.
	Lost int
	// Ignored counts the stored windows that no holder can have closed.
	Ignored int

	next    int64
	reports []*Report
	// stored are the windows whose keys the store has.
	stored []int64
}

// NewPlan returns the plan of a node that begins to hold the duty, and finds the given
// reports in the store. Without any the first window is the oldest one that is still due: the
// counts of all windows before are true, since fronts keep the runs of longer.
func NewPlan(schedule Schedule, stored map[int64][]byte, now time.Time) *Plan {
	p := &Plan{Schedule: schedule, Since: now, next: schedule.firstDue(now)}
	newest := int64(math.MinInt64)
	for window, body := range stored {
		if !schedule.plausible(window, now) {
			p.Ignored++
			continue
		}
		p.stored = append(p.stored, window)
		newest = max(newest, window)
		if now.Before(p.Due(window)) {
			p.reports = append(p.reports, &Report{Window: window, Body: body, Fixed: true, Inherited: true})
		}
	}
	slices.Sort(p.stored)
	slices.SortFunc(p.reports, func(a, b *Report) int { return int(a.Window - b.Window) })
	if len(p.stored) > 0 {
		// Windows that no holder fixed, and that are no longer due, are lost.
		p.Lost = int(max(0, p.next-newest-1))
		p.next = max(p.next, newest+1)
	}
	return p
}

// Next returns the next step at now. It gives up the reports that are no longer due.
//
// Load pattern: the platform is slow or down for longer than a report is due, and the store
// for several windows; the missed ones follow together.
func (p *Plan) Next(now time.Time) Step {
	for !now.Before(p.Due(p.next)) {
		p.next++
		p.Lost++
	}
	p.reports = slices.DeleteFunc(p.reports, func(r *Report) bool {
		over := !now.Before(p.Due(r.Window))
		if over && !r.Inherited {
			p.Lost++
		}
		return over
	})
	from := p.Start(p.next + 1)
	if p.Since.After(from) {
		from = p.Since
	}
	if !now.Before(from.Add(p.closeDelay())) {
		return Step{Kind: Close, Window: p.next}
	}
	for _, r := range p.reports {
		switch {
		case now.Before(r.retryAt):
		case r.Fixed:
			return Step{Kind: Send, Window: r.Window, Report: r}
		default:
			return Step{Kind: Fix, Window: r.Window, Report: r}
		}
	}
	return Step{}
}

// Closed records the encoded counts of the window that was to be closed.
func (p *Plan) Closed(window int64, body []byte) {
	p.reports = append(p.reports, &Report{Window: window, Body: body, MadeUp: p.Since.After(p.Start(window + 1))})
	p.next = window + 1
}

// Fixed records the bytes that the store has for a window.
func (p *Plan) Fixed(r *Report, body []byte) {
	r.Body, r.Fixed, r.failures, r.retryAt = body, true, 0, time.Time{}
	if !slices.Contains(p.stored, r.Window) {
		p.stored = append(p.stored, r.Window)
	}
}

// Failed records that a report could not be written or sent.
func (p *Plan) Failed(r *Report, now time.Time) {
	r.failures++
	r.retryAt = now.Add(sleep.Backoff(r.failures, retryBase, retryMax, 0))
}

// Sent records that the platform accepted a report at now.
func (p *Plan) Sent(r *Report) {
	p.reports = slices.DeleteFunc(p.reports, func(other *Report) bool { return other == r })
}

// Expired returns the stored windows that no holder needs once the given one is stored. One
// more window than is due is kept, since clocks differ.
func (p *Plan) Expired(window int64) []int64 {
	keep := int64(p.Late/p.Window) + 3
	var expired []int64
	for _, stored := range p.stored {
		if stored < window-keep && len(expired) < maxDeletes {
			expired = append(expired, stored)
		}
	}
	return expired
}

// Deleted records that the store no longer has some windows.
func (p *Plan) Deleted(windows []int64) {
	p.stored = slices.DeleteFunc(p.stored, func(window int64) bool { return slices.Contains(windows, window) })
}
