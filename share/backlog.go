package share

import (
	"math"
	"slices"
	"strings"
	"time"

	"quetzalpier/board"
)

// maxReportHalfLife is the longest half-life of the weight of a load report, that of the
// reports in package route.
const maxReportHalfLife = 2 * time.Second

// burstTime is how long the upstreams may report queues without being overloaded: the reward
// calls of a step come in bursts that are served within a fraction of it.
const burstTime = 250 * time.Millisecond

// burstReports is how many reports in a row may name queues in a burst: a node that sends a
// request each few seconds gets its reports from different bursts.
const burstReports = 1

// maxDrains bounds how long a report counts while the node is quiet, as a multiple of the
// time in which the reported queue drains. Beyond that nobody is refused for it.
const maxDrains = 3

// Backlog is the expected state of a pool's upstreams, for the requests of all nodes.
type Backlog struct {
	// Slots is the number of slots, Load the number of requests that run or wait there,
	// and Own the part of them that this node sent.
	Slots int
	Load  float64
	Own   float64
	// Shortest is the shortest wait at an upstream, in service times.
	Shortest float64
	// Mean is the mean wait at an upstream, in service times.
	Mean float64
	// Used is the mean share of the upstreams' queues that is in use; zero for those of which
	// the size is unknown.
	Used float64
	// Queued is set if requests waited at the upstream that reported last.
	Queued bool
	// Places is the number of places in the upstreams' queues; zero if that is unknown.
	Places int
	// Nodes is the number of nodes that share these upstreams.
	Nodes   float64
	Service time.Duration
	// Overloaded is set if more than burstReports answers in a row, over burstTime, named queues.
	Overloaded bool
}

// NewBacklog estimates the backlog of the pool's upstreams, or of those with the given
// software version, from the load that their answers reported to this node.
//
// The weight of a report halves in the time in which the reported queue drains if nobody
// sends more. So a queue of which less than half is allowed to a request is never held
// against it once it has drained. Where an upstream's report has lost weight, the mean
// of the others takes its place: queues are alike, since all nodes prefer the shortest.
//
// Load pattern: 60 nodes that each see a short queue of their own while 4 upstreams are
// full.
func NewBacklog(s *board.State, usage *Usage, pool, software string, now time.Time) Backlog {
	upstreams, all := usable(s, pool, software, now)
	b := Backlog{Service: usage.Service, Shortest: math.Inf(1), Nodes: nodesSharing(s, len(upstreams), all)}
	longest, last := time.Millisecond, time.Time{}
	for _, u := range upstreams {
		longest = max(longest, usage.reportHalfLife(u, slots(s, u)))
		if u.ReportAt.After(last) {
			last, b.Queued = u.ReportAt, u.Report.Queued > 0
		}
	}
	sum, recent := 0.0, 0.0
	estimates := make([]struct{ others, recency float64 }, len(upstreams))
	for i, u := range upstreams {
		e := &estimates[i]
		e.others, e.recency = usage.others(u, slots(s, u), now), recency(u, longest, now)
		sum += e.recency * e.others
		recent += e.recency
	}
	for i, u := range upstreams {
		n := slots(s, u)
		load := float64(u.Outstanding)
		if e := estimates[i]; recent > 0 {
			load += e.recency*e.others + (1-e.recency)*sum/recent
		}
		waiting := max(0, load-float64(n))
		b.Slots += n
		b.Own += float64(u.Outstanding)
		b.Load += load
		wait := max(0, load+1-float64(n)) / float64(n)
		b.Shortest = min(b.Shortest, wait)
		b.Mean += wait / float64(len(upstreams))
		b.Places += u.QueueSize
		if u.QueueSize > 0 {
			b.Used += waiting / float64(u.QueueSize) / float64(len(upstreams))
		}
	}
	b.Overloaded = usage.queuedReports > burstReports && now.Sub(usage.queuedSince) >= burstTime
	if len(upstreams) == 0 {
		b.Shortest = 0
	}
	return b
}

// margin returns the factor by which a wait may exceed its estimate. A queue that has not
// lasted is taken for a burst: a request that is refused for one comes back later than it
// would have been served.
func (b Backlog) margin() float64 {
	if !b.Overloaded {
		return 1
	}
	return othersMargin - (othersMargin-ownMargin)/b.Nodes
}

// nodesSharing returns the number of nodes that send to the used ones of all upstreams of a
// pool, if all nodes of clients use equal parts of it.
func nodesSharing(s *board.State, used, all int) float64 {
	nodes := 1
	for id, m := range s.Members {
		if id != s.Self.ID && m.HTTP != "" && m.Usable() {
			nodes++
		}
	}
	return max(1, float64(nodes*used)/float64(max(1, all)))
}

