package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"quetzalpier/sleep"
	"quetzalpier/stand"
)

const (
	// contactTime is how long a node and the store must have been without fault for
	// the bounds of the guarantees to apply to the node.
	contactTime = 4 * time.Second
	// limitExcuse is how long after a process fault requests may still exceed a limit.
	limitExcuse = time.Second
	// LimitSettleTime is how long after an upstream first named a limit it must be kept.
	LimitSettleTime = 3 * time.Second
	// faultSampleInterval is the time between two samples of the injected faults.
	faultSampleInterval = 50 * time.Millisecond
	// storeTarget stands for the key-value service among the names of the nodes, and
	// processTarget for a process of any node.
	storeTarget   = "store"
	processTarget = "process"
	// partitionTarget stands for the paths of any node to the upstreams.
	partitionTarget = "partition"
)

// faultHistory records when which node, or the key-value service, had a fault.
type faultHistory struct {
	mu sync.Mutex
	// faultyAt holds the times of the samples with a fault, by target, and changes
	// the number of fault changes at the last sample.
	faultyAt map[string][]time.Time
	changes  map[string]int
}

func newFaultHistory() *faultHistory {
	return &faultHistory{faultyAt: map[string][]time.Time{}, changes: map[string]int{}}
}

// sampleFaults records the faults of all nodes and of the key-value service until ctx
// ends.
func (r *Rig) sampleFaults(ctx context.Context) {
	for sleep.For(ctx, faultSampleInterval) {
		now := time.Now()
		faults, changes := r.KV.Faults()
		interventions, held := r.KV.Interventions()
		r.faults.sample(storeTarget, now, held || faults != stand.KVFaults{}, changes+interventions)
		processFault, partitioned := false, false
		for _, n := range r.nodes() {
			faults, changes := n.KV.Faults()
			mode, modeChanges := n.KVProxy.Mode()
			process := n.exitExpected.Load() || n.runningFor(now) < 2*faultSampleInterval
			processFault = processFault || process
			partitioned = partitioned || n.partitionedAt.Load() != 0
			lasts := faults != stand.KVFaults{} || mode != Pass || process
			r.faults.sample(n.Settings.Name, now, lasts, changes+modeChanges)
		}
		r.faults.sample(processTarget, now, processFault, 0)
		r.faults.sample(partitionTarget, now, partitioned, 0)
	}
}

func (h *faultHistory) sample(target string, now time.Time, lasts bool, changes int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if lasts || changes != h.changes[target] {
		h.faultyAt[target] = append(h.faultyAt[target], now)
	}
	h.changes[target] = changes
}

// calmAt reports whether the target had no fault in the contactTime before at.
func (h *faultHistory) calmAt(target string, at time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !slices.ContainsFunc(h.faultyAt[target], func(faulty time.Time) bool {
		return faulty.After(at.Add(-contactTime)) && faulty.Before(at.Add(2*faultSampleInterval))
	})
}

// processesCalm reports whether all processes ran without a pause from limitExcuse before
// a span to its end. Nodes that are killed, paused or started don't have to keep the
// limits of upstreams.
func (r *Rig) processesCalm(from, to time.Time) bool {
	r.faults.mu.Lock()
	defer r.faults.mu.Unlock()
	return !slices.ContainsFunc(r.faults.faultyAt[processTarget], func(faulty time.Time) bool {
		return faulty.After(from.Add(-limitExcuse)) && faulty.Before(to.Add(2*faultSampleInterval))
	})
}

// inTouch reports whether the named nodes were in touch at a time: neither they nor
// the key-value service had a fault in the contactTime before it.
func (r *Rig) inTouch(names []string, at time.Time) bool {
	for _, name := range append([]string{storeTarget}, names...) {
		if !r.faults.calmAt(name, at) {
			return false
		}
	}
	return true
}

// sentRun is a line of a node's log about a run or a reward call that it sent.
type sentRun struct {
	Time    time.Time `json:"time"`
	Message string    `json:"message"`
	Task    string    `json:"task"`
	Engine  string    `json:"engine"`
	TookMs  float64   `json:"took_ms"`
	node    string
}

// logSlack is the most by which a time in the log of a node differs from that of the
// logged event.
const logSlack = time.Second

// sentRuns reads from the nodes' logs which node sent which run and reward call, by
// task.
func (r *Rig) sentRuns() (map[string][]sentRun, error) {
	sent := map[string][]sentRun{}
	for _, n := range r.nodes() {
		log, err := os.ReadFile(filepath.Join(r.Dir, n.Settings.Name+".log"))
		if err != nil {
			return nil, err
		}
		for text := range bytes.Lines(log) {
			line := sentRun{node: n.Settings.Name}
			if json.Unmarshal(text, &line) == nil && line.Task != "" {
				sent[line.Task] = append(sent[line.Task], line)
			}
		}
	}
	return sent, nil
}

// senders returns the nodes that may have sent a run, or a reward call, that began at
// a worker at startedAt; none if the logs do not tell, as after a kill.
func senders(lines []sentRun, worker *stand.Worker, startedAt time.Time) []string {
	var nodes []string
	for _, line := range lines {
		var from time.Time
		switch {
		case line.Message == "run ended" && line.Engine == worker.ID:
			from = line.Time.Add(-logSlack - time.Duration(line.TookMs*float64(time.Millisecond)))
		case line.Engine == "" && worker.Pool == poolApp:
			from = line.Time.Add(-logSlack - callTimeout)
		default:
			continue
		}
		if startedAt.After(from) && startedAt.Before(line.Time.Add(logSlack)) && !slices.Contains(nodes, line.node) {
			nodes = append(nodes, line.node)
		}
	}
	return nodes
}
