package runner

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"quetzalpier"
	"quetzalpier/sleep"
	"quetzalpier/vault"
)

// A job that arrives from another node may be stored for another pool: clients submit a job at
// several nodes, in an outage and while the route's targets change. Tasks run at once, but no
// results or texts are stored, and none are returned, before the record of the job in the
// key-value service was seen to name the pool.

// recordWait is how long a read of a job waits for the watch of jobs to show its record.
const recordWait = 150 * time.Millisecond

// mayBeForeign reports whether a job is open here or being opened, and its record is not known
// to name this pool.
func (p *poolRunner) mayBeForeign(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, opening := p.opening[id]
	job := p.scheduler.Jobs[id]
	return (opening || job != nil && !job.Ended) && !p.recorded[id]
}

// applyRecord handles the pool in the record of a job, and reports whether it is this one.
func (p *poolRunner) applyRecord(id, pool string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pool != p.pool {
		p.withdraw(id, pool, now)
		return false
	}
	if !p.recorded[id] {
		p.recorded[id] = true
		if job := p.scheduler.Jobs[id]; job != nil {
			job.NotifyReaders()
			signal(p.resultReady)
		}
	}
	return true
}

// withdraw stops the tasks of a job that is stored for another pool. The caller holds the lock.
func (p *poolRunner) withdraw(id, pool string, now time.Time) {
	p.foreign[id] = now
	if p.scheduler.Jobs[id] == nil {
		return
	}
	active := p.scheduler.Withdraw(id, now)
	p.cancelRuns(active)
	delete(p.sent, id)
	delete(p.uncertain, id)
	delete(p.unread, id)
	p.runner.Log.Warn().Str("job", id).Str("pool", p.pool).Str("stored", pool).Object("canceled", countActive(active)).Msg("job is stored for another pool and is left to its owner")
}

// dropForeign forgets the jobs of other pools that are no longer submitted again. The caller
// holds the lock.
func (p *poolRunner) dropForeign(now time.Time) {
	for id, seenAt := range p.foreign {
		if now.Sub(seenAt) > p.runner.Retention {
			delete(p.foreign, id)
			delete(p.parts, id)
		}
	}
}

// checkRecords has the records read of jobs with finished tasks that the watch of jobs has not
// shown. The caller holds the lock.
func (p *poolRunner) checkRecords(ctx context.Context) {
	for id, job := range p.scheduler.Jobs {
		if len(job.Pending) > 0 && !p.recorded[id] && !job.Ended {
			p.checkRecord(ctx, job.Spec, 0)
		}
	}
}

// checkRecord reads the record of a job in the background, unless that is in progress or the
// watch of jobs shows it within wait. The caller holds the lock.
func (p *poolRunner) checkRecord(ctx context.Context, spec *quetzalpier.Job, wait time.Duration) {
	if p.checking[spec.ID] || p.ctx.Err() != nil {
		return
	}
	p.checking[spec.ID] = true
	// The job's tasks got an allowance when it was opened.
	submitted := *spec
	submitted.ExpiresAt = spec.ExpiresAt.Add(-expireMargin)
	p.goroutines.Go(func() {
		sleep.For(ctx, wait)
		if p.mayBeForeign(spec.ID) {
			p.lookUpRecord(ctx, &submitted)
		}
		p.mu.Lock()
		delete(p.checking, spec.ID)
		p.mu.Unlock()
		signal(p.resultReady)
	})
}

func (p *poolRunner) lookUpRecord(ctx context.Context, job *quetzalpier.Job) {
	pool, err := p.readRecord(ctx, job)
	if err != nil {
		p.runner.Log.Warn().Str("job", job.ID).Err(err).Msg("failed to look up the pool of a job")
		pauseKV(ctx, 1)
		return
	}
	p.applyRecord(job.ID, pool, time.Now())
}

// readRecord returns the pool for which a job is stored. A job that is on disks only, since it
// was accepted in an outage, is stored first.
func (p *poolRunner) readRecord(ctx context.Context, job *quetzalpier.Job) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, takeOverTimeout)
	defer cancel()
	stored, err := p.runner.Vault.Head(ctx, job.ID)
	if err != nil || stored != nil {
		return poolOf(stored), err
	}
	existed, err := p.runner.Vault.Put(ctx, job)
	if err != nil || !existed {
		return job.Pool, err
	}
	if stored, err = p.runner.Vault.Head(ctx, job.ID); err == nil && stored == nil {
		err = errors.Errorf("%s%s was deleted", vault.Jobs, job.ID)
	}
	return poolOf(stored), err
}

func poolOf(job *quetzalpier.Job) string {
	if job == nil {
		return ""
	}
	return job.Pool
}
