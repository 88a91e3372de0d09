package soak

import (
	"context"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"quetzalpier/platform"
	"quetzalpier/sleep"
	"quetzalpier/stand"
)

const (
	// ackTime is how long the deployment must have been steady after an end without an
	// acknowledgement for it to count as acknowledged. abandonSettle is how much longer a run
	// goes on, so that the bounds of the last ends are over.
	ackTime       = 8 * time.Second
	abandonSettle = 12 * time.Second
	// Jobs whose end is not repeated have tasks enough for the engines until then.
	abandonedTasks     = 48
	minAbandonedEvents = 200
	maxAbandonedEvents = 400
	maxAbandonDelay    = 1500 * time.Millisecond
	// endFaultTime bounds how long before or after an end its front has a fault.
	endFaultTime = 300 * time.Millisecond
	// startTries is how often an end is sent to a front that starts and refuses connections.
	startTries    = 200
	startInterval = 10 * time.Millisecond
)

// abandonJobs submits jobs and sends the end of each once, with tasks unfinished, through a
// front that has a fault, or while the owner of the engines is lost.
func (f *faultInjector) abandonJobs(ctx context.Context, total time.Duration, seed uint64) {
	t := newTrainer(f.rig, f.ledger, seed)
	drawLength := func() int { return minAbandonedEvents + f.rnd.IntN(maxAbandonedEvents-minAbandonedEvents) }
	for step, end := 0, time.Now().Add(total); time.Now().Before(end) && ctx.Err() == nil; step++ {
		job := t.newJob(step, abandonedTasks, drawLength)
		if !t.submit(ctx, job) {
			continue
		}
		sleep.For(ctx, f.draw(0, maxAbandonDelay))
		front := f.rig.Fronts[f.rnd.IntN(len(f.rig.Fronts))]
		if f.rnd.IntN(3) == 0 {
			f.loseOwnerAtEnd(ctx)
		}
		if front.disturbed.CompareAndSwap(false, true) {
			f.endThrough(ctx, t, front, job.ID)
		} else {
			t.endOnce(front, job.ID, nil)
		}
		sleep.For(ctx, f.draw(0, maxFaultPause))
	}
	f.pending.Wait()
}

// loseOwnerAtEnd revokes the owners, or kills, stops or pauses the owner of the engines, at a
// drawn moment around the next end.
func (f *faultInjector) loseOwnerAtEnd(ctx context.Context) {
	owner, kind, delay := f.rig.Owner(ctx), f.rnd.IntN(3), f.draw(0, 2*endFaultTime)
	duration := f.draw(minFaultTime, maxFaultTime)
	f.pending.Go(func() {
		sleep.For(ctx, delay)
		if owner == nil || kind == 0 || !owner.disturbed.CompareAndSwap(false, true) {
			f.rig.RevokeOwners(ctx)
			return
		}
		f.logFault("lose owner at an end", owner.Settings.Name, duration)
		if kind == 1 {
			owner.Kill()
			sleep.For(ctx, duration)
		} else if !owner.Stop() {
			f.ledger.recordViolation("%s did not end within its grace", owner.Settings.Name)
		}
		f.restart(owner)
	})
}

// endThrough sends the end of a job once, through a front that is stopped, killed, paused,
// has just started or is refused by the key-value service.
func (f *faultInjector) endThrough(ctx context.Context, t *trainer, front *Node, id string) {
	kind := []string{"stop", "kill", "pause", "start", "refuse"}[f.rnd.IntN(5)]
	duration, delay := f.draw(minFaultTime, maxFaultTime), f.draw(0, 2*endFaultTime)
	f.logFault("end at "+kind, front.Settings.Name, duration)
	unavailable := []stand.KVFaults{{Unavailable: true}, {RefusalStatus: http.StatusServiceUnavailable}, {Reset: true}, {Silent: true}}[f.rnd.IntN(4)]
	switch kind {
	case "pause":
		f.pause(ctx, front, duration)
		t.endOnce(front, id, nil)
		return
	case "refuse", "start":
		if kind == "start" {
			front.Kill()
		}
		front.KV.SetFaults(unavailable)
		if kind == "start" {
			if err := front.Start(); err != nil {
				f.ledger.recordViolation("%s not started: %v", front.Settings.Name, err)
			}
		}
		t.endOnce(front, id, nil)
		sleep.For(ctx, duration)
		front.KV.SetFaults(stand.KVFaults{})
		front.disturbed.Store(false)
		return
	}
	lost := make(chan struct{})
	f.pending.Go(func() {
		sleep.For(ctx, delay)
		close(lost)
		if kind == "kill" {
			front.Kill()
			sleep.For(ctx, duration)
		} else if !front.Stop() {
			f.ledger.recordViolation("%s did not end within its grace", front.Settings.Name)
		}
		f.restart(front)
	})
	sleep.For(ctx, endFaultTime)
	t.endOnce(front, id, lost)
}

// endOnce sends the end of a job once. If the front was lost meanwhile, the end counts only if
// it was answered.
func (t *trainer) endOnce(front *Node, id string, lost chan struct{}) {
	t.ledger.mu.Lock()
	record := t.ledger.jobs[id]
	record.endSent = true
	t.ledger.UnrepeatedEnds++
	t.ledger.mu.Unlock()
	var sentAt time.Time
	var status int
	var err error
	for range startTries {
		sentAt = time.Now()
		status, _, err = t.callAt(front.Settings.Front, http.MethodDelete, platform.PathJobs+id, nil, nil)
		if !errors.Is(err, syscall.ECONNREFUSED) {
			break
		}
		time.Sleep(startInterval)
	}
	answered := status != 0
	t.ledger.mu.Lock()
	defer t.ledger.mu.Unlock()
	if !answered && (errors.Is(err, syscall.ECONNREFUSED) || isLost(lost)) {
		t.ledger.LostEnds++
		return
	}
	record.firstEndAt = sentAt
	if status == http.StatusOK {
		record.endedAt = time.Now()
		t.ledger.EndedJobs++
	}
}

func isLost(lost chan struct{}) bool {
	select {
	case <-lost:
		return true
	default:
		return false
	}
}

// countUnacknowledged lets ends without an acknowledgement count as acknowledged after ackTime
// of steady state.
func (r *Rig) countUnacknowledged(l *Ledger, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, record := range l.jobs {
		if record.endedAt.IsZero() && !record.firstEndAt.IsZero() {
			record.endedAt = r.steadyAfter(record.firstEndAt, now)
		}
	}
}

// steadyAfter returns when the deployment had been steady for ackTime, in all, after a time:
// all nodes were in touch. It returns zero if it was not until now.
func (r *Rig) steadyAfter(at, now time.Time) time.Time {
	names := r.nodeNames()
	for steady := time.Duration(0); at.Before(now); at = at.Add(faultSampleInterval) {
		if !r.inTouch(names, at) {
			continue
		}
		if steady += faultSampleInterval; steady >= ackTime {
			return at
		}
	}
	return time.Time{}
}
