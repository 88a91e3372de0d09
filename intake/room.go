package intake

import "sync"

// Room is a part of a process's memory. The first to take some always gets it.
type Room struct {
	// Limit is the most that may be taken, in bytes; zero for no limit.
	Limit int

	mu   sync.Mutex
	held int
}

// Take takes n bytes. It returns false if there is no room.
func (r *Room) Take(n int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.Limit > 0 && r.held > 0 && r.held+n > r.Limit {
		return false
	}
	r.held += n
	return true
}

// Add changes what is taken by n bytes, which may be negative.
func (r *Room) Add(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held += n
}

// Fits reports whether n bytes could be taken now.
func (r *Room) Fits(n int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Limit == 0 || r.held == 0 || r.held+n <= r.Limit
}

// Crowded reports whether more than half of the room is taken.
func (r *Room) Crowded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Limit > 0 && r.held > r.Limit/2
}
