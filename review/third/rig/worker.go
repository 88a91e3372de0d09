package rig

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"quetzalpier"
	"quetzalpier/platform"
)

// Received is a request that a worker began to run.
type Received struct {
	Worker, ID, Method, URI, Body string
	At                            time.Time
}

// Worker is a worker of a plain service. A request whose path contains Deadly ends its process
// when the worker begins to run it; the worker is back after Downtime, in a new lifetime.
type Worker struct {
	Name     string
	Pool     string
	Slots    int
	WorkTime time.Duration
	Deadly   string
	// Events is the number of events with which the worker of a model answers; zero for a plain service.
	Events int
	// EventBytes is the size of an event, EventTime the time that it takes, and Model the model that
	// the worker serves; empty for none.
	EventBytes int
	EventTime  time.Duration
	Model      string
	Downtime   time.Duration

	rig  *Rig
	addr string

	mu       sync.Mutex
	lifetime int
	server   *http.Server
	running  int
	waiting  int
	slots    chan struct{}
	conns    map[net.Conn]bool
	received []Received
	crashes  []time.Time
	closed   atomic.Bool
}

// AddWorker starts a worker and registers it.
func (r *Rig) AddWorker(w *Worker) error {
	w.rig = r
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.addr = listener.Addr().String()
	w.open(listener)
	return r.Write(w.entry())
}

func (w *Worker) id() string { return fmt.Sprintf("i-%s-%d", w.Name, w.lifetime) }

func (w *Worker) entry() (quetzalpier.Write, error) {
	vm := quetzalpier.VM{ID: w.id(), Addr: w.addr, Domain: "zone-a", Kind: quetzalpier.KindPlain, Pool: w.Pool, Slots: w.Slots, State: quetzalpier.VMLive, Incarnation: time.Now().UnixMilli(), Software: "v1"}
	if w.Model != "" {
		vm.Kind, vm.Models = quetzalpier.KindEngine, map[string]quetzalpier.Version{w.Model: 1}
	}
	return platform.EncodeVM(vm)
}

func (w *Worker) open(listener net.Listener) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lifetime++
	w.running, w.waiting = 0, 0
	w.slots, w.conns = make(chan struct{}, w.Slots), map[net.Conn]bool{}
	lifetime := w.lifetime
	w.server = &http.Server{
		Handler: http.HandlerFunc(func(out http.ResponseWriter, req *http.Request) { w.serve(out, req, lifetime) }),
		ConnState: func(conn net.Conn, state http.ConnState) {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.lifetime != lifetime {
				return
			}
			if state == http.StateClosed {
				delete(w.conns, conn)
			} else {
				w.conns[conn] = true
			}
		},
	}
	server := w.server
	go func() { _ = server.Serve(listener) }()
}

// crash ends the worker as the end of its process does: the port is closed, and all channels are
// reset.
func (w *Worker) crash() {
	w.mu.Lock()
	server, conns, id := w.server, w.conns, w.id()
	w.conns = map[net.Conn]bool{}
	w.crashes = append(w.crashes, time.Now())
	w.mu.Unlock()
	for conn := range conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	_ = server.Close()
	time.AfterFunc(w.Downtime, func() {
		if w.closed.Load() {
			return
		}
		listener, err := net.Listen("tcp", w.addr)
		if err != nil {
			w.rig.Note("worker %s could not come back: %v", id, err)
			return
		}
		w.open(listener)
		_ = w.rig.Remove(platform.PrefixWorkers + id)
		_ = w.rig.Write(w.entry())
	})
}

func (w *Worker) serve(out http.ResponseWriter, req *http.Request, lifetime int) {
	w.mu.Lock()
	id, slots := w.id(), w.slots
	load := fmt.Sprintf("%d,%d,%d", w.running, w.waiting, w.Slots)
	full := w.waiting >= 4*w.Slots
	w.mu.Unlock()
	out.Header().Set(platform.HeaderWorker, id)
	out.Header().Set(platform.HeaderLoad, load)
	attempt := req.Header.Get(platform.HeaderAttempt)
	if attempt != "" {
		out.Header().Set(platform.HeaderAttempt, attempt)
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	switch expected := req.Header.Get(platform.HeaderExpectWorker); {
	case expected != "" && expected != id:
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	case req.URL.Path == "/healthz":
		return
	case req.URL.Path == platform.PathReport:
		_, _ = fmt.Fprintf(out, `{"stage":"both","models":[{"name":%q,"version":1,"adapters":[]}],"busy":false,"seq":0,"queued":0,"running":0}`, w.Model)
		return
	case attempt == "":
		out.Header().Set(platform.HeaderNotRun, "1")
		out.WriteHeader(http.StatusBadRequest)
		return
	case full:
		out.Header().Set(platform.HeaderNotRun, "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.count(&w.waiting, 1)
	slots <- struct{}{}
	w.count(&w.waiting, -1)
	w.count(&w.running, 1)
	defer func() {
		w.count(&w.running, -1)
		<-slots
	}()
	w.mu.Lock()
	w.received = append(w.received, Received{id, attempt, req.Method, req.RequestURI, string(body), time.Now()})
	stale := w.lifetime != lifetime
	w.mu.Unlock()
	if w.Deadly != "" && strings.Contains(req.RequestURI, w.Deadly) && !stale {
		w.crash()
		return
	}
	time.Sleep(w.WorkTime)
	out.Header().Set(platform.HeaderStamp, "stamp."+attempt)
	if w.Events > 0 {
		w.stream(out, attempt, req.Header.Get(platform.HeaderLastEventID))
		return
	}
	_, _ = fmt.Fprintf(out, "served %s", attempt)
}

// stream writes the events of a stream that follow the last one that the caller has.
func (w *Worker) stream(out http.ResponseWriter, attempt, last string) {
	after, _ := strconv.Atoi(last)
	out.Header().Set("Content-Type", "text/event-stream")
	out.Header().Set(platform.HeaderWeightVersion, "1")
	for event := after + 1; event <= w.Events; event++ {
		data := fmt.Sprintf("%s-%d", attempt, event)
		_, _ = fmt.Fprintf(out, "id: %d\ndata: %s%s\n\n", event, data, strings.Repeat(".", max(0, w.EventBytes-len(data))))
		out.(http.Flusher).Flush()
		time.Sleep(w.EventTime)
	}
}

func (w *Worker) count(n *int, change int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	*n += change
}

// Received returns the requests that the worker began to run.
func (w *Worker) Received() []Received {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Received{}, w.received...)
}

// Crashes returns when the worker crashed.
func (w *Worker) Crashes() []time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]time.Time{}, w.crashes...)
}

// Close stops the worker.
func (w *Worker) Close() {
	w.closed.Store(true)
	w.mu.Lock()
	server := w.server
	w.mu.Unlock()
	_ = server.Close()
}
