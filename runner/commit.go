package runner

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"quetzalpier"
	"quetzalpier/vault"
)

const (
	// resultBatchDelay is how long finished results wait for others, to be
	// stored in one transaction. Trainers read twice a second.
	resultBatchDelay = 400 * time.Millisecond
	// maxPageBytes limits the texts in one page; a value of the key-value
	// service holds 1 MB.
	maxPageBytes   = 700 << 10
	maxPagesPerTxn = 8
	// idleCommitDelay is the delay before the next attempt when there is
	// nothing to store.
	idleCommitDelay = 20 * time.Millisecond
	// notOwnedDelay is the delay while the pool is not owned.
	notOwnedDelay = 100 * time.Millisecond
)

// commitLoop stores finished results until ctx ends.
func (p *poolRunner) commitLoop(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		wait, err := p.commitDue(ctx)
		if err != nil {
			failures++
			pauseKV(ctx, failures)
			continue
		}
		failures = 0
		select {
		case <-ctx.Done():
		case <-p.resultReady:
		case <-time.After(wait):
		}
	}
}

// commitDue stores the results that are due and returns the delay until the
// next call.
func (p *poolRunner) commitDue(ctx context.Context) (time.Duration, error) {
	now := time.Now()
	fence, ok := p.validFence(now)
	if !ok {
		return notOwnedDelay, nil
	}
	p.mu.Lock()
	due := p.scheduler.FlushDelay(resultBatchDelay, now)
	var pages []vault.Page
	if due <= 0 {
		pages = p.pendingPages()
		p.checkRecords(ctx)
	}
	p.mu.Unlock()
	if len(pages) == 0 {
		return max(due, idleCommitDelay), nil
	}
	err := p.runner.Vault.AppendResults(ctx, p.pool, fence, pages)
	if err != nil {
		p.handleAppendError(err, fence, pages)
		return 0, err
	}
	p.markListed(pages, time.Now())
	return time.Millisecond, nil
}

// pendingPages returns the pending results for one transaction. The caller
// holds the lock.
func (p *poolRunner) pendingPages() []vault.Page {
	var pages []vault.Page
	for _, id := range slices.Sorted(maps.Keys(p.scheduler.Jobs)) {
		job := p.scheduler.Jobs[id]
		// A job whose stored results are uncertain could make the transaction
		// fail for all jobs.
		if len(job.Pending) == 0 || p.uncertain[id] || !p.recorded[id] || len(pages) == maxPagesPerTxn {
			continue
		}
		pages = append(pages, vault.Page{Job: id, From: len(job.Listed), Results: limitBytes(job.Pending, maxPageBytes)})
	}
	return pages
}

// limitBytes returns the leading results whose texts fit in limit bytes, at
// least one.
func limitBytes(results []quetzalpier.Result, limit int) []quetzalpier.Result {
	size := 0
	for i, result := range results {
		size += len(result.Text)
		if i > 0 && size > limit {
			return results[:i]
		}
	}
	return results
}

func (p *poolRunner) markListed(pages []vault.Page, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, page := range pages {
		job := p.scheduler.Jobs[page.Job]
		if job == nil || len(job.Listed) != page.From {
			continue
		}
		waited := now.Sub(job.PendingAt)
		job.MarkStored(page.Results, now)
		p.runner.Log.Info().Str("job", page.Job).Int("from", page.From).Int("results", len(page.Results)).
			Int("whole", job.CompleteGroups).Dur("waited_ms", waited).Msg("stored results")
	}
}

// markUncertain marks the jobs of the pages as uncertain.
func (p *poolRunner) markUncertain(pages []vault.Page) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, page := range pages {
		p.setUncertain(page.Job)
	}
}

// setUncertain records that the key-value service may hold more results of a job
// than the scheduler. Until they have been reconciled, no results of the job are
// stored or returned to readers. The caller holds the lock.
func (p *poolRunner) setUncertain(job string) {
	p.uncertain[job] = true
	p.repeatRead(job)
}

// setUnread records that another owner may have stored results of a job. Until they
// have been read, no results of the job are returned to readers. The caller holds the
// lock.
func (p *poolRunner) setUnread(job string) {
	p.unread[job] = true
	p.repeatRead(job)
}

