package runner

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"quetzalpier"
	"quetzalpier/sleep"
	"quetzalpier/vault"
)

const (
	// gatherTime is how long finished tasks wait for others before they are
	// stored together; trainers read twice a second.
	gatherTime = 120 * time.Millisecond
	// pageBytes bounds the texts in one page; a value holds a megabyte.
	pageBytes   = 700 << 10
	pagesPerTxn = 8
	// noPagePause is the pause when nothing may be stored now.
	noPagePause = 20 * time.Millisecond
	commitPause = 100 * time.Millisecond
)

// commits stores finished results until ctx ends.
func (t *term) commits(ctx context.Context) {
	for ctx.Err() == nil {
		wait := t.storeDue(ctx)
		select {
		case <-ctx.Done():
		case <-t.finished:
		case <-time.After(wait):
		}
	}
}

// storeDue stores what is due and returns when to look again.
func (t *term) storeDue(ctx context.Context) time.Duration {
	now := time.Now()
	fence, ok := t.owned(now)
	if !ok {
		return commitPause
	}
	t.mu.Lock()
	due := t.book.Due(gatherTime, now)
	var pages []vault.Page
	if due <= 0 {
		pages = t.pages()
	}
	t.mu.Unlock()
	if len(pages) == 0 {
		return max(due, noPagePause)
	}
	err := t.r.Vault.List(ctx, t.pool, fence, pages)
	if err != nil {
		t.listFailed(err, fence, pages)
		sleep.For(ctx, commitPause)
		return time.Millisecond
	}
	t.listed(pages, time.Now())
	return time.Millisecond
}

// pages takes the pending results for one transaction; the caller holds the
// lock.
func (t *term) pages() []vault.Page {
	var pages []vault.Page
	for _, id := range slices.Sorted(maps.Keys(t.book.Jobs)) {
		job := t.book.Jobs[id]
		// A job in doubt would make the whole transaction fail.
		if len(job.Pending) == 0 || t.doubted[id] || len(pages) == pagesPerTxn {
			continue
		}
		pages = append(pages, vault.Page{Job: id, From: len(job.Listed), Results: head(job.Pending, pageBytes)})
	}
	return pages
}

// head returns the first results whose texts fit, one at least.
func head(results []quetzalpier.Result, limit int) []quetzalpier.Result {
	size := 0
	for i, result := range results {
		size += len(result.Text)
		if i > 0 && size > limit {
			return results[:i]
		}
	}
	return results
}

func (t *term) listed(pages []vault.Page, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, page := range pages {
		job := t.book.Jobs[page.Job]
		if job == nil || len(job.Listed) != page.From {
			continue
		}
		delete(t.doubted, page.Job)
		waited := now.Sub(job.PendingAt)
		job.List(page.Results, now)
		t.r.Log.Info().Str("job", page.Job).Int("from", page.From).Int("results", len(page.Results)).
			Int("whole", job.Whole).Dur("waited_ms", waited).Msg("results listed")
	}
}

// doubt notes that the store may hold more results of jobs than are known
// here: it is asked until that is settled.
func (t *term) doubt(pages []vault.Page) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, page := range pages {
		t.doubted[page.Job] = true
	}
}

func (t *term) listFailed(err error, fence uint64, pages []vault.Page) {
	t.r.Log.Warn().Str("pool", t.pool).Uint64("fence", fence).Int("jobs", len(pages)).Err(err).Msg("results not listed")
	var refused *quetzalpier.RefusedError
	var swap *quetzalpier.SwapError
	switch {
	case errors.As(err, &refused):
	case errors.As(err, &swap) && swap.Key == vault.Owners+t.pool:
		t.r.Lease.Forget(t.pool)
	default:
		// This transaction or an earlier one without an answer may have taken
		// effect, or another owner came between.
		t.doubt(pages)
		signal(t.dirty)
	}
}

// reconcile brings the book in line with what is stored, each time that the
// pool was taken anew or a position was found taken.
func (t *term) reconcile(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.dirty:
		}
		for _, id := range t.openJobs() {
			listed, err := t.r.Vault.Listed(ctx, id)
			if err != nil {
				t.r.Log.Warn().Str("job", id).Err(err).Msg("results not read")
				sleep.For(ctx, loadPause)
				signal(t.dirty)
				break
			}
			t.mu.Lock()
			t.cut(t.book.Reconcile(id, listed, time.Now()))
			delete(t.doubted, id)
			t.mu.Unlock()
		}
	}
}

func (t *term) openJobs() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ids []string
	for _, id := range slices.Sorted(maps.Keys(t.book.Jobs)) {
		if !t.book.Jobs[id].Ended {
			ids = append(ids, id)
		}
	}
	return ids
}

// last stores what is finished, and what there is of the rest, before the pool
// is given up.
func (t *term) last() {
	ctx, cancel := context.WithTimeout(context.Background(), takeTimeout)
	defer cancel()
	t.save(ctx, 1)
	t.mu.Lock()
	pages := t.pages()
	t.mu.Unlock()
	fence, ok := t.owned(time.Now())
	if !ok || len(pages) == 0 {
		return
	}
	if err := t.r.Vault.List(ctx, t.pool, fence, pages); err != nil {
		t.listFailed(err, fence, pages)
	}
}
