package admit

import (
	"math"
	"time"
)

// rate is an exponentially decaying count of events a second.
type rate struct {
	sum  float64
	last time.Time
}

func (r *rate) add(now time.Time) {
	r.sum = r.decayed(now) + 1
	r.last = now
}

func (r *rate) value(now time.Time) float64 {
	return r.decayed(now) * math.Ln2 / rateHalfLife.Seconds()
}

func (r *rate) decayed(now time.Time) float64 {
	if r.last.IsZero() {
		return 0
	}
	age := max(0, now.Sub(r.last))
	return r.sum * math.Exp2(-float64(age)/float64(rateHalfLife))
}
