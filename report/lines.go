package report

import (
	"bufio"
	"bytes"
	"container/heap"
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"
)

// Source is the log of one or more processes, with its lines in order of time.
type Source struct {
	Name   string
	Reader io.Reader
}

// BrokenLine is a line that is no valid JSON.
type BrokenLine struct {
	Source string `json:"source"`
	// Line is the number of the line, from 1.
	Line int `json:"line"`
}

// line is a log line. It holds the fields of all messages that a report uses.
type line struct {
	Time    time.Time `json:"time"`
	Message string    `json:"message"`
	Node    string    `json:"node"`
	Class   string    `json:"class"`

	Job       string  `json:"job"`
	Task      string  `json:"task"`
	Step      int     `json:"step"`
	Model     string  `json:"model"`
	Want      int     `json:"want"`
	Tasks     int     `json:"tasks"`
	Whole     int     `json:"whole"`
	Objective float64 `json:"objective_ms"`
	Age       float64 `json:"age_ms"`
	Took      float64 `json:"took_ms"`
	Busy      float64 `json:"busy_ms"`
	Unloaded  float64 `json:"unloaded_ms"`
	From      int     `json:"from"`
	Events    int     `json:"events"`
	Outcome   string  `json:"outcome"`
	// Sent is when a request was sent completely.
	Sent time.Time `json:"sent"`

	Request string `json:"request"`
	Route   string `json:"route"`
	Status  int    `json:"status"`
	Error   string `json:"error"`

	Calls       map[string]float64 `json:"calls"`
	Connections map[string]float64 `json:"connections"`
}

// Messages of the lines that a report uses.
const (
	messageAccepted  = "job accepted"
	messageOpened    = "job opened"
	messageRun       = "run ended"
	messageScored    = "task scored"
	messageStored    = "stored results"
	messageFound     = "found stored results"
	messageEnded     = "job ended"
	messageEndStored = "job end stored"
	// The end of a job whose client was refused may be stored later.
	messageEndStoredLater = "end stored after its client was refused"
	messageRewardFailed   = "reward call failed"
	messageRewardClosed   = "reward call of a closed job ended"
	messageStarted        = "node started"
	messageUsage          = "usage"
	messageRefused        = "request refused"
	messageServedLate     = "request served late"
)

const (
	maxLineBytes      = 1 << 20
	readerBufferBytes = 256 << 10
	// maxNamedBroken is how many broken lines are named; all are counted.
	maxNamedBroken = 20
	// messageField is how the field with the message begins; zerolog writes it last.
	messageField = `"message":"`
)

var usedMessages = map[string]bool{
	messageAccepted: true, messageOpened: true, messageRun: true, messageScored: true, messageStored: true, messageFound: true, messageEnded: true,
	messageEndStored: true, messageEndStoredLater: true, messageRewardFailed: true, messageRewardClosed: true, messageStarted: true, messageUsage: true, messageRefused: true, messageServedLate: true,
}

// reader reads the lines of one source.
type reader struct {
	name   string
	buffer *bufio.Reader
	number int
	next   line
	report *Report
}

func newReader(source Source, report *Report) *reader {
	return &reader{name: source.Name, buffer: bufio.NewReaderSize(source.Reader, readerBufferBytes), report: report}
}

// advance reads the next line that the report uses. It returns false at the end.
func (r *reader) advance() (bool, error) {
	for {
		text, err := r.readLine()
		if len(text) > 0 && r.decode(text) {
			return true, nil
		}
		if err == io.EOF {
			return false, nil
		}
		if err != nil {
			return false, errors.Wrapf(err, "%s, line %d", r.name, r.number)
		}
	}
}

// readLine returns the next line. The rest of a line beyond maxLineBytes is skipped.
func (r *reader) readLine() ([]byte, error) {
	r.number++
	text, err := r.buffer.ReadSlice('\n')
	if err != bufio.ErrBufferFull {
		return text, err
	}
	long := append([]byte(nil), text...)
	for err == bufio.ErrBufferFull {
		text, err = r.buffer.ReadSlice('\n')
		if len(long) < maxLineBytes {
			long = append(long, text...)
		}
	}
	return long, err
}

// decode decodes a line and reports whether the report uses it. Text before the
// first brace, such as a time or a node's name, is skipped.
func (r *reader) decode(text []byte) bool {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return false
	}
	text = text[start:]
	// Most lines are skipped without being decoded.
	if i := bytes.LastIndex(text, []byte(messageField)); i >= 0 {
		message, _, found := bytes.Cut(text[i+len(messageField):], []byte(`"`))
		if found && !usedMessages[string(message)] && bytes.HasSuffix(bytes.TrimSpace(text), []byte("}")) {
			r.report.Lines++
			return false
		}
	}
	r.next = line{}
	if err := json.Unmarshal(text, &r.next); err != nil {
		r.report.addBroken(r.name, r.number)
		return false
	}
	r.report.Lines++
	return usedMessages[r.next.Message]
}

// readers is a heap of sources by the time of their next line.
type readers []*reader

// Len implements heap.Interface.
func (h readers) Len() int { return len(h) }

// Less implements heap.Interface.
func (h readers) Less(i, j int) bool { return h[i].next.Time.Before(h[j].next.Time) }

// Swap implements heap.Interface.
func (h readers) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *readers) Push(x any) { *h = append(*h, x.(*reader)) }

// Pop implements heap.Interface.
func (h *readers) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// merge calls handle with the lines of all sources in order of time.
func merge(sources []Source, report *Report, handle func(*line)) error {
	var open readers
	for _, source := range sources {
		r := newReader(source, report)
		more, err := r.advance()
		if err != nil {
			return err
		}
		if more {
			open = append(open, r)
		}
	}
	heap.Init(&open)
	for len(open) > 0 {
		r := open[0]
		handle(&r.next)
		more, err := r.advance()
		if err != nil {
			return err
		}
		if more {
			heap.Fix(&open, 0)
		} else {
			heap.Pop(&open)
		}
	}
	return nil
}
