package peer

import (
	"math/bits"
	"sort"
	"sync"
)

const (
	// spread times the logarithm of the members is how often a rumor is passed on.
	spread = 3
	// perMessage bounds the rumors in one message.
	perMessage = 24
)

// rumors counts how often each piece of news is still to be passed on.
type rumors struct {
	mu   sync.Mutex
	left map[string]int
}

func newRumors() *rumors { return &rumors{left: map[string]int{}} }

// add notes news about a subject in a fleet of n members.
func (r *rumors) add(subject string, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.left[subject] = spread * bits.Len(uint(n)+1)
}

// take returns the least passed-on subjects and counts them as passed on.
func (r *rumors) take() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	subjects := make([]string, 0, len(r.left))
	for subject := range r.left {
		subjects = append(subjects, subject)
	}
	sort.Slice(subjects, func(i, j int) bool {
		if r.left[subjects[i]] != r.left[subjects[j]] {
			return r.left[subjects[i]] > r.left[subjects[j]]
		}
		return subjects[i] < subjects[j]
	})
	subjects = subjects[:min(len(subjects), perMessage)]
	for _, subject := range subjects {
		if r.left[subject]--; r.left[subject] <= 0 {
			delete(r.left, subject)
		}
	}
	return subjects
}
