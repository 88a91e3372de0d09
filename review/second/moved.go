package main

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"quetzalpier"
	"quetzalpier/stand"
)

const (
	batchPrefix = "/rollout/"
	// movedDue is the time within which the step is due, and movedLife that after which its items
	// may be given up.
	movedDue  = 30 * time.Second
	movedLife = 90 * time.Second
	// idleTime is how long an item has been at no worker for the rule.
	idleTime = 5 * time.Second
)

func batchRoute(pool string) quetzalpier.Route {
	return quetzalpier.Route{
		Name: "rollout", Host: host, Prefix: batchPrefix, Batch: true, CanResume: true, MaxAttempts: 3, LatencyObjective: 400 * time.Millisecond,
		JobObjective: movedDue, TaskTTL: movedLife, Targets: []quetzalpier.Target{{Pool: pool, Weight: 1}},
	}
}

// playMoved moves the route of a batch submission to another service while its items run, and then
// restarts the node that processes them.
func playMoved(r *rig, trouble bool) (broken []string, err error) {
	r.config.Pools = map[string]quetzalpier.Pool{
		"lm-a": {Kind: quetzalpier.KindEngine, Slots: 8, Models: []string{modelName}},
		"lm-b": {Kind: quetzalpier.KindEngine, Slots: 8, Models: []string{modelName}},
	}
	for i := range 4 {
		pool := []string{"lm-a", "lm-b"}[i%2]
		if _, err := r.addWorker(stand.WorkerOptions{
			ID: fmt.Sprintf("i-%s-%d", pool, i), Pool: pool, Domain: "hall-a", Slots: 8, Software: "1",
			Models: map[string]quetzalpier.Version{modelName: 1}, EventInterval: 50 * time.Millisecond, SwapDuration: 300 * time.Millisecond,
		}); err != nil {
			return nil, err
		}
	}
	if err := r.configure(batchRoute("lm-a")); err != nil {
		return nil, err
	}
	fronts, _, err := r.addNodes("hall-a", "hall-b", "hall-c")
	if err != nil {
		return nil, err
	}
	if err := r.await(10*time.Second, func() bool { return r.owner("lm-a") != nil }); err != nil {
		return nil, errors.Wrap(err, "no node processes lm-a")
	}
	time.Sleep(5 * time.Second)
	step := newBatch("step", batchPrefix, 100, 4, 40)
	if got := r.submit(fronts[0], "batch1", batchPrefix, step); got.Status != http.StatusAccepted {
		return nil, errors.Errorf("the submission was answered with %d: %v", got.Status, got.Err)
	}
	submittedAt := time.Now()
	time.Sleep(time.Second)
	// MOVE=0 leaves the route where it is, to show that the restart alone breaks nothing.
	if os.Getenv("MOVE") != "0" {
		if err := r.configure(batchRoute("lm-b")); err != nil {
			return nil, err
		}
	}
	time.Sleep(3 * time.Second)
	if trouble {
		owner := r.owner("lm-a")
		if owner == nil {
			return nil, errors.New("no node processes lm-a")
		}
		if err := owner.restart(); err != nil {
			return nil, err
		}
	}
	return r.checkStep(fronts, "batch1", step, submittedAt.Add(movedDue))
}

// checkStep reads the results of a step until it is due, and returns the items that have been at no
// worker for idleTime, although none has finished them.
func (r *rig) checkStep(fronts []*node, id string, step batch, due time.Time) (broken []string, err error) {
	listed := map[string]string{}
	busyAt := time.Now()
	for reads := 0; time.Now().Before(due) && len(listed) < len(step.Items); reads++ {
		list, _ := r.read(fronts[reads%len(fronts)], id, len(listed))
		for _, result := range list.Results {
			listed[result.ID] = result.State
		}
		for _, w := range r.workers {
			if w.Streaming() > 0 {
				busyAt = time.Now()
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	runs := map[string]int{}
	for _, w := range r.workers {
		for _, run := range w.Runs() {
			runs[run.ID]++
			r.note("run of %s at %s from event %d, begun at %.3f", run.ID, w.ID, run.LastEvent, run.StartedAt.Sub(r.startedAt).Seconds())
		}
	}
	never := 0
	for _, it := range step.Items {
		if listed[it.ID] == "" && runs[it.ID] == 0 {
			never++
		}
	}
	idle := time.Since(busyAt)
	r.note("step %s: %d of %d items listed, %d begun, %d never at a worker; the workers were idle for the last %.1f s", id, len(listed), len(step.Items), len(runs), never, idle.Seconds())
	if never > 0 && len(runs) > 0 && idle > idleTime {
		broken = append(broken, fmt.Sprintf("LOST: the step ran out of time while %d of its %d items had been at no worker, and all workers were idle for %.1f s", never, len(step.Items), idle.Seconds()))
	}
	return broken, nil
}
