package stand

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
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
	// Software is the version of the worker's software.
	Software string
	// Models maps an engine's models to their weight versions. It is empty for a
	// plain service.
	Models map[string]quetzalpier.Version
	// EventInterval is the time between two events of a stream, or the response time
	// of a plain service. SwapDuration is the duration of a weight swap.
	EventInterval time.Duration
	SwapDuration  time.Duration
	// IgnoreFences makes an engine accept orders with an outdated fencing token.
	IgnoreFences bool
	// TagRuns makes the data of events and the stamps of answers differ between the
	// runs of one request, so that MadeAt tells when they were made.
	TagRuns bool
}

// Worker is the stand-in for an upstream on the users' platform: a model engine
// that streams events, or a plain service.
type Worker struct {
	*Server
	WorkerOptions

	mu     sync.Mutex
	models map[string]quetzalpier.Version
	orders uint64
	fence  uint64
	// loading is the model whose weights are being swapped.
	loading  string
	runs     []WorkerRun
	faults   WorkerFaults
	orderLog []receivedOrder
	// madeAt is when each tagged event was made, or the call with a tagged stamp
	// arrived.
	madeAt map[string]time.Time
	// cutStamps are the stamps of the answers that were cut.
	cutStamps map[string]bool
	// streaming is the number of streams in progress.
	streaming int
	// leavingAt is when the worker began to say that it is leaving; zero if it has not.
	// lateRuns are the requests that it received too late after that.
	leavingAt   time.Time
	lateRuns    []WorkerRun
	incarnation int64
	// limits are the limits that the worker has named, in order of time.
	limits []namedLimit
}

// namedLimit is a limit from a time on.
type namedLimit struct {
	quetzalpier.Limit
	at time.Time
}

// receivedOrder is an order whose fencing token was not outdated, recorded for
// OwnershipViolations.
type receivedOrder struct {
	holder    string
	fence     uint64
	arrivedAt time.Time
}

// OwnershipViolations returns the violations of the rule that only one holder at a
// time sends orders to the engine: two holders with the same fencing token, or an
// order of one holder that arrives less than within after one of another holder.
func (w *Worker) OwnershipViolations(within time.Duration) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var violations []string
	for i, order := range w.orderLog {
		for _, earlier := range w.orderLog[:i] {
			if earlier.holder == order.holder {
				continue
			}
			if earlier.fence == order.fence {
				violations = append(violations, fmt.Sprintf("%s: %s and %s ordered with fence %d", w.ID, earlier.holder, order.holder, order.fence))
			}
			if order.arrivedAt.Sub(earlier.arrivedAt) < within {
				violations = append(violations, fmt.Sprintf("%s: %s ordered %s after %s", w.ID, order.holder, order.arrivedAt.Sub(earlier.arrivedAt), earlier.holder))
			}
		}
	}
	return violations
}

// silentStreamDuration is the time that a silent stream stays open.
const silentStreamDuration = 5 * time.Second

// WorkerRun is a request that the worker has received.
type WorkerRun struct {
	ID string
	// LastEvent is the event after which the run resumes; zero for a new run.
	LastEvent int
	StartedAt time.Time
	// Request is what was received; its body is not whole if Partial is set.
	Request Request
	Partial bool
	// Left is the time until the deadline that the request was sent with; zero for none.
	Left time.Duration
}

// WorkerFaults are the faults injected into a worker.
type WorkerFaults struct {
	// CutAtEvent makes streams break off in the middle of this event, and resets all
	// connections of the worker.
	CutAtEvent int
	// Status is the response status of the next StatusCount requests.
	Status      int
	StatusCount int
	// SilentAfterEvent makes streams send nothing after this event; they end without
	// the remaining ones.
	SilentAfterEvent int
	// Answers break the answers.
	Answers AnswerFaults
	// Endless is sent in place of all answers but reports and those to orders; the zero value
	// leaves them.
	Endless EndlessAnswer
	// LargePrefix is the prefix of the paths to which a plain service answers with LargeBytes
	// bytes; empty for none.
	LargePrefix string
	LargeBytes  int
}

// NewWorker starts a worker on addr.
func NewWorker(addr string, options WorkerOptions) (*Worker, error) {
	w := &Worker{WorkerOptions: options, models: map[string]quetzalpier.Version{}, madeAt: map[string]time.Time{}, cutStamps: map[string]bool{}}
	for model, version := range options.Models {
		w.models[model] = version
	}
	server, err := Serve(addr, 0, w.handle, func(s *fasthttp.Server) { s.StreamRequestBody = true })
	if err != nil {
		return nil, err
	}
	w.Server = server
	return w, nil
}

// VM returns the worker's entry in the platform's list of VMs.
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
		ID: w.ID, Addr: w.Addr, Domain: w.Domain, Kind: kind, Pool: w.Pool, State: quetzalpier.VMLive, Slots: w.Slots, Models: models, Incarnation: 1 + w.incarnation, Software: w.Software,
	}
}

