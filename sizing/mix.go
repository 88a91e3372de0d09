package sizing

import (
	"cmp"
	"slices"
	"time"

	"quetzalpier"
)

// mix is the number of upstreams of each subject that a decision works out.
type mix struct {
	plan     *Plan
	replicas quetzalpier.Replicas
	now      time.Time
	domains  []string
	subjects []Subject
	want     map[Subject]int
	bounds
}

func (p *Plan) newMix(view View, now time.Time) *mix {
	m := &mix{plan: p, replicas: view.Replicas, now: now, want: map[Subject]int{}}
	for subject, pos := range p.positions {
		m.subjects = append(m.subjects, subject)
		m.want[subject] = pos.ordered
		if !subject.Spot {
			m.domains = append(m.domains, subject.Domain)
		}
	}
	slices.Sort(m.domains)
	slices.SortFunc(m.subjects, func(a, b Subject) int {
		return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(btoi(a.Spot), btoi(b.Spot)))
	})
	m.bounds = p.bounds(view.Replicas, len(m.domains), now)
	return m
}

// size returns the number of upstreams to have in all.
func (m *mix) size() int { return max(m.target, m.held) }

// btoi returns 1 for true, to sort by it.
func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// cost returns the price of one upstream. A pool without a price for spot upstreams has none.
func (m *mix) cost(s Subject) float64 {
	price := 1.0
	if given, ok := m.replicas.Prices[s.Domain]; ok {
		price = given
	}
	if s.Spot {
		price *= m.replicas.SpotPrice
	}
	return price
}

// ordered returns the count of a subject that is ordered.
func (m *mix) ordered(s Subject) int { return m.want[s] }

// ready returns the count of a subject that serves and stays.
func (m *mix) ready(s Subject) int { return min(m.plan.positions[s].ready, m.want[s]) }

func (m *mix) inDomain(domain string) int {
	return m.want[Subject{domain, false}] + m.want[Subject{domain, true}]
}

// total returns the number of ordered upstreams.
func (m *mix) total() int {
	total := 0
	for _, count := range m.want {
		total += count
	}
	return total
}

// spotOf returns the number of spot upstreams of a failure domain that count.
func (m *mix) spotOf(domain string, count func(Subject) int) int {
	return min(m.size()/spotDomainParts, count(Subject{domain, true}))
}

// capacity returns the number of upstreams that callers can rely on.
func (m *mix) capacity(count func(Subject) int) int {
	spot, other := 0, 0
	for _, domain := range m.domains {
		spot += m.spotOf(domain, count)
		other += count(Subject{domain, false})
	}
	return other + min(spot, m.size()/spotParts)
}

// with returns what f returns if a subject has delta upstreams more.
func (m *mix) with(s Subject, delta int, f func() int) int {
	m.want[s] += delta
	defer func() { m.want[s] -= delta }()
	return f()
}

// orderedCapacity and readyCapacity return the capacity that is ordered or ready.
func (m *mix) orderedCapacity() int { return m.capacity(m.ordered) }

func (m *mix) readyCapacity() int { return m.capacity(m.ready) }

// fill adds what is missing, first in failure domains with less than their minimum.
func (m *mix) fill(reasons map[Subject]Reason) {
	for _, domain := range m.domains {
		here := func(s Subject) bool { return s.Domain == domain }
		for more := true; more && m.inDomain(domain) < m.replicas.Min; {
			more = m.add(reasons, ReasonMinimum, here)
		}
	}
	anywhere := func(Subject) bool { return true }
	for more := true; more && (m.orderedCapacity() < m.target || m.total() < m.held); {
		more = m.add(reasons, ReasonCapacity, anywhere)
	}
}

// add adds an upstream of the cheapest subject that is to be had and reports whether there
// was one. Spot upstreams above their limits are only used if there is nothing else, and not
// beyond the size.
func (m *mix) add(reasons map[Subject]Reason, reason Reason, suits func(Subject) bool) bool {
	best, ok := m.cheapest(func(s Subject) bool { return suits(s) && m.counts(s) })
	if !ok && m.total() < m.size() {
		best, ok = m.cheapest(suits)
	}
	if ok {
		m.want[best]++
		reasons[best] = reason
	}
	return ok
}

// counts reports whether another upstream of the subject adds to the capacity.
func (m *mix) counts(s Subject) bool {
	return m.with(s, 1, m.orderedCapacity) > m.orderedCapacity()
}

// crowded reports whether the subject's failure domain has half of all upstreams. The others
// get more first, since a failure domain may be lost as a whole.
func (m *mix) crowded(s Subject) bool { return 2*(m.inDomain(s.Domain)+1) > m.size()+1 }

