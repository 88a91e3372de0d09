package entry_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/platform"
)

// The next request of a client lost its first bytes to the watch of a stream that was
// answered with an error, and the rest was read as a request (UNASKED).
func TestRequestAfterFailedStream(t *testing.T) {
	r := newTestEntry(t)
	r.setConfig()
	upstream, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = upstream.Close() }()
	worker := r.startWorker(t, "w")
	stream := quetzalpier.VM{ID: "u", Addr: upstream.Addr().String(), Pool: "p", Kind: quetzalpier.KindPlain, State: quetzalpier.VMLive, Slots: 6}
	r.setUpstreams(stream)

	client, err := net.Dial("tcp", r.addr)
	require.NoError(t, err)
	defer func() { _ = client.Close() }()
	require.NoError(t, client.SetDeadline(time.Now().Add(testTimeout)))
	_, err = fmt.Fprintf(client, "POST /stream/x HTTP/1.1\r\nHost: %s\r\n%s: a1\r\nContent-Length: 0\r\n\r\n", host, platform.HeaderAttempt)
	require.NoError(t, err)
	conn, err := upstream.Accept()
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = http.ReadRequest(bufio.NewReader(conn))
	require.NoError(t, err)
	// The watch of the connection has begun once the answer comes.
	time.Sleep(300 * time.Millisecond)
	_, err = fmt.Fprintf(conn, "HTTP/1.1 404 Not Found\r\n%s: a1\r\n%s: stamp\r\nContent-Length: 4\r\n\r\n", platform.HeaderAttempt, platform.HeaderStamp)
	require.NoError(t, err)
	time.Sleep(50 * time.Millisecond)
	r.setUpstreams(worker.VM())
	held, release := make(chan struct{}), make(chan struct{})
	go r.board.Do(func(*board.State) { close(held); <-release })
	<-held
	_, err = fmt.Fprint(conn, "none")
	require.NoError(t, err)
	answers := bufio.NewReader(client)
	resp, err := http.ReadResponse(answers, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusNotFound, resp.StatusCode)
	_ = resp.Body.Close()
	// The server waits for the next request.
	time.Sleep(50 * time.Millisecond)

	inner := fmt.Sprintf("POST /safe/inner HTTP/1.1\r\nHost: %s\r\n%s: inner\r\nContent-Length: 0\r\n\r\n", host, platform.HeaderAttempt)
	pad := strings.Repeat("x", 100)
	_, err = fmt.Fprintf(client, "POST /safe/y HTTP/1.1\r\nHost: %s\r\n%s: outer\r\nContent-Length: %d\r\n\r\n%s", host, platform.HeaderAttempt, len(pad)+len(inner), pad)
	require.NoError(t, err)
	time.Sleep(50 * time.Millisecond)
	_, err = fmt.Fprint(client, inner)
	require.NoError(t, err)
	time.Sleep(50 * time.Millisecond)
	close(release)
	_, err = http.ReadResponse(answers, nil)
	require.NoError(t, err)
	runs := worker.Runs()
	require.Len(t, runs, 1)
	require.Equal(t, "outer", runs[0].ID, "a request was read from the body of another one")
}