// SetFaults replaces the injected faults.
func (w *Worker) SetFaults(f WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

// SetLimit sets the limit that the worker names in its answers from now on.
func (w *Worker) SetLimit(limit quetzalpier.Limit) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limits = append(w.limits, namedLimit{limit, time.Now()})
}

// SayLeaving makes the worker say in all its answers that it is leaving.
func (w *Worker) SayLeaving() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leavingAt = time.Now()
}

// Leaving reports whether the worker says that it is leaving.
func (w *Worker) Leaving() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.leavingAt.IsZero()
}

// Restricted reports whether the worker says that it is leaving, or names a limit.
func (w *Worker) Restricted() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.leavingAt.IsZero() || w.limit().Named
}

// Restart makes the worker a new incarnation, which is not leaving.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leavingAt = time.Time{}
	w.incarnation++
}

// drainTime is how long a worker still accepts requests after it said that it is leaving.
const drainTime = 2 * time.Second

// LateRuns returns the requests that arrived later than drainTime after the worker had
// said that it is leaving.
func (w *Worker) LateRuns() []WorkerRun {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]WorkerRun(nil), w.lateRuns...)
}

// limit returns the limit that the worker names now. The caller holds the lock.
func (w *Worker) limit() quetzalpier.Limit {
	if len(w.limits) == 0 {
		return quetzalpier.Limit{}
	}
	return w.limits[len(w.limits)-1].Limit
}

const (
	// limitWindow is the time over which requests are compared with the limit.
	// limitFactor and limitBurst are what may exceed it there.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitBurst  = 5
)

// LimitViolations returns the spans of limitWindow in which more requests arrived than
// the limit allows. They begin no earlier than settle after the first limit was named,
// and excused leaves out those that may hold requests which need not keep it.
func (w *Worker) LimitViolations(settle time.Duration, excused func(from, to time.Time) bool) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var violations []string
	for i, limit := range w.limits {
		if !limit.Named {
			continue
		}
		first, end := limit.at.Add(settle), time.Now()
		if i > 0 && w.limits[i-1].Named {
			first = limit.at
		}
		if i+1 < len(w.limits) {
			end = w.limits[i+1].at
		}
		allowed := int(limitFactor*limit.PerSecond*limitWindow.Seconds()) + limitBurst
		for j, run := range w.runs {
			from, to := run.StartedAt, run.StartedAt.Add(limitWindow)
			if from.Before(first) || to.After(end) || excused(from, to) {
				continue
			}
			count := 0
			for _, later := range w.runs[j:] {
				if later.StartedAt.Before(to) {
					count++
				}
			}
			if count > allowed {
				violations = append(violations, fmt.Sprintf("%s with a limit of %g a second got %d requests in %s, at most %d are allowed", w.ID, limit.PerSecond, count, limitWindow, allowed))
				break
			}
		}
	}
	return violations
}

// Runs returns the requests that the worker has received.
func (w *Worker) Runs() []WorkerRun {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]WorkerRun(nil), w.runs...)
}

// MadeAt returns when the worker made the tagged event with this data, or received the
// call that it gave this stamp.
func (w *Worker) MadeAt(dataOrStamp string) (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	at, ok := w.madeAt[dataOrStamp]
	return at, ok
}

func (w *Worker) recordMade(dataOrStamp string, at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.TagRuns {
		w.madeAt[dataOrStamp] = at
	}
}

// Streaming returns the number of streams in progress.
func (w *Worker) Streaming() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.streaming
}

func (w *Worker) addStreaming(delta int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.streaming += delta
}

// Version returns the model's weight version and the number of orders accepted for
// all models.
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
	w.setNotice(&c.Response.Header)
	switch string(c.Path()) {
	case platform.PathReport:
		w.handleReport(c)
	case platform.PathOrder:
		w.handleOrder(c)
	default:
		w.handleRequest(c)
	}
}

// setNotice says in an answer what the worker says of itself.
func (w *Worker) setNotice(header *fasthttp.ResponseHeader) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if limit := w.limit(); limit.Named {
		header.Set(platform.HeaderLimit, strconv.FormatFloat(limit.PerSecond, 'f', -1, 64))
	}
	if !w.leavingAt.IsZero() {
		header.Set(platform.HeaderLeaving, "1")
	}
}

func (w *Worker) handleReport(c *fasthttp.RequestCtx) {
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

func (w *Worker) handleOrder(c *fasthttp.RequestCtx) {
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
	if order.Fence >= w.fence || w.IgnoreFences {
		w.orderLog = append(w.orderLog, receivedOrder{order.Holder, order.Fence, time.Now()})
	}
	switch {
	case order.Fence < w.fence && !w.IgnoreFences:
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
		time.AfterFunc(w.SwapDuration, func() { w.finishSwap(order.Model, order.Version) })
	}
}

func (w *Worker) finishSwap(model string, version quetzalpier.Version) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.models[model] = version
	w.loading = ""
}

