package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"quetzalpier/platform"
	"quetzalpier/sleep"
)

const (
	// sampleInterval is the time between two readings of a node's memory and descriptors.
	sampleInterval = 20 * time.Millisecond
	crowdTimeout   = 5 * time.Second
	// unreadBuffer is how much the kernel receives for a client that reads nothing, in bytes.
	unreadBuffer = 32 << 10
)

// BadRequest is a request of a client that need not keep to the limits or finish what it sends.
type BadRequest struct {
	Addr, Method, Path string
	// Head are further lines of the head, each with its line end.
	Head string
	// Unfinished leaves out the end of the head, and Silent all of the request. Unread makes the
	// client read nothing of the answer.
	Unfinished, Silent, Unread bool
	// Length is the length of the body that the head announces. A negative one announces chunks of
	// Chunk bytes. Sent is how much of the body is sent, of which Prefix comes first; a negative one
	// does not end. Without End, a chunked body lacks its last chunk.
	Length, Chunk, Sent int
	Prefix              string
	End                 bool
}

// BadClient is a client that sends one BadRequest. It keeps the connection open until the node
// closes it.
type BadClient struct {
	Request BadRequest
	ID      string
	// Status is the status of the answer; zero if there was none.
	Status int

	conn net.Conn
	sent chan struct{}
}

// Crowd are clients that send their requests at the same time.
type Crowd struct {
	Clients []*BadClient
	workers conc.WaitGroup
	cancel  context.CancelFunc
}

// crowdCount counts the requests of all crowds, which have different IDs.
var crowdCount atomic.Uint64

// StartCrowd opens a connection for each of count equal requests and sends them.
func StartCrowd(ctx context.Context, request BadRequest, count int) *Crowd {
	ctx, cancel := context.WithCancel(ctx)
	crowd := &Crowd{cancel: cancel}
	for range count {
		c := &BadClient{Request: request, ID: fmt.Sprintf("crowd%d", crowdCount.Add(1)), sent: make(chan struct{})}
		crowd.Clients = append(crowd.Clients, c)
		crowd.workers.Go(func() { c.run(ctx, &crowd.workers) })
	}
	return crowd
}

// AwaitSent waits until each client has sent its request or lost its connection, for at most
// limit.
func (c *Crowd) AwaitSent(limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for _, client := range c.Clients {
		select {
		case <-client.sent:
		case <-timer.C:
			return
		}
	}
}

// Close closes the clients' connections and waits for the clients to end.
func (c *Crowd) Close() {
	c.cancel()
	c.workers.Wait()
}

func (c *BadClient) run(ctx context.Context, workers *conc.WaitGroup) {
	sent := sync.OnceFunc(func() { close(c.sent) })
	defer sent()
	conn, err := net.DialTimeout("tcp", c.Request.Addr, crowdTimeout)
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok && c.Request.Unread {
		// The kernel would receive tens of MiB for the client.
		_ = tcp.SetReadBuffer(unreadBuffer)
	}
	answered := make(chan struct{})
	workers.Go(func() {
		defer close(answered)
		if c.Request.Unread {
			<-ctx.Done()
			return
		}
		c.readAnswer(conn)
	})
	workers.Go(func() {
		select {
		case <-ctx.Done():
		case <-answered:
		}
		_ = conn.Close()
	})
	_ = c.send(conn)
	sent()
	<-answered
}

func (c *BadClient) readAnswer(conn net.Conn) {
	reader := bufio.NewReaderSize(conn, 4<<10)
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return
	}
	c.Status = resp.StatusCode
	_, _ = io.Copy(io.Discard, resp.Body)
	if !resp.Close {
		_, _ = reader.ReadByte()
	}
}

func (c *BadClient) send(conn net.Conn) error {
	r := c.Request
	if r.Silent {
		return nil
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s", r.Method, r.Path, Host, platform.HeaderAttempt, c.ID, r.Head)
	switch {
	case r.Unfinished:
	case r.Length < 0:
		head += "Transfer-Encoding: chunked\r\n\r\n"
	default:
		head += "Content-Length: " + strconv.Itoa(r.Length) + "\r\n\r\n"
	}
	if _, err := io.WriteString(conn, head); err != nil {
		return err
	}
	if r.Length < 0 {
		return r.sendChunks(conn)
	}
	_, err := io.CopyBuffer(conn, r.body(r.Sent), make([]byte, 16<<10))
	return err
}

// body returns the first bytes of the body; a negative number of them does not end.
func (r BadRequest) body(sent int) io.Reader {
	body := io.MultiReader(strings.NewReader(r.Prefix), repeated('a'))
	if sent < 0 {
		return body
	}
	return io.LimitReader(body, int64(sent))
}

// repeated is an endless repetition of a byte.
type repeated byte

// Read implements io.Reader.
func (r repeated) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = byte(r)
	}
	return len(b), nil
}

