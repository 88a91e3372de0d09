package tasks

import (
	"bytes"
	"strings"
)

// eventEnd ends each event in Events. No event has it: it is not valid UTF-8.
const eventEnd = 0xff

// Events is the data of the events of a text, in order, in one piece: an event may have a single
// byte. Copies share their memory, so that only one of them may grow.
type Events struct {
	data  []byte
	count int
}

// NewEvents returns events with this data.
func NewEvents(data ...string) Events {
	var e Events
	for _, event := range data {
		e.add(event)
	}
	return e
}

func (e *Events) add(event string) {
	if strings.IndexByte(event, eventEnd) >= 0 {
		event = strings.ToValidUTF8(event, "\ufffd")
	}
	e.data = append(append(e.data, event...), eventEnd)
	e.count++
}

// Len returns the number of events.
func (e Events) Len() int { return e.count }

// Bytes returns the size of the events, with one byte for the end of each.
func (e Events) Bytes() int { return len(e.data) }

// First returns the first n events, or all if there are no more.
func (e Events) First(n int) Events {
	end := 0
	for range min(n, e.count) {
		end += bytes.IndexByte(e.data[end:], eventEnd) + 1
	}
	return Events{data: e.data[:end:end], count: min(n, e.count)}
}

// List returns the data of each event.
func (e Events) List() []string {
	if e.count == 0 {
		return nil
	}
	return strings.Split(string(e.data[:len(e.data)-1]), string([]byte{eventEnd}))
}

// Join returns the data of the events, separated by line feeds.
func (e Events) Join() string {
	if e.count == 0 {
		return ""
	}
	return string(bytes.ReplaceAll(e.data[:len(e.data)-1], []byte{eventEnd}, []byte{'\n'}))
}

// extend reports whether the events begin with earlier ones.
func (e Events) extend(earlier Events) bool { return bytes.HasPrefix(e.data, earlier.data) }
