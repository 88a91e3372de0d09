package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"quetzalpier"
	"quetzalpier/platform"
	"quetzalpier/stand"
)

const (
	oncePrefix = "/payout/"
	// maxFiles is the number of descriptors of a front, and maxConns that of the channels of a worker.
	maxFiles = 4100
	maxConns = 140
	// workTime is how long a worker takes for a request, and workerIdle how long it keeps an idle
	// channel.
	workTime   = 25 * time.Millisecond
	workerIdle = 10 * time.Second
	// replaceGap is the time between two workers that are replaced, and drainPause how long the old
	// one serves after the store has accepted that it is draining.
	replaceGap = 760 * time.Millisecond
	drainPause = 2500 * time.Millisecond
	// releaseTime limits how long workers are replaced, and calmTime is the pause after that.
	releaseTime = 90 * time.Second
	calmTime    = 4 * time.Second
	// clientsPerFront send a request each clientPause at a front.
	clientsPerFront = 12
	clientPause     = 100 * time.Millisecond
	onceTimeout     = 1500 * time.Millisecond
	// answerSlack is how long after the route's timeout a request has no answer for the rule.
	answerSlack = 500 * time.Millisecond
	// checksPerFront is the number of requests at each front by which the rule is checked.
	checksPerFront = 10
)

// replaced is a worker of a service that is replaced. It has an ID and an address of its own.
type replaced struct {
	rig    *rig
	id     string
	addr   string
	born   int64
	server *http.Server

	mu   sync.Mutex
	open int
	runs int
}

// startReplaced starts a worker and lists it.
func (r *rig) startReplaced(number int) (*replaced, error) {
	addr, err := stand.FreeAddr()
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	w := &replaced{rig: r, id: "i-app-" + strconv.Itoa(number), addr: addr, born: time.Now().UnixMilli()}
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: callTimeout, IdleTimeout: workerIdle, ConnState: w.count}
	go func() { _ = w.server.Serve(listener) }()
	return w, w.list(quetzalpier.VMLive)
}

func (w *replaced) list(state string) error {
	return w.rig.list(quetzalpier.VM{
		ID: w.id, Addr: w.addr, Domain: "hall-a", Kind: quetzalpier.KindPlain, Pool: "app", State: state, Slots: 8, Incarnation: w.born, Software: "1",
	})
}

