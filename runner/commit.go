package runner

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"quetzalpier"
	"quetzalpier/vault"
)

const (
	// resultBatchDelay is how long finished results wait for others, to be
	// stored in one transaction. Trainers read twice a second.
	resultBatchDelay = 120 * time.Millisecond
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
		if len(job.Pending) == 0 || p.uncertain[id] || len(pages) == maxPagesPerTxn {
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
		delete(p.uncertain, page.Job)
		waited := now.Sub(job.PendingAt)
		job.MarkStored(page.Results, now)
		p.runner.Log.Info().Str("job", page.Job).Int("from", page.From).Int("results", len(page.Results)).
			Int("whole", job.CompleteGroups).Dur("waited_ms", waited).Msg("stored results")
	}
}

// markUncertain records that the key-value service may hold more results of the
// jobs than the scheduler. Until they have been reconciled, no results of these
// jobs are stored or returned to readers.
func (p *poolRunner) markUncertain(pages []vault.Page) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, page := range pages {
		p.uncertain[page.Job] = true
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
// lease was acquired anew or a result position was already occupied.
func (p *poolRunner) reconcile(ctx context.Context) {
	for failures := 0; ; {
		select {
		case <-ctx.Done():
			return
		case <-p.reconcileDue:
		}
		for _, id := range p.openJobs() {
			stored, err := p.runner.Vault.Results(ctx, id)
			if err != nil {
				p.runner.Log.Warn().Str("job", id).Err(err).Msg("failed to read stored results")
				failures++
				pauseKV(ctx, failures)
				signal(p.reconcileDue)
				break
			}
			failures = 0
			p.mu.Lock()
			p.cancelRuns(p.scheduler.Reconcile(id, stored, time.Now()))
			delete(p.uncertain, id)
			p.mu.Unlock()
		}
	}
}

func (p *poolRunner) openJobs() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
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
