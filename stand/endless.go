package stand

import (
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"quetzalpier/platform"
)

// EndlessKind is what a worker sends without end.
type EndlessKind string

// The kinds of answers without end. Each is well-formed as far as it goes.
const (
	// EndlessHeader is a header, and EndlessTrailer one whose body ends and whose trailer does not.
	EndlessHeader  EndlessKind = "header"
	EndlessTrailer EndlessKind = "trailer"
	// EndlessExtension is an extension of a chunk.
	EndlessExtension EndlessKind = "extension"
	// EndlessLine is a body of one line, EndlessLines one event of many lines, and EndlessComments
	// one without an event.
	EndlessLine     EndlessKind = "line"
	EndlessLines    EndlessKind = "lines"
	EndlessComments EndlessKind = "comments"
	// EndlessEvents is a stream of small events with rising IDs, and EndlessLargeEvents one of large
	// ones.
	EndlessEvents      EndlessKind = "events"
	EndlessLargeEvents EndlessKind = "large events"
)

const (
	// endlessPiece is about how much an endless answer sends at a time, and endlessPause the time
	// between two pieces: together 16 MB/s on each connection.
	endlessPiece = 64 << 10
	endlessPause = 4 * time.Millisecond
	// largeEventBytes is the size of a large event.
	largeEventBytes = 256 << 10
)

// EndlessAnswer is an answer without end. After Burst bytes it goes on with a byte a second, as an
// answer does that stalls just before its bound; zero for never.
type EndlessAnswer struct {
	Kind  EndlessKind
	Burst int
}

// piece returns the next bytes of the answer. event counts the events so far.
func (a EndlessAnswer) piece(event *int) string {
	const fill = "0123456789abcdef"
	switch a.Kind {
	case EndlessHeader, EndlessTrailer:
		return strings.Repeat("X-Fill: "+fill+"\r\n", 40)
	case EndlessLines:
		return strings.Repeat("data:x\n", endlessPiece/7)
	case EndlessComments:
		return strings.Repeat(":\n", endlessPiece/2)
	case EndlessEvents:
		var text strings.Builder
		for text.Len() < endlessPiece {
			*event++
			_, _ = fmt.Fprintf(&text, "id: %d\ndata: x\n\n", *event)
		}
		return text.String()
	case EndlessLargeEvents:
		*event++
		return fmt.Sprintf("id: %d\ndata: %s\n\n", *event, strings.Repeat("x", largeEventBytes))
	}
	return strings.Repeat(fill, endlessPiece/len(fill))
}

// begin returns what stands before the pieces: a header with these lines, if it ends.
func (a EndlessAnswer) begin(fields string) string {
	const line, chunked = "HTTP/1.1 200 OK\r\n", "Transfer-Encoding: chunked\r\n\r\n"
	switch a.Kind {
	case EndlessHeader:
		return line + fields
	case EndlessTrailer:
		return line + fields + chunked + "0\r\n"
	case EndlessExtension:
		return line + fields + chunked + "4;"
	}
	return line + fields + "\r\n"
}

// send sends the answer until the connection is closed, which it does itself at the end.
func (a EndlessAnswer) send(conn net.Conn, fields string, event int) {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_, _ = conn.Read(make([]byte, 1))
	}()
	defer func() { <-closed }()
	defer func() { _ = conn.Close() }()
	_, err := conn.Write([]byte(a.begin(fields)))
	for sent := 0; err == nil; {
		piece, pause := a.piece(&event), endlessPause
		if a.Burst > 0 && sent+len(piece) > a.Burst {
			piece, pause = piece[:1], time.Second
		}
		sent += len(piece)
		_, err = conn.Write([]byte(piece))
		select {
		case <-closed:
			return
		case <-time.After(pause):
		}
	}
}

// answerEndless sends an answer without end.
func (w *Worker) answerEndless(c *fasthttp.RequestCtx, answer EndlessAnswer, run WorkerRun) {
	version, _ := w.Version(string(c.Request.Header.Peek(platform.HeaderModel)))
	fields := fmt.Sprintf("%s: %s\r\n%s: %s\r\n%s: endless\r\n%s: %d\r\n", platform.HeaderWorker, w.ID, platform.HeaderAttempt, run.ID,
		platform.HeaderStamp, platform.HeaderWeightVersion, max(version, 1))
	conn := c.Conn()
	c.HijackSetNoResponse(true)
	c.Hijack(func(net.Conn) { answer.send(conn, fields, run.LastEvent) })
}
