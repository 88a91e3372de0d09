package link

import (
	"sync"
	"time"
)

const (
	// silencePatience is how long a read brings nothing before the path of its connection is
	// checked, longer than most upstreams take to answer. The pause before each further
	// check of the read is silenceFactor times as long.
	silencePatience = 200 * time.Millisecond
	silenceFactor   = 4
)

// watch has the path of a connection checked while a read brings nothing.
type watch struct {
	mu sync.Mutex
	// sound checks the path; nil while the connection is not watched. lost is called if it
	// is not sound.
	sound func(silentSince time.Time) bool
	lost  func()
	timer *time.Timer
	// reads counts the reads, reading is set during one, and patience is the time until the
	// next check of it.
	reads    int
	reading  bool
	since    time.Time
	patience time.Duration
	// found is set once the path was found to be lost.
	found bool
}

func newWatch() *watch { return &watch{} }

// start begins to watch a call.
func (w *watch) start(sound func(silentSince time.Time) bool, lost func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sound, w.lost = sound, lost
}

// stop ends the watch, and reports whether the path was found to be lost.
func (w *watch) stop() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sound = nil
	return w.found
}

// begin begins a read.
func (w *watch) begin() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.sound == nil {
		return
	}
	w.reads++
	w.reading, w.since, w.patience = true, time.Now(), silencePatience
	if w.timer == nil {
		w.timer = time.AfterFunc(w.patience, w.check)
		return
	}
	w.timer.Reset(w.patience)
}

// end ends a read.
func (w *watch) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reading = false
	if w.timer != nil {
		w.timer.Stop()
	}
}

// check checks the path during a read.
func (w *watch) check() {
	w.mu.Lock()
	sound, reads, since := w.sound, w.reads, w.since
	if !w.reading || sound == nil {
		w.mu.Unlock()
		return
	}
	w.mu.Unlock()
	ok := sound(since)
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.reading || w.reads != reads || w.sound == nil {
		return
	}
	if ok {
		w.patience *= silenceFactor
		w.timer.Reset(w.patience)
		return
	}
	w.found = true
	w.lost()
}
