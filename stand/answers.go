package stand

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"quetzalpier/platform"
)

// AnswerKind is a way in which a worker breaks its answers.
type AnswerKind string

// The kinds of broken answers. All but AnswerCut, AnswerReset and AnswerChunked are whole.
const (
	// AnswerCut closes the connection after a part of the answer, AnswerReset resets it, and
	// AnswerChunked closes it after a part of an answer in chunks.
	AnswerCut     AnswerKind = "cut"
	AnswerReset   AnswerKind = "reset"
	AnswerChunked AnswerKind = "chunked"
	// AnswerPause stops for AnswerFaults.Pause in the middle of the answer.
	AnswerPause AnswerKind = "pause"
	// AnswerEarly sends the answer before the request's body is read.
	AnswerEarly AnswerKind = "early"
	// AnswerTwice sends another answer on the connection AnswerFaults.Pause after the first.
	AnswerTwice AnswerKind = "twice"
)

// AnswerFaults say how a worker breaks its answers. The zero value breaks none.
type AnswerFaults struct {
	Kind AnswerKind
	// Part is the part of the answer that stands before its break, from 0 to 1.
	Part  float64
	Pause time.Duration
	// ResumeStatus is the status of the answers to requests that resume a stream, unless it
	// is zero. It concerns the paths with ResumePrefix only.
	ResumeStatus int
	ResumePrefix string
}

// Request is what a worker compares of a request with what was sent.
type Request struct {
	Method, URI, Model, TokenCounts, PromptPrefix, Body string
}

// NewRequest returns a request with the given headers.
func NewRequest(method, uri string, header func(name string) string, body string) Request {
	return Request{
		Method: method, URI: uri, Model: header(platform.HeaderModel), TokenCounts: header(platform.HeaderTokenCounts),
		PromptPrefix: header(platform.HeaderPromptPrefix), Body: body,
	}
}

func receivedRequest(c *fasthttp.RequestCtx, body string) Request {
	header := func(name string) string { return string(c.Request.Header.Peek(name)) }
	return NewRequest(string(c.Method()), string(c.RequestURI()), header, body)
}

// closeDelay is the time between the end of what a worker sends and its reset of the
// connection.
const closeDelay = 100 * time.Millisecond

// answerBroken breaks the answer whose header is set. It reports false if the answer is to be
// sent as usual.
func (w *Worker) answerBroken(c *fasthttp.RequestCtx, faults AnswerFaults, body string) bool {
	if faults.Kind == "" {
		return false
	}
	if faults.Kind == AnswerChunked {
		c.Response.SetBodyStream(strings.NewReader(body), -1)
	} else {
		c.Response.SetBodyString(body)
	}
	if faults.Kind != AnswerTwice {
		c.Response.SetConnectionClose()
	}
	var buffer bytes.Buffer
	out := bufio.NewWriter(&buffer)
	_ = c.Response.Write(out)
	_ = out.Flush()
	answer, conn := buffer.Bytes(), c.Conn()
	if faults.Kind == AnswerTwice {
		c.Response.SetBodyString(body)
		second := bytes.Replace(answer, []byte(body), bytes.ToUpper([]byte(body)), 1)
		time.AfterFunc(faults.Pause, func() { _, _ = conn.Write(second) })
		return true
	}
	end := int(faults.Part * float64(len(answer)))
	if faults.Kind != AnswerPause && end < len(answer) {
		w.recordCut(string(c.Response.Header.Peek(platform.HeaderStamp)))
	}
	c.HijackSetNoResponse(true)
	c.Hijack(func(net.Conn) {
		_, _ = conn.Write(answer[:end])
		switch faults.Kind {
		case AnswerPause:
			time.Sleep(faults.Pause)
			_, _ = conn.Write(answer[end:])
			closeWrite(conn)
		case AnswerReset:
		default:
			closeWrite(conn)
		}
		_ = conn.Close()
	})
	return true
}

// closeWrite ends the output of a connection without a reset, and leaves the peer the time to
// read it.
func closeWrite(conn net.Conn) {
	if tracked, ok := conn.(*faultyConn); ok {
		if tcp, ok := tracked.Conn.(*net.TCPConn); ok {
			_ = tcp.CloseWrite()
		}
	}
	time.Sleep(closeDelay)
}

// answerEarly sends a whole answer before it reads the request's body, records what it then
// reads, and closes the connection.
func (w *Worker) answerEarly(c *fasthttp.RequestCtx, run WorkerRun) {
	run.Request, run.Partial = receivedRequest(c, ""), true
	index, tag := w.recordRun(run)
	stamp, text, conn := tag+"."+run.ID, "served "+run.ID, c.Conn()
	w.recordMade(stamp, run.StartedAt)
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		platform.HeaderWorker, w.ID, platform.HeaderAttempt, run.ID, platform.HeaderStamp, stamp, len(text), text)
	body, err := readBody(c)
	w.mu.Lock()
	w.runs[index].Request, w.runs[index].Partial = receivedRequest(c, body), err != nil
	w.mu.Unlock()
	c.HijackSetNoResponse(true)
	c.Hijack(func(net.Conn) { closeWrite(conn); _ = conn.Close() })
}

func (w *Worker) recordCut(stamp string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cutStamps[stamp] = true
}

// Cut reports whether the answer with this stamp was cut.
func (w *Worker) Cut(stamp string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cutStamps[stamp]
}

// eventsText returns the events of a stream from first to last.
func eventsText(id, tag string, first, last int) string {
	var text strings.Builder
	for event := first; event <= last; event++ {
		_, _ = fmt.Fprintf(&text, "id: %d\ndata: %s\n\n", event, eventData(id, tag, event))
	}
	return text.String()
}
