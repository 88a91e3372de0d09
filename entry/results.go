package entry

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"quetzalpier"
)

const (
	// jobOverhead and resultOverhead are what a cached job and a cached result hold besides their
	// texts, in bytes.
	jobOverhead    = 256
	resultOverhead = 128
)

// resultCache holds results that this node has read, which never change. It makes room for new
// results by those of the jobs that were cached first, then by the first ones of the same job.
type resultCache struct {
	// MaxBytes bounds what is held. A job is dropped Retention after it was cached.
	MaxBytes  int
	Retention time.Duration

	mu    sync.Mutex
	jobs  map[string]*jobResults
	bytes int
}

// jobResults holds consecutive results of a job, the first of which is at position from.
type jobResults struct {
	total    int
	customer string
	from     int
	results  []quetzalpier.Result
	bytes    int
	cachedAt time.Time
}

func newResultCache(maxBytes int, retention time.Duration) *resultCache {
	return &resultCache{MaxBytes: maxBytes, Retention: retention, jobs: map[string]*jobResults{}}
}

// after returns the number of a job's tasks, and its results from a position on as far as they
// are cached. Both are zero for a job that is not cached.
func (c *resultCache) after(job string, position int) (int, []quetzalpier.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.jobs[job]
	if known == nil {
		return 0, nil
	}
	if position < known.from {
		return known.total, nil
	}
	return known.total, known.results[min(position-known.from, len(known.results)):]
}

// customer returns the customer of a cached job; empty if it is not known.
func (c *resultCache) customer(job string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known := c.jobs[job]; known != nil {
		return known.customer
	}
	return ""
}

// add adds results of a job from a position on. They replace the cached ones if they don't
// continue them.
func (c *resultCache) add(job, customer string, total, position int, results []quetzalpier.Result, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.jobs[job]
	if known == nil {
		c.dropExpired(now)
		known = &jobResults{total: total, customer: customer, from: position, cachedAt: now, bytes: jobOverhead + len(job) + len(customer)}
		c.jobs[job] = known
		c.bytes += known.bytes
	}
	end := known.from + len(known.results)
	if len(results) > 0 && (position < known.from || position > end) {
		c.resize(known, -sizeOf(known.results))
		known.from, known.results, end = position, nil, position
	}
	// A concurrent read may have added some of them.
	if skip := end - position; skip >= 0 && skip < len(results) {
		added := results[skip:]
		c.resize(known, sizeOf(added))
		// Readers may hold the earlier slice.
		known.results = append(slices.Clip(known.results), added...)
	}
	c.makeRoom(known)
}

// resize changes the size of a job. The caller holds the lock.
func (c *resultCache) resize(known *jobResults, bytes int) {
	known.bytes += bytes
	c.bytes += bytes
}

// dropExpired drops the jobs that were cached longer than Retention ago. The caller holds the
// lock.
func (c *resultCache) dropExpired(now time.Time) {
	for job, known := range c.jobs {
		if now.Sub(known.cachedAt) > c.Retention {
			c.drop(job)
		}
	}
}

func (c *resultCache) drop(job string) {
	c.bytes -= c.jobs[job].bytes
	delete(c.jobs, job)
}

// makeRoom drops other jobs than the one that grew until a half of the room is free, so that not
// each new result sorts all jobs, and then the first results of that one until it fits. The caller
// holds the lock.
func (c *resultCache) makeRoom(grown *jobResults) {
	if c.bytes <= c.MaxBytes {
		return
	}
	others := make([]string, 0, len(c.jobs))
	for job, known := range c.jobs {
		if known != grown {
			others = append(others, job)
		}
	}
	slices.SortFunc(others, func(a, b string) int {
		return cmp.Or(c.jobs[a].cachedAt.Compare(c.jobs[b].cachedAt), cmp.Compare(a, b))
	})
	for _, job := range others {
		if c.bytes <= c.MaxBytes/2 {
			return
		}
		c.drop(job)
	}
	dropped := 0
	for c.bytes > c.MaxBytes && dropped < len(grown.results) {
		c.resize(grown, -sizeOf(grown.results[dropped:dropped+1]))
		dropped++
	}
	if dropped > 0 {
		grown.from, grown.results = grown.from+dropped, slices.Clone(grown.results[dropped:])
	}
}

// sizeOf returns what results hold, in bytes.
func sizeOf(results []quetzalpier.Result) int {
	size := 0
	for _, r := range results {
		size += resultOverhead + len(r.ID) + len(r.Text) + len(r.Score) + 8*len(r.Versions)
	}
	return size
}
