package kit

import (
	"bufio"
	"encoding/json"
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

// reportInterval is heartbeatMs of the small deployments.
const reportInterval = 1200 * time.Millisecond

// Request is a request that a worker has read.
type Request struct {
	*http.Request
	ID   string
	Data []byte
	Conn net.Conn
}

// Run answers a request on its channel. It returns false if the channel is to be closed.
type Run func(w *Worker, r *Request) bool

// Order is an order that a worker got.
type Order struct {
	Worker, Holder string
	Fence          uint64
	Version        quetzalpier.Version
	At             time.Time
	Status         int
}

// Worker is a stand-in of a worker.
type Worker struct {
	quetzalpier.VM
	// Load is how long a change of version takes.
	Load time.Duration

	d        *Deployment
	listener net.Listener
	run      Run
	closed   atomic.Bool

	mu     sync.Mutex
	conns  map[net.Conn]bool
	models map[string]quetzalpier.Version
	seq    uint64
	fence  uint64
	busy   bool
	down   bool
	orders []Order
}

// AddWorker starts a worker and lists it in the store. It has models if it is an engine.
func (d *Deployment) AddWorker(id, pool string, models map[string]quetzalpier.Version, run Run) (*Worker, error) {
	listener, err := FreePort()
	if err != nil {
		return nil, err
	}
	kind := quetzalpier.KindPlain
	if models != nil {
		kind = quetzalpier.KindEngine
	}
	w := &Worker{
		VM: quetzalpier.VM{
			ID: id, Addr: listener.Addr().String(), Domain: "zone-0", Kind: kind, Pool: pool, State: quetzalpier.VMLive, Slots: 8,
			Models: models, Incarnation: time.Now().UnixMilli(), Software: "v1",
		},
		Load: 900 * time.Millisecond, d: d, listener: listener, run: run, conns: map[net.Conn]bool{}, models: map[string]quetzalpier.Version{},
	}
	for model, version := range models {
		w.models[model] = version
	}
	d.workers = append(d.workers, w)
	write, err := platform.EncodeVM(w.VM)
	if err != nil {
		return nil, err
	}
	go w.accept(listener)
	go w.sendReports()
	return w, d.Store.Write(write)
}

// sendReports writes the worker's entry once in a while, as long as it runs.
func (w *Worker) sendReports() {
	for !w.closed.Load() {
		time.Sleep(reportInterval)
		w.mu.Lock()
		write, err := platform.EncodeVM(w.VM)
		if err == nil && !w.down && !w.closed.Load() {
			err = w.d.Store.Write(write)
		}
		w.mu.Unlock()
		if err != nil {
			w.d.Printf("worker %s: its entry could not be written: %v", w.ID, err)
		}
	}
}

// Close ends the worker.
func (w *Worker) Close() {
	w.closed.Store(true)
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.listener.Close()
	for conn := range w.conns {
		_ = conn.Close()
	}
}

// Orders returns the orders that the worker got.
func (w *Worker) Orders() []Order {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Order(nil), w.orders...)
}

// Version returns the version of a model.
func (w *Worker) Version(model string) quetzalpier.Version {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.models[model]
}

// Drain writes to the store that the worker is draining, and returns when that was accepted.
func (w *Worker) Drain() (time.Time, error) {
	w.mu.Lock()
	w.VM.State = quetzalpier.VMLeaving
	write, err := platform.EncodeVM(w.VM)
	w.mu.Unlock()
	if err == nil {
		err = w.d.Store.Write(write)
	}
	w.d.Printf("worker %s: reports draining %v", w.ID, err)
	return time.Now(), err
}

// Crash ends the worker's process: its channels break and its port is closed. It is back
// after a while, with the same ID and address.
func (w *Worker) Crash(down time.Duration) {
	w.mu.Lock()
	if w.down {
		w.mu.Unlock()
		return
	}
	w.down = true
	_ = w.listener.Close()
	for conn := range w.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	w.mu.Unlock()
	time.AfterFunc(down, func() {
		listener, err := net.Listen("tcp", w.Addr)
		w.mu.Lock()
		defer w.mu.Unlock()
		if err != nil || w.closed.Load() {
			return
		}
		w.down, w.listener, w.VM.Incarnation = false, listener, time.Now().UnixMilli()
		write, err := platform.EncodeVM(w.VM)
		if err == nil {
			err = w.d.Store.Write(write)
		}
		w.d.Printf("worker %s is back %v", w.ID, err)
		go w.accept(listener)
	})
}

