package main

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"quetzalpier"
	"quetzalpier/platform"
	"quetzalpier/review/kit"
)

const (
	// leaseTTL is leaseTtlMs of the small deployments.
	leaseTTL = 3 * time.Second
	// stepTime is the time between two steps of a trainer.
	stepTime = 4 * time.Second
	model    = "m0"
	pool     = "lm"
	prefix   = "/rollout/"
)

// rolloutRoute is the route of batch submissions.
var rolloutRoute = quetzalpier.Route{
	Name: "rollout", Prefix: prefix, Batch: true, CanResume: true, MaxAttempts: 3, LatencyObjective: 400 * time.Millisecond, Timeout: 10 * time.Second,
	JobObjective: 7500 * time.Millisecond, TaskTTL: 12 * time.Second, Targets: []quetzalpier.Target{{Pool: pool, Weight: 1}},
}

// streamItem runs an item as a stream of four events, which take 2.6 s.
func streamItem(w *kit.Worker, r *kit.Request) bool {
	last, _ := strconv.Atoi(r.Header.Get(platform.HeaderLastEventID))
	return w.Stream(r, "3e1b."+r.ID, model, last+1, 4, 650*time.Millisecond, func(event int) string { return fmt.Sprintf("%s-%d", r.ID, event) })
}

// step returns the batch submission of a step, with an item for each worker.
func step(number, items int) quetzalpier.Job {
	job := quetzalpier.Job{ID: fmt.Sprintf("5a00%d", number), Step: number, Model: model, MinVersion: quetzalpier.Version(max(1, number-1)), WantGroups: items}
	for i := range items {
		id := fmt.Sprintf("e%d00%d", number, i)
		job.Tasks = append(job.Tasks, quetzalpier.Task{ID: id, Group: "g" + id, Path: prefix + id, Body: []byte("x")})
	}
	return job
}

// playTurns kills the node that orders the workers. The store then does the write by which the
// next node takes over the orders, and its answer is lost.
func playTurns(record string) (int, error) {
	d, err := kit.Open(record, kit.Options{Fronts: 3, Stores: 3})
	if err != nil {
		return kit.Failed, err
	}
	defer d.Close()
	var workers []*kit.Worker
	for _, id := range []string{"w1", "w2"} {
		w, err := d.AddWorker(id, pool, map[string]quetzalpier.Version{model: 1}, streamItem)
		if err != nil {
			return kit.Failed, err
		}
		workers = append(workers, w)
	}
	err = d.WriteConfig(map[string]quetzalpier.Pool{pool: {Kind: quetzalpier.KindEngine, Slots: 8, Models: []string{model}}}, []quetzalpier.Route{rolloutRoute})
	if err == nil {
		err = d.Start()
	}
	if err != nil {
		return kit.Failed, err
	}
	if !until(10*time.Second, func() bool { return d.Owner(pool) != "" }) {
		return kit.Failed, errors.New("the pool got no owner")
	}
	time.Sleep(4 * time.Second)
	if err := playSteps(d, workers); err != nil {
		return kit.Failed, err
	}
	time.Sleep(2 * leaseTTL)
	status := kit.Held
	for _, w := range workers {
		orders := w.Orders()
		for i := 1; i < len(orders); i++ {
			gap := orders[i].At.Sub(orders[i-1].At)
			if orders[i].Holder != orders[i-1].Holder && gap < leaseTTL {
				d.Printf("BROKEN ONE: %s ordered %s %s after %s", orders[i].Holder, w.ID, gap, orders[i-1].Holder)
				status = kit.Broken
			}
		}
	}
	d.Printf("result: %d", status)
	return status, nil
}

// playSteps names versions and submits steps at the pace of a trainer, and kills the owner of
// the pool after it has ordered both workers.
func playSteps(d *kit.Deployment, workers []*kit.Worker) error {
	for number := 2; number <= 3; number++ {
		began := time.Now()
		if err := d.NameVersion(model, quetzalpier.Version(number)); err != nil {
			return err
		}
		if err := d.Submit(d.Fronts[0], prefix, step(number, len(workers))); err != nil {
			return err
		}
		if number == 3 && d.Trouble {
			ordered := func(w *kit.Worker) bool { o := w.Orders(); return len(o) > 0 && o[len(o)-1].Version == 3 }
			if !until(stepTime, func() bool { return ordered(workers[0]) && ordered(workers[1]) }) {
				return errors.New("the workers were not ordered to load version 3")
			}
			var lost atomic.Bool
			d.Store.SetLoseAnswer(func(keys []string) bool {
				return slices.Contains(keys, "last/"+pool) && lost.CompareAndSwap(false, true)
			})
			d.NodeNamed(d.Owner(pool)).Signal(syscall.SIGKILL)
		}
		time.Sleep(time.Until(began.Add(stepTime)))
	}
	if err := d.NameVersion(model, 4); err != nil {
		return err
	}
	status, _, _, err := d.Call(d.Fronts[1].Front, http.MethodDelete, "/lots/"+step(3, 0).ID, nil, nil)
	d.Printf("trainer: ends step 3: %d %v", status, err)
	return nil
}

// until waits until a condition holds.
func until(limit time.Duration, holds func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}
