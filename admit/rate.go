package admit

import (
	"math"
	"time"
)

// rate measures events per second as an exponentially decaying count.
type rate struct {
	sum  float64
	last time.Time
}

// observe counts one event.
func (r *rate) observe(now time.Time) {
	r.sum = r.decayed(now) + 1
	r.last = now
}

func (r *rate) perSecond(now time.Time) float64 {
	return r.decayed(now) * math.Ln2 / rateHalfLife.Seconds()
}

// decayed returns the decayed count.
func (r *rate) decayed(now time.Time) float64 {
	if r.last.IsZero() {
		return 0
	}
	age := max(0, now.Sub(r.last))
	return r.sum * math.Exp2(-float64(age)/float64(rateHalfLife))
}