// repeatRead makes a read of a job's results in progress start again. The caller holds
// the lock.
func (p *poolRunner) repeatRead(job string) {
	if read := p.reads[job]; read != nil {
		read.outdated = true
	}
}

func (p *poolRunner) handleAppendError(err error, fence uint64, pages []vault.Page) {
	p.runner.Log.Warn().Str("pool", p.pool).Uint64("fence", fence).Int("jobs", len(pages)).Err(err).Msg("failed to store results")
	var refused *quetzalpier.RefusedError
	var mismatch *quetzalpier.RevisionError
	switch {
	case errors.As(err, &refused):
	case errors.As(err, &mismatch) && mismatch.Key == vault.Owners+p.pool:
		p.runner.Lease.Forget(p.pool)
	default:
		// The transaction, or an earlier one without a reply, may have been
		// committed, or another node may have owned the pool in between.
		p.markUncertain(pages)
		signal(p.reconcileDue)
	}
}

// reconcile updates the scheduler from the stored results, each time that the
// lease was acquired anew or a result position was already occupied. The jobs are
// read independently: while the key-value service is unhealthy, one that can't be
// read must not delay the others, whose trainers may wait for a last result.
func (p *poolRunner) reconcile(ctx context.Context) {
	var reads conc.WaitGroup
	defer reads.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.reconcileDue:
		}
		p.mu.Lock()
		for _, id := range p.jobsToReconcile() {
			if read := p.reads[id]; read != nil {
				read.outdated = true
				continue
			}
			p.reads[id] = &storedRead{}
			reads.Go(func() { p.reconcileJob(ctx, id) })
		}
		p.mu.Unlock()
	}
}

// storedRead is a read of a job's stored results that is in progress.
type storedRead struct {
	// outdated is set if the results may have changed since the read began, so that
	// it must be repeated.
	outdated bool
}

// reconcileJob updates one job from its stored results. It reads them until it
// succeeds or ctx ends.
func (p *poolRunner) reconcileJob(ctx context.Context, id string) {
	for failures := 0; ctx.Err() == nil; {
		p.mu.Lock()
		p.reads[id].outdated = false
		p.mu.Unlock()
		stored, err := p.runner.Vault.Results(ctx, id)
		if err != nil {
			failures++
			p.runner.Log.Warn().Str("job", id).Err(err).Msg("failed to read stored results")
			pauseKV(ctx, failures)
			continue
		}
		if p.applyStored(id, stored, time.Now()) {
			return
		}
	}
}

// applyStored updates a job from its stored results. It returns false if they may
// be outdated.
func (p *poolRunner) applyStored(id string, stored []quetzalpier.Result, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if job := p.scheduler.Jobs[id]; job != nil && len(stored) > len(job.Listed) {
		from := len(job.Listed)
		p.cancelRuns(p.scheduler.Reconcile(id, stored, now))
		p.runner.Log.Info().Str("job", id).Int("from", from).Int("results", len(stored)-from).Int("whole", job.CompleteGroups).
			Msg("found stored results")
	}
	if p.reads[id].outdated {
		return false
	}
	delete(p.uncertain, id)
	delete(p.unread, id)
	delete(p.reads, id)
	signal(p.resultReady)
	return true
}

// jobsToReconcile returns the IDs of the jobs that have not ended. The results of
// ended ones that are uncertain or unread are left to readers of the key-value service: after an
// outage, reading them all would delay the results for which trainers wait. The caller
// holds the lock.
func (p *poolRunner) jobsToReconcile() []string {
	var ids []string
	for _, id := range slices.Sorted(maps.Keys(p.scheduler.Jobs)) {
		if !p.scheduler.Jobs[id].Ended {
			ids = append(ids, id)
		}
	}
	return ids
}

// flush stores finished results and partial texts before the pool is released.
func (p *poolRunner) flush() {
	ctx, cancel := context.WithTimeout(context.Background(), takeOverTimeout)
	defer cancel()
	p.saveParts(ctx, 1)
	p.mu.Lock()
	pages := p.pendingPages()
	p.mu.Unlock()
	fence, ok := p.validFence(time.Now())
	if !ok || len(pages) == 0 {
		return
	}
	if err := p.runner.Vault.AppendResults(ctx, p.pool, fence, pages); err != nil {
		p.handleAppendError(err, fence, pages)
	}
}
