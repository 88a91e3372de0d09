package stand

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"quetzalpier"
	"quetzalpier/platform"
)

// WorkerOptions configure a Worker.
type WorkerOptions struct {
	ID     string
	Pool   string
	Domain string
	Slots  int
	// Models are the weight versions of an engine; none for a plain service.
	Models map[string]quetzalpier.Version
	// Pace is the time of one event, and Load that of a change of version.
	Pace time.Duration
	Load time.Duration
}

// Worker is the stand-in for an upstream on the users' platform: a model engine
// that streams events, or a plain service.
type Worker struct {
	*Server
	WorkerOptions

	mu      sync.Mutex
	models  map[string]quetzalpier.Version
	orders  uint64
	fence   uint64
	loading string
	runs    []WorkerRun
	faults  WorkerFaults
	given   []givenOrder
	// streaming counts the streams under way.
	streaming int
}

// givenOrder is an order as it arrived.
type givenOrder struct {
	holder string
	fence  uint64
	at     time.Time
}

// Turns returns what speaks against one holder of the engine at a time: two
// holders with one fencing token, or holders that take turns within the time.
func (w *Worker) Turns(within time.Duration) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var faults []string
	for i, order := range w.given {
		for _, earlier := range w.given[:i] {
			if earlier.holder == order.holder {
				continue
			}
			if earlier.fence == order.fence {
				faults = append(faults, fmt.Sprintf("%s: %s and %s ordered with fence %d", w.ID, earlier.holder, order.holder, order.fence))
			}
			if order.at.Sub(earlier.at) < within {
				faults = append(faults, fmt.Sprintf("%s: %s ordered %s after %s", w.ID, order.holder, order.at.Sub(earlier.at), earlier.holder))
			}
		}
	}
	return faults
}

// silence is how long a silent stream stays open.
const silence = 5 * time.Second

// WorkerRun is one request that the worker began.
type WorkerRun struct {
	ID string
	// Last is the event after which the run was asked to go on.
	Last int
	At   time.Time
}

// WorkerFaults are the worker's switches.
type WorkerFaults struct {
	// Cut breaks the next streams off in the middle of this event.
	Cut int
	// Status answers this many requests with a failure of the worker's own.
	Status int
	Times  int
	// Silent makes streams stop without an end after this event.
	Silent int
}

// NewWorker starts a worker on addr.
func NewWorker(addr string, options WorkerOptions) (*Worker, error) {
	w := &Worker{WorkerOptions: options, models: map[string]quetzalpier.Version{}}
	for model, version := range options.Models {
		w.models[model] = version
	}
	server, err := Serve(addr, 0, w.handle)
	if err != nil {
		return nil, err
	}
	w.Server = server
	return w, nil
}

// VM is the worker as the platform lists it.
func (w *Worker) VM() quetzalpier.VM {
	w.mu.Lock()
	defer w.mu.Unlock()
	kind := quetzalpier.KindPlain
	models := map[string]quetzalpier.Version{}
	for model, version := range w.models {
		kind = quetzalpier.KindEngine
		models[model] = version
	}
	return quetzalpier.VM{
		ID: w.ID, Addr: w.Addr, Domain: w.Domain, Kind: kind, Pool: w.Pool, State: quetzalpier.VMLive, Slots: w.Slots, Models: models, Incarnation: 1,
	}
}

// SetFaults sets the switches.
func (w *Worker) SetFaults(f WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

// Runs returns the requests that the worker began.
func (w *Worker) Runs() []WorkerRun {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]WorkerRun(nil), w.runs...)
}

// Streaming counts the streams that are under way.
func (w *Worker) Streaming() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.streaming
}

func (w *Worker) count(streams int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.streaming += streams
}

// Version is the model's present version, and Orders the orders accepted.
func (w *Worker) Version(model string) (version quetzalpier.Version, orders uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.models[model], w.orders
}

func (w *Worker) handle(c *fasthttp.RequestCtx) {
	c.Response.Header.Set(platform.HeaderWorker, w.ID)
	if expect := string(c.Request.Header.Peek(platform.HeaderExpectWorker)); expect != "" && expect != w.ID {
		c.SetStatusCode(http.StatusMisdirectedRequest)
		return
	}
	switch string(c.Path()) {
	case platform.PathReport:
		w.report(c)
	case platform.PathOrder:
		w.order(c)
	default:
		w.serve(c)
	}
}

