package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"quetzalpier"
	"quetzalpier/platform"
	"quetzalpier/sleep"
)

const (
	orderPath = "/order/"
	// minPartition and maxPartition bound how long nodes are partitioned from the upstreams.
	minPartition = 1500 * time.Millisecond
	maxPartition = 8 * time.Second
	// partitionSettle is how long a front has been partitioned when its clients' requests
	// begin to count.
	partitionSettle = 3 * time.Second
	// probeTimeout is the deadline of a client's single try, and probePause the time between
	// two rounds of them.
	probeTimeout = 800 * time.Millisecond
	probePause   = 100 * time.Millisecond
)

// orderRoute is the route of requests that must not run twice.
var orderRoute = quetzalpier.Route{
	Name: "order", Host: Host, Prefix: orderPath, MaxAttempts: 3, Timeout: 1500 * time.Millisecond, Targets: []quetzalpier.Target{{Pool: poolApp, Weight: 1}},
}

// singleTry is a client's only attempt of a request that must not run twice.
type singleTry struct {
	id     string
	front  *Node
	sentAt time.Time
	// status is zero if no answer came. answered is set if it is the answer of an upstream,
	// also of one that fails.
	status   int
	answered bool
	// partitioned is set if the front had been partitioned for partitionSettle.
	partitioned bool
	// settling is set if it had been for less than that.
	settling bool
	// helpers are the nodes that were not partitioned.
	helpers []string
}

// partitionNodes partitions random nodes from all upstreams, several times.
func (f *faultInjector) partitionNodes(ctx context.Context, total time.Duration) {
	for end := time.Now().Add(total); time.Now().Before(end) && ctx.Err() == nil; {
		nodes, _ := f.drawNodes()
		if f.rnd.IntN(4) == 0 {
			nodes = f.rig.nodes()
		}
		mode := partitions[f.rnd.IntN(len(partitions))]
		duration := min(f.draw(minPartition, maxPartition), time.Until(end))
		var names []string
		for _, n := range nodes {
			names = append(names, n.Settings.Name)
			f.partition(n, mode)
		}
		f.logFault("partition "+string(mode), strings.Join(names, ","), duration)
		sleep.For(ctx, duration)
		for _, n := range nodes {
			f.partition(n, Pass)
		}
		sleep.For(ctx, f.draw(minCalm, maxFaultTime))
	}
}

func (f *faultInjector) partition(n *Node, mode Mode) {
	since := int64(0)
	if mode != Pass {
		since = time.Now().UnixNano()
	}
	if err := n.Partition(mode); err != nil {
		f.ledger.recordViolation("%s not set to %s: %v", n.Settings.Name, mode, err)
	}
	n.partitionedAt.Store(since)
}

// partitionedFor returns how long the node has been partitioned; zero if it is not.
func (n *Node) partitionedFor(now time.Time) time.Duration {
	since := n.partitionedAt.Load()
	if since == 0 {
		return 0
	}
	return now.Sub(time.Unix(0, since))
}

// sendOrders sends requests that must not run twice to all fronts until ctx ends, each once,
// and checks what the upstreams got.
func (r *Rig) sendOrders(ctx context.Context, ledger *Ledger, seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 8))
	var mu sync.Mutex
	var tries []singleTry
	var sends conc.WaitGroup
	for n := 0; sleep.For(ctx, probePause); n++ {
		for _, front := range r.Fronts {
			try := singleTry{id: fmt.Sprintf("order%d-%s-%d", n, front.Settings.Name, rnd.Uint32()), front: front}
			sends.Go(func() {
				try.send()
				mu.Lock()
				defer mu.Unlock()
				tries = append(tries, try)
			})
		}
	}
	sends.Wait()
	r.checkOrders(ledger, tries)
	r.checkPartitioned(ledger, tries)
}

// send sends the request on a new connection.
func (s *singleTry) send() {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	s.sentAt = time.Now()
	since := s.front.partitionedFor(s.sentAt)
	s.partitioned, s.settling = since > partitionSettle, since > 0 && since <= partitionSettle
	for _, n := range s.front.rig.nodes() {
		if n.partitionedFor(s.sentAt) == 0 {
			s.helpers = append(s.helpers, n.Settings.Name)
		}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.front.Settings.Front+orderPath+s.id, strings.NewReader("order"))
	if err != nil {
		return
	}
	req.Host, req.Close = Host, true
	req.Header.Set(platform.HeaderAttempt, s.id)
	s.front.rig.authorize(req)
	req.Header.Set(platform.HeaderDeadline, fmt.Sprint(probeTimeout.Milliseconds()))
	s.front.rig.recordSent(req)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		// A front that is down refuses the connection.
		return
	}
	_ = resp.Body.Close()
	s.status, s.answered = resp.StatusCode, resp.Header.Get(platform.HeaderWorker) != ""
}

// checkOrders checks that no request ran twice, none that was refused ran, and no upstream
// got more time than the client allows.
func (r *Rig) checkOrders(ledger *Ledger, tries []singleTry) {
	runs := map[string]int{}
	left := map[string]time.Duration{}
	for _, w := range r.Plains {
		for _, run := range w.Runs() {
			runs[run.ID]++
			left[run.ID] = max(left[run.ID], run.Left)
		}
	}
	for _, try := range tries {
		if runs[try.id] > 1 {
			ledger.recordViolation("request %s ran %d times", try.id, runs[try.id])
		}
		refused := try.status == http.StatusServiceUnavailable || try.status == http.StatusTooManyRequests
		if refused && runs[try.id] > 0 {
			ledger.recordViolation("request %s was refused with status %d and ran", try.id, try.status)
		}
		if left[try.id] > probeTimeout {
			ledger.recordViolation("request %s was sent on with a deadline of %s, the client's is %s", try.id, left[try.id], probeTimeout)
		}
	}
}

// checkPartitioned checks that single tries at partitioned fronts are served at least two
// thirds as often as those at the others, unless few fail. Only fronts in touch count, while
// another node in touch reaches the upstreams.
func (r *Rig) checkPartitioned(ledger *Ledger, tries []singleTry) {
	var sent, served [2]int
	for _, try := range tries {
		helped := slices.ContainsFunc(try.helpers, func(name string) bool { return r.inTouch([]string{name}, try.sentAt) })
		if !r.inTouch([]string{try.front.Settings.Name}, try.sentAt) || try.settling || !helped {
			continue
		}
		i := 0
		if try.partitioned {
			i = 1
		}
		sent[i]++
		if try.answered {
			served[i]++
		}
	}
	ledger.recordPartitioned(sent[1], served[1])
	failed := sent[1] - served[1]
	if sent[0] == 0 || failed <= 10+(sent[0]+sent[1])/50 {
		return
	}
	if 3*served[1]*sent[0] < 2*served[0]*sent[1] {
		ledger.recordViolation("partitioned fronts served %d of %d single tries, the others %d of %d", served[1], sent[1], served[0], sent[0])
	}
}

func (l *Ledger) recordPartitioned(sent, served int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.PartitionedTries, l.PartitionedServed = sent, served
}
