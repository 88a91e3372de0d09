package sizing

import (
	"math"
	"time"

	"quetzalpier"
	"quetzalpier/sleep"
)

const (
	// reserve is the share of the demand that is kept in addition. It covers hints of length
	// that are too low, failed runs, and growth while upstreams start.
	reserve = 1.0 / 3
	// spotDomainParts and spotParts limit the spot upstreams: those of one failure domain to a
	// quarter of the target, which leaves the demand without its reserve if all of them leave,
	// and those of all failure domains to half of it.
	spotDomainParts = 4
	spotParts       = 2
	// lowerMargin is how many upstreams more than the target must be spare before one is
	// released, so that noise around a whole number changes nothing.
	lowerMargin = 0.25
	// firstRelease is how long a new holder releases nothing: it covers two steps.
	firstRelease = 20 * time.Second
	// releaseInterval is the time between two releases in a failure domain.
	releaseInterval = 10 * time.Second
	// arrivalMargin is added to the boot time until a missing upstream counts as not to be
	// had: entries are read up to 2 s late.
	arrivalMargin = 3 * time.Second
	// reclaimPause is how long no spot upstream is ordered where some were reclaimed.
	reclaimPause = 10 * time.Second
	// avoidBase and avoidMax bound how long a subject is left out after it was not available.
	avoidBase = time.Second
	avoidMax  = 10 * time.Second
	// repeatBase and repeatMax bound the pause before an order without an answer is repeated.
	repeatBase = 500 * time.Millisecond
	repeatMax  = 4 * time.Second
	// cheaperShare is the share of the cost of an upstream below which another one replaces it.
	cheaperShare = 0.8
	// rounding is the error of the calculation that does not ask for one more upstream.
	rounding = 1e-9
)

// Subject is what the count of an order applies to, besides the pool.
type Subject struct {
	Domain string
	Spot   bool
}

// View is what is known of a pool. A leaving upstream must be listed as such.
type View struct {
	Replicas  quetzalpier.Replicas
	Upstreams []quetzalpier.VM
}

// Reason is why an order is sent.
type Reason string

// The reasons.
const (
	ReasonMinimum  Reason = "minimum"
	ReasonCapacity Reason = "capacity"
	ReasonCheaper  Reason = "cheaper"
	ReasonSurplus  Reason = "surplus"
	ReasonRepeat   Reason = "repeat"
)

// Decision is an order to send, and the figures that decided it.
type Decision struct {
	Order  quetzalpier.ReplicaOrder
	Reason Reason
	// Before is the count that was ordered or seen before.
	Before int
	// Efficiency is the share of the slots that tasks can use, Peak the peak demand, and
	// Target the number of upstreams that it needs with its reserve. Ready and Leaving are
	// the present upstreams of the pool.
	Efficiency float64
	Peak       float64
	Target     int
	Ready      int
	Leaving    int
	// Age is the age of the measure.
	Age time.Duration
}

// Count is the number of upstreams of a subject.
type Count struct{ Ordered, Ready, Leaving int }

// Plan decides for one pool. Each order that Decide returns is under way until Accepted,
// Unavailable or Unanswered records its outcome.
type Plan struct {
	Pool       string
	Demand     Demand
	Efficiency Efficiency

	since     time.Time
	level     int
	positions map[Subject]*position
	// listed are the upstreams that were not leaving at the last decision.
	listed     map[string]quetzalpier.VM
	releasedAt map[string]time.Time
}

// NewPlan returns the plan of a node that holds the duty since now. It begins from the
// upstreams of the first decision.
func NewPlan(pool string, now time.Time) *Plan {
	return &Plan{Pool: pool, since: now, positions: map[Subject]*position{}, releasedAt: map[string]time.Time{}}
}

// position is the state of a subject.
type position struct {
	ready, leaving int
	// ordered is the count that was ordered last, without those that have left since; or the
	// count that was seen. accepted is the last one that the platform accepted or that was
	// seen.
	ordered, accepted int
	// until is when the accepted count must be there; zero if it is.
	until time.Time
	// sent is the count of the last order, which is under way or unanswered.
	sent       int
	underWay   bool
	unanswered bool
	repeats    int
	repeatAt   time.Time
	refusals   int
	avoidUntil time.Time
	// releasing counts the releases that were ordered and are not seen yet.
	releasing int
}