// Wait estimates the time until an upstream runs a request with ahead others before it in
// this node's queue, which advances as this node's requests at the upstreams end.
func (b Backlog) Wait(ahead int) time.Duration {
	wait := b.Shortest
	if b.Queued {
		wait = b.Mean
	}
	if ahead > 0 && b.Slots > 0 {
		own := 1.0
		if b.Own > 0 {
			own = max(1, b.Load/b.Own)
		}
		wait += float64(ahead) * own / float64(b.Slots)
	}
	return time.Duration(wait * float64(b.Service))
}

// others estimates the requests of other nodes at an upstream from its last report.
func (u *Usage) others(upstream *board.Upstream, slots int, now time.Time) float64 {
	reported := max(0, upstream.Report.Running+upstream.Report.Queued-upstream.OwnReported)
	return u.reportWeight(upstream, slots, now) * float64(reported)
}

// recency returns how recent the upstream's last report is, from 0 to 1.
func recency(u *board.Upstream, halfLife time.Duration, now time.Time) float64 {
	if u.ReportAt.IsZero() {
		return 0
	}
	return math.Exp2(-float64(max(0, now.Sub(u.ReportAt))) / float64(halfLife))
}

// usable returns the upstreams of the pool that this node uses, in order of id, and the
// number of all.
func usable(s *board.State, pool, software string, now time.Time) (upstreams []*board.Upstream, all int) {
	for id, u := range s.Upstreams {
		if u.VM.Pool != pool {
			continue
		}
		all++
		if (software == "" || u.VM.Software == software) && !u.Leaving() && !now.Before(u.Health.EjectedUntil) &&
			(s.UsedUpstreams == nil || s.UsedUpstreams[id]) {
			upstreams = append(upstreams, u)
		}
	}
	slices.SortFunc(upstreams, func(a, b *board.Upstream) int { return strings.Compare(a.VM.ID, b.VM.ID) })
	return upstreams, all
}

// reportWeight returns the weight of the upstream's last report, from 0 to 1. It falls while
// this node has no request at the upstreams: the answer to one brings a new report.
//
// Load pattern: answers take most of a second, and each of 60 nodes that believes again
// that there is room would send everything until the first of them arrives.
func (u *Usage) reportWeight(upstream *board.Upstream, slots int, now time.Time) float64 {
	if upstream.ReportAt.IsZero() {
		return 0
	}
	seen, known := u.reports[upstream.VM.ID]
	if !known || !seen.at.Equal(upstream.ReportAt) {
		if u.reports == nil || len(u.reports) >= maxCustomers {
			u.reports = map[string]seenReport{}
		}
		seen = seenReport{upstream.ReportAt, u.quietTime(now)}
		switch {
		case upstream.Report.Queued == 0:
			u.queuedReports = 0
		default:
			if u.queuedReports == 0 {
				u.queuedSince = upstream.ReportAt
			}
			u.queuedReports++
		}
		u.reports[upstream.VM.ID] = seen
	}
	age := u.quietTime(now) - seen.quiet
	drains := float64(age) / float64(u.reportHalfLife(upstream, slots))
	if drains >= maxDrains {
		return 0
	}
	return math.Exp2(-drains)
}

// reportHalfLife returns the time in which the reported queue drains.
func (u *Usage) reportHalfLife(upstream *board.Upstream, slots int) time.Duration {
	if u.Service == 0 {
		return maxReportHalfLife
	}
	drain := time.Duration(float64(upstream.Report.Queued+1) / float64(slots) * float64(u.Service))
	return min(maxReportHalfLife, drain)
}

func slots(s *board.State, u *board.Upstream) int {
	if u.VM.Slots > 0 {
		return u.VM.Slots
	}
	return s.Config.Pools[u.VM.Pool].SlotCount()
}

// RecordLoad records the load that an upstream reported in an answer. Declined is set if
// the answer refused the request, which is then not among those reported: the upstream's
// queue is full, and its length is the queue's size.
func RecordLoad(u *board.Upstream, running, waiting int, declined bool, now time.Time) {
	u.Report.Running, u.Report.Queued = running, waiting
	u.ReportAt, u.OwnReported = now, u.Outstanding
	if declined {
		u.OwnReported = max(0, u.Outstanding-1)
		u.QueueSize = waiting
	}
}

// RecordLate records that an upstream did not answer a request before its deadline, which
// took the given time: it has a queue at least that long, or is as slow as if it had one.
//
// Load pattern: upstreams become eight times as slow while their queues are full. No answer
// comes in time any more, so that none tells how slow they are, and every node would
// continue to send what can't be answered.
func (u *Usage) RecordLate(upstream *board.Upstream, slots int, took time.Duration, now time.Time) {
	u.observeLate(took, slots, max(upstream.QueueSize, upstream.Report.Queued))
	waiting := int(float64(slots) * float64(took-u.Service) / float64(u.Service))
	if upstream.QueueSize > 0 {
		waiting = min(waiting, upstream.QueueSize)
	}
	known := u.reportWeight(upstream, slots, now) * float64(upstream.Report.Running+upstream.Report.Queued)
	if waiting > 0 && float64(slots+waiting) > known {
		RecordLoad(upstream, slots, waiting, false, now)
	}
}