func (w *Worker) handleRequest(c *fasthttp.RequestCtx) {
	id := string(c.Request.Header.Peek(platform.HeaderAttempt))
	lastEvent, _ := strconv.Atoi(string(c.Request.Header.Peek(platform.HeaderLastEventID)))
	c.Response.Header.Set(platform.HeaderAttempt, id)
	w.mu.Lock()
	faults := w.faults
	if faults.StatusCount > 0 {
		w.faults.StatusCount--
	}
	w.mu.Unlock()
	model := string(c.Request.Header.Peek(platform.HeaderModel))
	startedAt := time.Now()
	run := WorkerRun{ID: id, LastEvent: lastEvent, StartedAt: startedAt}
	if ms, err := strconv.ParseInt(string(c.Request.Header.Peek(platform.HeaderDeadline)), 10, 64); err == nil {
		run.Left = time.Duration(ms) * time.Millisecond
	}
	if faults.Answers.Kind == AnswerEarly && model == "" && c.RequestBodyStream() != nil {
		w.answerEarly(c, run)
		return
	}
	body, err := readBody(c)
	if err != nil {
		_ = c.Conn().Close()
		return
	}
	run.Request = receivedRequest(c, body)
	_, tag := w.recordRun(run)
	if faults.Endless.Kind != "" {
		w.answerEndless(c, faults.Endless, run)
		return
	}
	if faults.StatusCount > 0 {
		c.SetStatusCode(faults.Status)
		return
	}
	if status := faults.Answers.ResumeStatus; status != 0 && lastEvent > 0 && strings.HasPrefix(run.Request.URI, faults.Answers.ResumePrefix) {
		c.SetStatusCode(status)
		c.SetBodyString("the stream can't be resumed")
		return
	}
	stamp := tag + "." + id
	w.recordMade(stamp, startedAt)
	c.Response.Header.Set(platform.HeaderStamp, stamp)
	if model == "" {
		time.Sleep(w.EventInterval)
		if faults.LargePrefix != "" && strings.HasPrefix(run.Request.URI, faults.LargePrefix) {
			c.SetBody(make([]byte, faults.LargeBytes))
			return
		}
		if !w.answerBroken(c, faults.Answers, "served "+id) {
			c.SetBodyString("served " + id)
		}
		return
	}
	first, _, _ := strings.Cut(body, " ")
	length, _ := strconv.Atoi(first)
	version, _ := w.Version(model)
	if lastEvent < length {
		c.Response.Header.Set(platform.HeaderWeightVersion, strconv.FormatUint(uint64(version), 10))
	}
	c.SetContentType("text/event-stream")
	if !w.TagRuns {
		tag = ""
	}
	for event := lastEvent + 1; faults.Answers.Kind != "" && event <= length; event++ {
		w.recordMade(eventData(id, tag, event), startedAt)
	}
	if w.answerBroken(c, faults.Answers, eventsText(id, tag, lastEvent+1, length)) {
		return
	}
	c.SetBodyStreamWriter(func(out *bufio.Writer) { w.writeStream(out, id, tag, model, lastEvent, length, faults) })
}

// readBody reads the rest of a request's body.
func readBody(c *fasthttp.RequestCtx) (string, error) {
	if c.RequestBodyStream() == nil {
		return string(c.Request.Body()), nil
	}
	body, err := io.ReadAll(c.RequestBodyStream())
	return string(body), err
}

// recordRun records a request, and returns the index and the tag of its run.
func (w *Worker) recordRun(run WorkerRun) (index int, tag string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs = append(w.runs, run)
	if !w.leavingAt.IsZero() && run.StartedAt.Sub(w.leavingAt) > drainTime {
		w.lateRuns = append(w.lateRuns, run)
	}
	if w.TagRuns {
		return len(w.runs) - 1, fmt.Sprintf("%s.%d", w.ID, len(w.runs))
	}
	return len(w.runs) - 1, w.ID
}

// eventData returns the data of an event; the tag is empty if runs are not tagged.
func eventData(id, tag string, event int) string {
	data := fmt.Sprintf("%s-%d", id, event)
	if tag != "" {
		data += "." + tag
	}
	return data
}

// writeStream writes the events lastEvent+1 to length.
func (w *Worker) writeStream(out *bufio.Writer, id, tag, model string, lastEvent, length int, faults WorkerFaults) {
	w.addStreaming(1)
	defer w.addStreaming(-1)
	current, _ := w.Version(model)
	for event := lastEvent + 1; event <= length; event++ {
		time.Sleep(w.EventInterval)
		if version, _ := w.Version(model); version != current {
			current = version
			_, _ = fmt.Fprint(out, platform.VersionLine(version))
		}
		if faults.SilentAfterEvent > 0 && event > faults.SilentAfterEvent {
			time.Sleep(silentStreamDuration)
			return
		}
		if event == faults.CutAtEvent {
			_, _ = fmt.Fprintf(out, "id: %d\ndata: half", event)
			_ = out.Flush()
			w.FaultListener.CloseConns()
			return
		}
		data := eventData(id, tag, event)
		w.recordMade(data, time.Now())
		_, _ = fmt.Fprintf(out, "id: %d\ndata: %s\n\n", event, data)
		if out.Flush() != nil {
			return
		}
	}
}