// cheapest returns the cheapest suitable subject that is to be had, and at equal cost that in
// the failure domain with the fewest upstreams.
func (m *mix) cheapest(suits func(Subject) bool) (Subject, bool) {
	var found []Subject
	for _, s := range m.subjects {
		if m.available(s) && suits(s) {
			found = append(found, s)
		}
	}
	if len(found) == 0 {
		return Subject{}, false
	}
	crowded := func(s Subject) int { return btoi(m.crowded(s)) }
	return slices.MinFunc(found, func(a, b Subject) int {
		return cmp.Or(cmp.Compare(crowded(a), crowded(b)), cmp.Compare(m.cost(a), m.cost(b)), cmp.Compare(m.inDomain(a.Domain), m.inDomain(b.Domain)))
	}), true
}

func (m *mix) available(s Subject) bool {
	return !m.now.Before(m.plan.positions[s].avoidUntil) && m.inDomain(s.Domain) < m.replicas.Max && (!s.Spot || m.replicas.SpotPrice > 0)
}

// replaceDear adds an upstream that is to replace a more expensive one, which is released
// once the new one serves. One at a time is added, and as many are spare at most as there are
// failure domains, each of which releases one at a time.
func (m *mix) replaceDear(reasons map[Subject]Reason) {
	if m.orderedCapacity() < m.target || m.total() >= m.keep+len(m.domains) || !m.settled() {
		return
	}
	cheap, ok := m.cheapest(func(s Subject) bool { return m.counts(s) && !m.crowded(s) })
	if !ok {
		return
	}
	m.want[cheap]++
	dear, ok := m.dearest(func(s Subject) bool {
		return s != cheap && m.inDomain(s.Domain) > m.replicas.Min && m.with(s, -1, m.orderedCapacity) >= m.target
	})
	if ok && m.cost(cheap) <= cheaperShare*m.cost(dear) {
		reasons[cheap] = ReasonCheaper
		return
	}
	m.want[cheap]--
}

// settled reports whether all upstreams that were ordered are there.
func (m *mix) settled() bool {
	for _, s := range m.subjects {
		if pos := m.plan.positions[s]; pos.underWay || pos.unanswered || pos.ready != m.want[s] {
			return false
		}
	}
	return true
}

// release releases the most expensive upstream of each failure domain that is due to release
// one, as long as those that are ready suffice.
//
// Load pattern: the demand falls, and cheaper upstreams replace others at the same time. While
// the expensive ones wait for their turn, cheaper ones are released only if there are many too
// many; otherwise they would be ordered again.
func (m *mix) release(reasons map[Subject]Reason) {
	spare := func(s Subject) bool {
		return m.inDomain(s.Domain) > m.replicas.Min && m.with(s, -1, m.readyCapacity) >= m.keep
	}
	due := func(s Subject) bool {
		pos := m.plan.positions[s]
		at, before := m.plan.releasedAt[s.Domain]
		paused := before && m.now.Sub(at) < releaseInterval
		return !paused && !pos.underWay && !pos.unanswered && pos.ready >= m.want[s] && reasons[s] == ""
	}
	for {
		dearest, ok := m.dearest(spare)
		if !ok {
			return
		}
		many := m.readyCapacity() > m.keep+len(m.domains)
		s, ok := m.dearest(func(s Subject) bool {
			alike := s.Spot == dearest.Spot && (many || m.cost(s) > cheaperShare*m.cost(dearest))
			return spare(s) && due(s) && (alike || m.idle(s))
		})
		if !ok {
			return
		}
		m.want[s]--
		reasons[s] = ReasonSurplus
		m.plan.releasedAt[s.Domain] = m.now
	}
}

// idle reports whether the capacity is the same without one upstream of the subject.
func (m *mix) idle(s Subject) bool {
	return m.with(s, -1, m.orderedCapacity) == m.orderedCapacity()
}

// dearest returns the most expensive suitable subject that has upstreams, at equal cost that
// in the failure domain with the most. Spot upstreams that don't count come first.
func (m *mix) dearest(suits func(Subject) bool) (Subject, bool) {
	var found []Subject
	for _, s := range m.subjects {
		if m.want[s] > 0 && suits(s) {
			found = append(found, s)
		}
	}
	if len(found) == 0 {
		return Subject{}, false
	}
	idle := func(s Subject) int { return btoi(m.idle(s)) }
	return slices.MaxFunc(found, func(a, b Subject) int {
		return cmp.Or(cmp.Compare(idle(a), idle(b)), cmp.Compare(m.cost(a), m.cost(b)), cmp.Compare(m.inDomain(a.Domain), m.inDomain(b.Domain)))
	}), true
}