func (w *Worker) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.conns[conn] = true
		w.mu.Unlock()
		go w.serve(conn)
	}
}

func (w *Worker) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		w.mu.Lock()
		delete(w.conns, conn)
		w.mu.Unlock()
	}()
	reader := bufio.NewReaderSize(conn, 64<<10)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		data, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		r := &Request{Request: req, ID: req.Header.Get(platform.HeaderAttempt), Data: data, Conn: conn}
		if !w.answer(r) {
			return
		}
	}
}

func (w *Worker) answer(r *Request) bool {
	if expect := r.Header.Get(platform.HeaderExpectWorker); expect != "" && expect != w.ID {
		return w.Reply(r, http.StatusMisdirectedRequest, "", nil)
	}
	switch {
	case r.URL.Path == platform.PathReport:
		return w.report(r)
	case r.URL.Path == platform.PathOrder:
		return w.order(r)
	}
	return w.run(w, r)
}

// Head returns the head of an answer, without what tells its length and its empty line.
func (w *Worker) Head(r *Request, status int, stamp string) string {
	var head strings.Builder
	_, _ = fmt.Fprintf(&head, "HTTP/1.1 %d %s\r\n%s: %s\r\n", status, http.StatusText(status), platform.HeaderWorker, w.ID)
	if r.ID != "" {
		_, _ = fmt.Fprintf(&head, "%s: %s\r\n", platform.HeaderAttempt, r.ID)
	}
	if stamp != "" {
		_, _ = fmt.Fprintf(&head, "%s: %s\r\n", platform.HeaderStamp, stamp)
	}
	return head.String()
}

// Reply sends a whole answer.
func (w *Worker) Reply(r *Request, status int, stamp string, body []byte) bool {
	_, err := fmt.Fprintf(r.Conn, "%sContent-Length: %d\r\n\r\n%s", w.Head(r, status, stamp), len(body), body)
	return err == nil
}

// Stream sends a stream of events, each after an interval.
func (w *Worker) Stream(r *Request, stamp, model string, from, to int, interval time.Duration, data func(event int) string) bool {
	version := w.Version(model)
	head := w.Head(r, http.StatusOK, stamp) + platform.HeaderWeightVersion + ": " + strconv.FormatUint(uint64(version), 10) + "\r\n"
	if _, err := fmt.Fprintf(r.Conn, "%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", head); err != nil {
		return false
	}
	for event := from; event <= to; event++ {
		time.Sleep(interval)
		text := ""
		if now := w.Version(model); now != version {
			version = now
			text = platform.VersionLine(version)
		}
		text += fmt.Sprintf("id: %d\ndata: %s\n\n", event, data(event))
		if _, err := fmt.Fprintf(r.Conn, "%x\r\n%s\r\n", len(text), text); err != nil {
			return false
		}
	}
	_, err := io.WriteString(r.Conn, "0\r\n\r\n")
	return err == nil
}

func (w *Worker) report(r *Request) bool {
	w.mu.Lock()
	body, err := json.Marshal(map[string]any{"stage": "both", "busy": w.busy, "seq": w.seq, "models": platform.EncodeModels(w.models)})
	w.mu.Unlock()
	return err == nil && w.Reply(r, http.StatusOK, "", body)
}

func (w *Worker) order(r *Request) bool {
	order := struct {
		Model    string              `json:"model"`
		Version  quetzalpier.Version `json:"version"`
		Holder   string              `json:"holder"`
		Fence    uint64              `json:"fence"`
		Expected *uint64             `json:"expected"`
	}{}
	if err := json.Unmarshal(r.Data, &order); err != nil {
		return w.Reply(r, http.StatusBadRequest, "", nil)
	}
	w.mu.Lock()
	status := http.StatusOK
	switch {
	case w.d.options.Fenced && order.Fence < w.fence:
		status = http.StatusPreconditionFailed
	case w.busy || order.Expected != nil && *order.Expected != w.seq:
		status = http.StatusConflict
	case w.models[order.Model] != order.Version:
		status = http.StatusAccepted
		w.seq++
		w.busy = true
		time.AfterFunc(w.Load, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.models[order.Model], w.busy = order.Version, false
		})
	}
	w.fence = max(w.fence, order.Fence)
	w.orders = append(w.orders, Order{w.ID, order.Holder, order.Fence, order.Version, time.Now(), status})
	w.mu.Unlock()
	w.d.Printf("worker %s: order of %s, generation number %d, version %d: %d", w.ID, order.Holder, order.Fence, order.Version, status)
	return w.Reply(r, status, "", nil)
}
