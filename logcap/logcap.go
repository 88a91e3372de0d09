// Package logcap limits how often a process logs the same message. In an outage
// many tasks and requests fail for one cause at the same time.
package logcap

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// Burst is how many warnings and errors with the same message are logged in one
	// Period; further ones are counted.
	Burst = 20
	// Period is the time after which a message may be logged again.
	Period = time.Second
)

// TimeFormat is the format of the time in log lines. Milliseconds are needed to
// compare lines of several processes.
const TimeFormat = "2006-01-02T15:04:05.000Z07:00"

// SuppressedField is the field with the number of lines of this message that were
// suppressed since the previous one.
const SuppressedField = "suppressed"

// Limiter is a zerolog hook that limits warnings and errors by message. Other
// levels are not limited: their volume follows the work done.
type Limiter struct {
	// OnSuppress is called for each suppressed line; nil does nothing.
	OnSuppress func()

	mu       sync.Mutex
	messages map[string]*window
}

// window counts the lines of one message since start.
type window struct {
	start      time.Time
	logged     int
	suppressed int
}

// Run implements zerolog.Hook.
func (l *Limiter) Run(e *zerolog.Event, level zerolog.Level, message string) {
	if level != zerolog.WarnLevel && level != zerolog.ErrorLevel {
		return
	}
	suppressed, ok := l.Allow(message, time.Now())
	switch {
	case !ok:
		e.Discard()
		if l.OnSuppress != nil {
			l.OnSuppress()
		}
	case suppressed > 0:
		e.Int(SuppressedField, suppressed)
	}
}

// Allow reports whether a line with the message may be logged now, and how many
// were suppressed since the previous one.
func (l *Limiter) Allow(message string, now time.Time) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.messages == nil {
		l.messages = map[string]*window{}
	}
	w := l.messages[message]
	if w == nil {
		w = &window{start: now}
		l.messages[message] = w
	}
	if now.Sub(w.start) >= Period {
		w.start, w.logged = now, 0
	}
	if w.logged >= Burst {
		w.suppressed++
		return 0, false
	}
	w.logged++
	suppressed, w.suppressed = w.suppressed, 0
	return suppressed, true
}
