package soak

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"strings"
	"time"

	"quetzalpier"
	"quetzalpier/platform"
	"quetzalpier/sleep"
	"quetzalpier/stand"
)

const (
	// changeTime is the time after which a change of the configuration must be in force.
	changeTime = 3 * time.Second
	// workTime is how long after a large job every upstream must have got work, and oddSettle
	// how much longer a run goes on for that.
	workTime  = 4 * time.Second
	oddSettle = 10 * time.Second
	// manyEntries is the number of odd entries that are written at once, nestedLevels the
	// depth of nested ones and hugeBytes the size of large ones.
	manyEntries  = 200
	nestedLevels = 400_000
	hugeBytes    = 1 << 20
	// busyTasks are more tasks than half of the engines can run at once.
	busyTasks = 96
	latePath  = "/late/"
)

// oddFields are fields of an upstream's entry as another writer may leave them.
var oddFields = []string{
	`"slots":0`, `"slots":-3`, `"slots":4000000000`, fmt.Sprintf(`"slots":%d`, math.MaxInt64), `"slots":1e400`, `"slots":"8"`,
	`"leaves_ms":-5,"state":"draining"`, `"leaves_ms":1e300,"state":"draining"`, `"born":1e30`,
	`"models":[{"name":"m0","version":1e30}]`, `"service":""`, `"state":"?"`, `"addr":""`,
}

// oddEntry returns an odd entry of an upstream of a pool, with the address of a real one or
// with a port out of range. One in three is very deep or large, unless it is to be small.
func (f *faultInjector) oddEntry(small bool) []byte {
	w := f.rig.workers()[f.rnd.IntN(len(f.rig.workers()))]
	host := strings.TrimSuffix(w.Addr, w.Addr[strings.LastIndex(w.Addr, ":"):])
	addr := []string{w.Addr, host + ":0", host + ":99999", host + ":-1"}[f.rnd.IntN(4)]
	field := oddFields[f.rnd.IntN(len(oddFields))]
	size := f.rnd.IntN(9)
	switch {
	case small:
	case size == 0:
		return []byte(strings.Repeat("[", nestedLevels))
	case size == 1:
		field = `"models":` + strings.Repeat(`[`, nestedLevels/2) + strings.Repeat(`]`, nestedLevels/2)
	case size == 2:
		field += `,"x":"` + strings.Repeat("x", hugeBytes-1<<10) + `"`
	}
	value := fmt.Sprintf(`{"service":%q,"addr":%q,"zone":"domain-0","state":"ready","slots":8,"born":1,"models":[{"name":%q,"version":1}],%s}`, w.Pool, addr, modelName, field)
	return []byte(value)
}

// writeOddEntries writes odd entries among those of the upstreams and the models' versions,
// and over good ones for a while. Most stay. Then it checks that fronts follow a change and
// that every upstream gets work.
func (f *faultInjector) writeOddEntries(ctx context.Context, total time.Duration, seed uint64) {
	if f.upstreamsSound {
		f.pending.Go(func() { f.checkServed(ctx, total+workTime) })
	}
	for n, end := 0, time.Now().Add(total); time.Now().Before(end) && ctx.Err() == nil; n++ {
		key := fmt.Sprintf("%sodd-%d", platform.PrefixWorkers, n)
		switch f.rnd.IntN(5) {
		case 0:
			w := f.rig.workers()[f.rnd.IntN(len(f.rig.workers()))]
			f.logFault("odd entry over a good one", w.ID, 0)
			f.writeOdd(platform.PrefixWorkers+w.ID, false)
			f.revertAfter(ctx, f.draw(minFaultPause, maxFaultPause), func() { f.writeVM(w.VM()) })
		case 1:
			f.writeOdd(fmt.Sprintf("%sodd-%d", platform.PrefixVersions, n), false)
		case 2:
			f.logFault("many odd entries", key, 0)
			for i := range manyEntries {
				f.writeOdd(fmt.Sprintf("%s-%d", key, i), true)
			}
		default:
			f.writeOdd(key, false)
		}
		sleep.For(ctx, f.draw(0, maxFaultPause))
	}
	f.pending.Wait()
	f.checkFollowing(ctx, newTrainer(f.rig, f.ledger, seed))
}