func (r BadRequest) sendChunks(conn net.Conn) error {
	writer := bufio.NewWriterSize(conn, 16<<10)
	body := r.body(-1)
	for left := r.Sent; left != 0; {
		size := r.Chunk
		if left > 0 {
			size = min(size, left)
			left -= size
		}
		// A chunk larger than the rest stays unfinished.
		if _, err := fmt.Fprintf(writer, "%x\r\n", r.Chunk); err != nil {
			return err
		}
		if _, err := io.CopyN(writer, body, int64(size)); err != nil {
			return err
		}
		if size < r.Chunk {
			return writer.Flush()
		}
		if _, err := writer.WriteString("\r\n"); err != nil {
			return err
		}
	}
	if r.End {
		if _, err := writer.WriteString("0\r\n\r\n"); err != nil {
			return err
		}
	}
	return writer.Flush()
}

// Usage is the largest usage of a node.
type Usage struct {
	// Memory is the resident memory of the process with the bytes that have arrived at its
	// addresses and are not read, and Unread the part of the latter; in bytes.
	Memory, Unread int
	Files          int
}

// Watch measures the nodes until it is stopped, and kills those that exceed their memory, as the
// platform does.
type Watch struct {
	mu    sync.Mutex
	peaks map[string]Usage

	stop   context.CancelFunc
	worker conc.WaitGroup
}

// StartWatch starts to measure the nodes.
func (r *Rig) StartWatch() *Watch {
	ctx, cancel := context.WithCancel(context.Background())
	w := &Watch{peaks: map[string]Usage{}, stop: cancel}
	w.worker.Go(func() {
		for sleep.For(ctx, sampleInterval) {
			w.measure(r.nodes())
		}
	})
	return w
}

// Stop ends the measurement and returns the peaks by node.
func (w *Watch) Stop() map[string]Usage {
	w.stop()
	w.worker.Wait()
	return w.peaks
}

func (w *Watch) measure(nodes []*Node) {
	unread, err := unreadBytes()
	if err != nil {
		return
	}
	for _, n := range nodes {
		usage, err := n.usage(unread)
		if err != nil {
			// The process has exited, which the rig records.
			continue
		}
		w.mu.Lock()
		peak := w.peaks[n.Settings.Name]
		w.peaks[n.Settings.Name] = Usage{max(peak.Memory, usage.Memory), max(peak.Unread, usage.Unread), max(peak.Files, usage.Files)}
		w.mu.Unlock()
		if usage.Memory > n.Settings.MemoryMiB<<20 {
			_ = syscall.Kill(int(n.pid.Load()), syscall.SIGKILL)
		}
	}
}

// usage returns the present usage of the node, given the unread bytes by IP.
func (n *Node) usage(unread map[string]int) (Usage, error) {
	pid := n.pid.Load()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return Usage{}, err
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return Usage{}, errors.Errorf("/proc/%d/statm has %d fields", pid, len(fields))
	}
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return Usage{}, err
	}
	host, _, err := net.SplitHostPort(n.Settings.Peer)
	if err != nil {
		return Usage{}, err
	}
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return Usage{pages*os.Getpagesize() + unread[host], unread[host], len(files)}, err
}

// unreadBytes returns the bytes that have arrived and are not read, by IP of their receiver. The
// nodes have IPs of their own.
func unreadBytes() (map[string]int, error) {
	data, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return nil, err
	}
	byIP := map[string]int{}
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		// The queue of a listening socket (state 0A) counts connections.
		if len(fields) < 5 || fields[3] == "0A" {
			continue
		}
		_, queue, found := strings.Cut(fields[4], ":")
		if !found {
			continue
		}
		unread, err := strconv.ParseInt(queue, 16, 64)
		if err != nil || unread == 0 {
			continue
		}
		var ip [4]byte
		if _, err := fmt.Sscanf(fields[1], "%2x%2x%2x%2x:", &ip[3], &ip[2], &ip[1], &ip[0]); err != nil {
			return nil, errors.Wrap(err, "address in /proc/net/tcp")
		}
		byIP[net.IP(ip[:]).String()] += int(unread)
	}
	return byIP, nil
}

// ExitedUnexpectedly reports whether the process exited without the rig having stopped it, or was
// killed for its memory.
func (n *Node) ExitedUnexpectedly() bool { return n.exitedUnexpectedly.Load() }
