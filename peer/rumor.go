package peer

import (
	"math/bits"
	"sort"
	"sync"
)

const (
	// rumorFactor times the binary logarithm of the member count is how often a
	// rumor is sent.
	rumorFactor = 3
	// maxRumorsPerMessage limits the rumors in a message.
	maxRumorsPerMessage = 24
)

// rumors holds how often each pending rumor is still to be sent, by subject.
type rumors struct {
	mu        sync.Mutex
	remaining map[string]int
}

func newRumors() *rumors { return &rumors{remaining: map[string]int{}} }

// add queues a rumor about a subject in a fleet of n members.
func (r *rumors) add(subject string, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.remaining[subject] = rumorFactor * bits.Len(uint(n)+1)
}

// nextBatch returns the subjects that have been sent least often and counts them
// as sent.
func (r *rumors) nextBatch() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	subjects := make([]string, 0, len(r.remaining))
	for subject := range r.remaining {
		subjects = append(subjects, subject)
	}
	sort.Slice(subjects, func(i, j int) bool {
		if r.remaining[subjects[i]] != r.remaining[subjects[j]] {
			return r.remaining[subjects[i]] > r.remaining[subjects[j]]
		}
		return subjects[i] < subjects[j]
	})
	subjects = subjects[:min(len(subjects), maxRumorsPerMessage)]
	for _, subject := range subjects {
		if r.remaining[subject]--; r.remaining[subject] <= 0 {
			delete(r.remaining, subject)
		}
	}
	return subjects
}