func (f *faultInjector) writeOdd(key string, small bool) {
	if err := f.rig.commit(quetzalpier.Write{Key: key, Value: f.oddEntry(small)}); err != nil {
		f.ledger.recordViolation("odd entry not written: %v", err)
	}
}

// checkFollowing checks that fronts in touch follow a change of the configuration in time,
// and that every upstream gets work beside the odd entries.
func (f *faultInjector) checkFollowing(ctx context.Context, t *trainer) {
	workers := f.rig.workers()
	before := map[*stand.Worker]int{}
	for _, w := range workers {
		before[w] = len(w.Runs())
	}
	sleep.For(ctx, maxFaultTime+contactTime-changeTime)
	err := f.rig.AddRoutes(quetzalpier.Route{
		Name: "late", Host: Host, Prefix: latePath, Idempotent: true, MaxAttempts: 2, Timeout: time.Second, Targets: []quetzalpier.Target{{Pool: poolApp, Weight: 1}},
	})
	if err != nil {
		f.ledger.recordViolation("configuration not written: %v", err)
		return
	}
	sleep.For(ctx, changeTime)
	for _, n := range f.rig.Fronts {
		if !f.rig.inTouch([]string{n.Settings.Name}, time.Now().Add(-2*faultSampleInterval)) {
			continue
		}
		status, err := n.post(ctx, latePath+"l", "late-"+n.Settings.Name, time.Second)
		if err == nil && status == http.StatusNotFound {
			f.ledger.recordViolation("%s does not follow a change of the configuration made %s ago", n.Settings.Name, changeTime)
		}
		f.ledger.recordFollowed(status == http.StatusOK)
	}
	job := t.newJob(0, busyTasks, func() int { return minEarlyEndEvents + t.rnd.IntN(maxEarlyEndEvents-minEarlyEndEvents) })
	if t.submit(ctx, job) {
		sleep.For(ctx, workTime)
		t.end(ctx, job.ID)
	}
	for _, w := range workers {
		if len(w.Runs()) == before[w] && !w.Restricted() && f.rig.listsWorker(ctx, w) {
			f.ledger.recordViolation("%s got no work beside odd entries, %s after a job for all was accepted", w.ID, workTime)
		}
	}
}

// maxFailed is the largest share of requests that may fail beside odd entries while nothing
// else is wrong with the upstreams.
const maxFailed = 0.1

// checkServed sends requests through all fronts for a time, and checks that those sent to
// fronts in touch are served, but for maxFailed of them.
func (f *faultInjector) checkServed(ctx context.Context, duration time.Duration) {
	tries, failed := 0, 0
	for n, end := 0, time.Now().Add(duration); time.Now().Before(end) && ctx.Err() == nil; n++ {
		for _, front := range f.rig.Fronts {
			if !f.rig.inTouch([]string{front.Settings.Name}, time.Now().Add(-2*faultSampleInterval)) {
				continue
			}
			tries++
			if front.View(ctx, fmt.Sprintf("odd%d-%s", n, front.Settings.Name), callTimeout) != nil {
				failed++
			}
		}
		sleep.For(ctx, pollInterval)
	}
	if float64(failed) > maxFailed*float64(tries) {
		f.ledger.recordViolation("%d of %d requests failed beside odd entries", failed, tries)
	}
}

// listsWorker reports whether the entry of a worker is its own.
func (r *Rig) listsWorker(ctx context.Context, w *stand.Worker) bool {
	entry, err := r.KV.Get(ctx, platform.PrefixWorkers+w.ID)
	if err != nil {
		return false
	}
	vm, err := platform.DecodeVM(entry)
	return err == nil && vm.Addr == w.Addr && vm.State == quetzalpier.VMLive
}

func (l *Ledger) recordFollowed(served bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if served {
		l.Followed++
	}
}
