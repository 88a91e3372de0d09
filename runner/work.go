package runner

import (
	"time"

	"quetzalpier/sizing"
)

// Work returns the remaining work of a pool's open jobs. It returns false if this node does
// not process the pool or has not read its jobs yet.
func (r *Runner) Work(pool string, now time.Time) (sizing.Work, bool) {
	p := r.runner(pool)
	if p == nil {
		return sizing.Work{}, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.jobsRead || p.standInFor != nil {
		return sizing.Work{}, false
	}
	return p.scheduler.Work(p.engineList(), now), true
}