func (w *Worker) report(c *fasthttp.RequestCtx) {
	w.mu.Lock()
	defer w.mu.Unlock()
	body := map[string]any{"stage": "both", "busy": w.loading != "", "seq": w.orders, "models": platform.EncodeModels(w.models)}
	data, err := json.Marshal(body)
	if err != nil {
		c.Error(err.Error(), http.StatusInternalServerError)
		return
	}
	c.SetBody(data)
}

func (w *Worker) order(c *fasthttp.RequestCtx) {
	order := struct {
		Model    string              `json:"model"`
		Version  quetzalpier.Version `json:"version"`
		Holder   string              `json:"holder"`
		Fence    uint64              `json:"fence"`
		Expected *uint64             `json:"expected"`
	}{}
	if err := json.Unmarshal(c.PostBody(), &order); err != nil {
		c.Error(err.Error(), http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if order.Fence >= w.fence {
		w.given = append(w.given, givenOrder{order.Holder, order.Fence, time.Now()})
	}
	switch {
	case order.Fence < w.fence:
		c.SetStatusCode(http.StatusPreconditionFailed)
	case w.loading != "" || (order.Expected != nil && *order.Expected != w.orders):
		c.SetStatusCode(http.StatusConflict)
	case w.models[order.Model] == order.Version:
		w.fence = order.Fence
	default:
		w.fence = order.Fence
		w.orders++
		w.loading = order.Model
		c.SetStatusCode(http.StatusAccepted)
		time.AfterFunc(w.Load, func() { w.loaded(order.Model, order.Version) })
	}
}

func (w *Worker) loaded(model string, version quetzalpier.Version) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.models[model] = version
	w.loading = ""
}

func (w *Worker) serve(c *fasthttp.RequestCtx) {
	id := string(c.Request.Header.Peek(platform.HeaderAttempt))
	last, _ := strconv.Atoi(string(c.Request.Header.Peek(platform.HeaderLastEventID)))
	c.Response.Header.Set(platform.HeaderAttempt, id)
	w.mu.Lock()
	faults := w.faults
	if faults.Times > 0 {
		w.faults.Times--
	}
	w.runs = append(w.runs, WorkerRun{ID: id, Last: last, At: time.Now()})
	w.mu.Unlock()
	if faults.Times > 0 {
		c.SetStatusCode(faults.Status)
		return
	}
	c.Response.Header.Set(platform.HeaderStamp, w.ID+"."+id)
	model := string(c.Request.Header.Peek(platform.HeaderModel))
	if model == "" {
		time.Sleep(w.Pace)
		c.SetBodyString("served " + id)
		return
	}
	length, _ := strconv.Atoi(string(c.Request.Body()))
	version, _ := w.Version(model)
	if last < length {
		c.Response.Header.Set(platform.HeaderWeightVersion, strconv.FormatUint(uint64(version), 10))
	}
	c.SetContentType("text/event-stream")
	c.SetBodyStreamWriter(func(out *bufio.Writer) { w.stream(out, id, model, last, length, faults) })
}

// stream writes events last+1 to length.
func (w *Worker) stream(out *bufio.Writer, id, model string, last, length int, faults WorkerFaults) {
	w.count(1)
	defer w.count(-1)
	before, _ := w.Version(model)
	for event := last + 1; event <= length; event++ {
		time.Sleep(w.Pace)
		if version, _ := w.Version(model); version != before {
			before = version
			_, _ = fmt.Fprint(out, platform.VersionLine(version))
		}
		if faults.Silent > 0 && event > faults.Silent {
			time.Sleep(silence)
			return
		}
		if event == faults.Cut {
			_, _ = fmt.Fprintf(out, "id: %d\ndata: half", event)
			_ = out.Flush()
			w.Faults.Cut()
			return
		}
		_, _ = fmt.Fprintf(out, "id: %d\ndata: %s-%d\n\n", event, id, event)
		if out.Flush() != nil {
			return
		}
	}
}