// avoid leaves the subject out for a while.
func (p *position) avoid(now time.Time) {
	p.refusals++
	p.avoidUntil = later(p.avoidUntil, now.Add(sleep.Backoff(p.refusals, avoidBase, avoidMax, 0)))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Counts returns the number of upstreams of each subject.
func (p *Plan) Counts() map[Subject]Count {
	counts := map[Subject]Count{}
	for subject, pos := range p.positions {
		counts[subject] = Count{pos.ordered, pos.ready, pos.leaving}
	}
	return counts
}

// Decide returns the orders to send.
//
// Load pattern: a step needs all its capacity at once and none after it, all spot upstreams
// of a failure domain leave with 2 s notice, and the platform has none for several seconds.
// Whatever is missing is ordered at once; capacity is released slowly, by the peak of a
// minute.
func (p *Plan) Decide(view View, now time.Time) []Decision {
	p.observe(view, now)
	m := p.newMix(view, now)
	reasons := map[Subject]Reason{}
	m.fill(reasons)
	if m.mayRelease {
		m.replaceDear(reasons)
		m.release(reasons)
	}
	var decisions []Decision
	for _, subject := range m.subjects {
		if reason := p.due(subject, m.want[subject], reasons[subject], now); reason != "" {
			decisions = append(decisions, p.send(subject, m, reason, now))
		}
	}
	return decisions
}

// due returns the reason for which an order is to be sent, or none. An order without an
// answer is repeated with the same count. If more are needed by now, that count is sent:
// callers have precedence over a simple history.
func (p *Plan) due(subject Subject, want int, reason Reason, now time.Time) Reason {
	pos := p.positions[subject]
	switch {
	case pos.underWay:
		return ""
	case pos.unanswered && want > pos.ordered:
		return reason
	case pos.unanswered && now.Before(pos.repeatAt):
		return ""
	case pos.unanswered:
		return ReasonRepeat
	case want != pos.ordered:
		return reason
	}
	return ""
}

// send marks an order as under way.
func (p *Plan) send(subject Subject, m *mix, reason Reason, now time.Time) Decision {
	pos := p.positions[subject]
	before, count := pos.ordered, m.want[subject]
	if reason == ReasonRepeat {
		count = pos.sent
	} else {
		pos.repeats = 0
		pos.sent, pos.ordered = count, count
	}
	if count < before {
		p.releasedAt[subject.Domain] = now
		pos.releasing += before - count
	}
	pos.underWay, pos.unanswered = true, false
	decision := Decision{
		Order:  quetzalpier.ReplicaOrder{Pool: p.Pool, Domain: subject.Domain, Count: count, Spot: subject.Spot},
		Reason: reason, Before: before, Efficiency: p.Efficiency.Share(), Peak: p.Demand.Peak(), Target: m.target, Age: now.Sub(p.Demand.At),
	}
	for _, pos := range p.positions {
		decision.Ready, decision.Leaving = decision.Ready+pos.ready, decision.Leaving+pos.leaving
	}
	return decision
}

// answered returns the position of an order that has an outcome.
func (p *Plan) answered(order quetzalpier.ReplicaOrder) *position {
	pos := p.positions[Subject{order.Domain, order.Spot}]
	if pos == nil || !pos.underWay {
		return nil
	}
	pos.underWay = false
	return pos
}

// Accepted records that the platform accepted an order. boot is the time until new upstreams
// serve.
func (p *Plan) Accepted(order quetzalpier.ReplicaOrder, boot time.Duration, now time.Time) {
	if pos := p.answered(order); pos != nil {
		pos.accepted, pos.repeats = pos.ordered, 0
		pos.until = now.Add(boot + arrivalMargin)
	}
}

// Unavailable records that the platform has none of the kind there now.
func (p *Plan) Unavailable(order quetzalpier.ReplicaOrder, now time.Time) {
	if pos := p.answered(order); pos != nil {
		pos.ordered, pos.repeats, pos.releasing = pos.accepted, 0, 0
		pos.avoid(now)
	}
}

// Unanswered records that an order had no effect or that its outcome is unknown.
func (p *Plan) Unanswered(order quetzalpier.ReplicaOrder, now time.Time) {
	if pos := p.answered(order); pos != nil {
		pos.unanswered = true
		pos.repeats++
		pos.repeatAt = now.Add(sleep.Backoff(pos.repeats, repeatBase, repeatMax, 0))
	}
}

// observe compares the upstreams with those of the last decision.
func (p *Plan) observe(view View, now time.Time) {
	for domain := range view.Replicas.Prices {
		p.addDomain(domain)
	}
	for _, pos := range p.positions {
		pos.ready, pos.leaving = 0, 0
	}
	ready, present := map[string]quetzalpier.VM{}, map[string]bool{}
	for _, vm := range view.Upstreams {
		p.addDomain(vm.Domain)
		pos := p.positions[Subject{vm.Domain, vm.Spot}]
		present[vm.ID] = true
		if vm.State == quetzalpier.VMLive {
			pos.ready++
			ready[vm.ID] = vm
		} else {
			pos.leaving++
		}
	}
	for id, vm := range p.listed {
		if _, stays := ready[id]; !stays {
			p.positions[Subject{vm.Domain, vm.Spot}].lose(vm.Spot, present[id], view.Replicas.BootTime, now)
		}
	}
	p.listed = ready
	for _, pos := range p.positions {
		pos.settle(now)
	}
	if now.Sub(p.since) < firstRelease {
		p.level = max(p.level, len(ready))
	}
}

func (p *Plan) addDomain(domain string) {
	for _, spot := range []bool{false, true} {
		if p.positions[Subject{domain, spot}] == nil {
			p.positions[Subject{domain, spot}] = &position{}
		}
	}
}

// lose records that an upstream leaves or is gone. One that is gone without notice may come
// back.
func (p *position) lose(spot, leaving bool, boot time.Duration, now time.Time) {
	switch {
	case p.releasing > 0:
		p.releasing--
	case leaving:
		p.ordered, p.accepted = max(0, p.ordered-1), max(0, p.accepted-1)
		if spot {
			p.avoidUntil = later(p.avoidUntil, now.Add(reclaimPause))
		}
	default:
		p.until = later(p.until, now.Add(boot+arrivalMargin))
	}
}

// settle compares the upstreams that are there with those that were accepted, unless an order
// has no answer yet. Others than ordered come with late orders, or with those of an earlier
// holder.
func (p *position) settle(now time.Time) {
	switch {
	case p.underWay || p.unanswered:
	case p.ready == p.ordered:
		if !p.until.IsZero() {
			p.refusals, p.until = 0, time.Time{}
		}
		p.releasing = 0
	case now.Before(p.until):
	default:
		if p.ready < p.ordered {
			p.avoid(now)
		}
		p.ordered, p.accepted, p.releasing, p.until = p.ready, p.ready, 0, time.Time{}
	}
}

// bounds are the numbers of upstreams of a pool that a decision is made for.
type bounds struct {
	// target is what the demand needs with its reserve, and held the number that is not to
	// be lowered, of whatever kinds.
	target, held int
	// More than keep may be released if mayRelease is set.
	keep       int
	mayRelease bool
}

func (p *Plan) bounds(replicas quetzalpier.Replicas, domains int, now time.Time) bounds {
	clamp := func(count float64) int {
		return max(replicas.Min*domains, min(replicas.Max*domains, int(math.Ceil(count-rounding))))
	}
	if !p.Demand.fresh(now) {
		return bounds{target: clamp(0), held: clamp(float64(p.level))}
	}
	needed := p.Demand.Peak() * (1 + reserve)
	b := bounds{target: clamp(needed), keep: clamp(needed + lowerMargin), mayRelease: now.Sub(p.since) >= firstRelease}
	if !b.mayRelease {
		b.held = clamp(float64(p.level))
	}
	p.level = max(b.target, b.held)
	return b
}