// count resets the channels beyond maxConns.
func (w *replaced) count(conn net.Conn, state http.ConnState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch state {
	case http.StateNew:
		w.open++
	case http.StateClosed, http.StateHijacked:
		w.open--
	}
	if state == http.StateNew && w.open > maxConns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// ServeHTTP implements http.Handler.
func (w *replaced) ServeHTTP(out http.ResponseWriter, req *http.Request) {
	header := out.Header()
	header.Set(platform.HeaderWorker, w.id)
	if expect := req.Header.Get(platform.HeaderExpectWorker); expect != "" && expect != w.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := req.Header.Get(platform.HeaderAttempt)
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	w.mu.Lock()
	w.runs++
	w.mu.Unlock()
	time.Sleep(workTime)
	header.Set(platform.HeaderAttempt, id)
	header.Set(platform.HeaderStamp, fmt.Sprintf("%s.%d.%s", w.id, w.born, id))
	header.Set("Keep-Alive", "timeout="+strconv.Itoa(int(workerIdle.Seconds())))
	_, _ = fmt.Fprintf(out, "served %s", id)
}

// leave drains the worker and ends it, as planned.
func (w *replaced) leave() {
	if err := w.list(quetzalpier.VMLeaving); err != nil {
		w.rig.note("%s: %v", w.id, err)
	}
	time.Sleep(drainPause)
	if _, err := w.rig.kv.Commit(context.Background(), quetzalpier.Txn{Deletes: []string{platform.PrefixWorkers + w.id}}); err != nil {
		w.rig.note("%s: %v", w.id, err)
	}
	w.mu.Lock()
	w.rig.note("%s has left, with %d channels after %d requests", w.id, w.open, w.runs)
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = w.server.Shutdown(ctx)
	_ = w.server.Close()
}

// files returns the number of open descriptors of a process.
func (n *node) files() int {
	entries, err := os.ReadDir(filepath.Join("/proc", strconv.Itoa(n.command.Process.Pid), "fd"))
	if err != nil {
		return 0
	}
	return len(entries)
}

// limitFiles gives a process the descriptors that the platform gives it.
func (n *node) limitFiles() error {
	return unix.Prlimit(n.command.Process.Pid, syscall.RLIMIT_NOFILE, &unix.Rlimit{Cur: maxFiles, Max: maxFiles}, nil)
}

// playRelease replaces the workers of a service one after the other, while clients send requests
// that must not be repeated.
func playRelease(r *rig, trouble bool) (broken []string, err error) {
	const count = 4
	r.config.Pools = map[string]quetzalpier.Pool{"app": {Kind: quetzalpier.KindPlain}}
	var workers []*replaced
	for i := range count {
		w, err := r.startReplaced(i)
		if err != nil {
			return nil, err
		}
		workers = append(workers, w)
	}
	if err := r.configure(quetzalpier.Route{
		Name: "payout", Host: host, Prefix: oncePrefix, MaxAttempts: 2, Timeout: onceTimeout, LatencyObjective: 150 * time.Millisecond,
		Targets: []quetzalpier.Target{{Pool: "app", Weight: 1}},
	}); err != nil {
		return nil, err
	}
	fronts, _, err := r.addNodes("hall-a", "hall-b")
	if err != nil {
		return nil, err
	}
	for _, n := range fronts {
		if err := n.limitFiles(); err != nil {
			return nil, errors.Wrap(err, "limit the descriptors")
		}
	}
	stop, counts := r.startClients(fronts)
	for n, end := count, time.Now().Add(releaseTime); time.Now().Before(end) && !isHung(counts(), len(fronts)); n++ {
		time.Sleep(replaceGap)
		if trouble {
			next, err := r.startReplaced(n)
			if err != nil {
				return nil, err
			}
			old := workers[0]
			workers = append(workers[1:], next)
			go old.leave()
		}
		if n%count == 0 {
			r.note("descriptors of the fronts: %d, %d after %d workers; requests by status: %v", fronts[0].files(), fronts[1].files(), n, counts())
		}
	}
	stop()
	time.Sleep(calmTime)
	return r.checkAnswers(fronts), nil
}

// isHung reports whether as many requests have got no answer as all clients send at a time.
func isHung(counts map[int]int, fronts int) bool { return counts[0] >= clientsPerFront*fronts }

// startClients starts the clients of all fronts.
func (r *rig) startClients(fronts []*node) (stop func(), counts func() map[int]int) {
	done := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	byStatus := map[int]int{}
	for i := range clientsPerFront * len(fronts) {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				case <-time.After(clientPause):
				}
				got := r.sendOnce(fronts[i%len(fronts)], fmt.Sprintf("once-%d-%d", i, n), 3*time.Second)
				mu.Lock()
				byStatus[got.Status]++
				mu.Unlock()
			}
		}()
	}
	counts = func() map[int]int {
		mu.Lock()
		defer mu.Unlock()
		copied := map[int]int{}
		for status, n := range byStatus {
			copied[status] = n
		}
		return copied
	}
	return func() { close(done); clients.Wait() }, counts
}

// sendOnce sends a request that must not be repeated.
func (r *rig) sendOnce(n *node, id string, deadline time.Duration) reply {
	return call(http.MethodPost, n.Front, oncePrefix+id, id, map[string]string{platform.HeaderDeadline: strconv.FormatInt(deadline.Milliseconds(), 10)}, []byte(id))
}

// checkAnswers sends requests to each front, and counts those that have no answer later than
// answerSlack after the timeout of their route.
func (r *rig) checkAnswers(fronts []*node) (broken []string) {
	var sent sync.WaitGroup
	var mu sync.Mutex
	late, unanswered := map[*node]int{}, map[*node]int{}
	for i := range checksPerFront * len(fronts) {
		sent.Add(1)
		go func() {
			defer sent.Done()
			n, at := fronts[i%len(fronts)], time.Now()
			got := r.sendOnce(n, "check-"+strconv.Itoa(i), 3*time.Second)
			took := time.Since(at)
			r.note("check %d at %s: status %d after %s, error %v", i, n.Name, got.Status, took.Round(time.Millisecond), got.Err)
			mu.Lock()
			defer mu.Unlock()
			if took >= onceTimeout {
				late[n]++
			}
			if took >= onceTimeout+answerSlack {
				unanswered[n]++
			}
		}()
	}
	sent.Wait()
	for _, n := range fronts {
		r.note("%s: %d descriptors, ready %t, %d of %d requests unanswered at the timeout of their route, %d later than %s after it", n.Name, n.files(), isReady(n.Ready), late[n], checksPerFront, unanswered[n], answerSlack)
		if 2*unanswered[n] > late[n] {
			broken = append(broken, fmt.Sprintf("CONFIG: %s hangs: of %d requests that are unanswered at their route's timeout, %d have no answer %s later", n.Name, late[n], unanswered[n], answerSlack))
		}
	}
	return broken
}
