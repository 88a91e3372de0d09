package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"quetzalpier"
	"quetzalpier/platform"
	"quetzalpier/review/third/rig"
)

// The path of a request that crashes each worker that begins to run it contains deadly.
const deadly = "deadly"

const (
	workTime      = 60 * time.Millisecond
	crashDowntime = 2 * time.Second
	// crashPause is the time between two client attempts with a deadly request.
	crashPause = 3500 * time.Millisecond
	// busyClients send ordinary requests, one after the other.
	busyClients = 60
	deadlyTries = 9
)

// openDeadly starts a deployment with a route to six workers.
func openDeadly(record string, route quetzalpier.Route, fronts int) (*rig.Rig, []*rig.Worker, error) {
	r, err := rig.New(record)
	if err != nil {
		return nil, nil, err
	}
	route.Host, route.MaxAttempts, route.Targets = rig.Host, 2, []quetzalpier.Target{{Pool: "app", Weight: 1}}
	config := quetzalpier.Config{
		Number: 3, Pools: map[string]quetzalpier.Pool{"app": {Kind: quetzalpier.KindPlain, MaxConns: 100}}, InputLimits: inputLimits, Routes: []quetzalpier.Route{route},
	}
	var workers []*rig.Worker
	err = r.Write(platform.EncodeConfig(config))
	for i := 0; err == nil && i < 6; i++ {
		w := &rig.Worker{Name: fmt.Sprintf("app%d", i), Pool: "app", Slots: 6, WorkTime: workTime, Deadly: deadly, Downtime: crashDowntime}
		workers = append(workers, w)
		err = r.AddWorker(w)
	}
	for i := 0; err == nil && i < 3+fronts; i++ {
		class := "store"
		if i >= 3 {
			class = "front"
		}
		_, err = r.AddNode(class, fmt.Sprintf("zone-%c", 'a'+i%3))
	}
	if err == nil {
		err = r.WaitReady(15 * time.Second)
	}
	r.Settle()
	if err != nil {
		r.Close()
	}
	return r, workers, err
}

// viewRoute is the route of the requests that crash workers.
var viewRoute = quetzalpier.Route{Name: "view", Prefix: "/view/", Idempotent: true, Timeout: 1500 * time.Millisecond, LatencyObjective: 150 * time.Millisecond}

// playBusy sends a request again and again that crashes each worker that begins to run it, or an
// ordinary one, at a front at which many other clients send ordinary requests.
func playBusy(record string, trouble bool) (string, error) {
	r, workers, err := openDeadly(record, viewRoute, 3)
	if err != nil {
		return "", err
	}
	defer r.Close()
	front := r.Fronts[0]
	stopFill := fill(r, r.Fronts[:1], busyClients, 0)
	path := "/view/ordinary"
	if trouble {
		path = "/view/" + deadly
	}
	for i := range deadlyTries {
		sendAgain(r, front, path, i)
		time.Sleep(crashPause)
	}
	stopFill()
	return judgeDeadly(r, workers), nil
}

// playRestarts restarts the fronts in turn, while a request that crashes each worker that begins to
// run it comes again at each front.
func playRestarts(record string, trouble bool) (string, error) {
	r, workers, err := openDeadly(record, viewRoute, 6)
	if err != nil {
		return "", err
	}
	defer r.Close()
	stopFill := fill(r, r.Fronts, 1, 150*time.Millisecond)
	defer stopFill()
	sendAgain(r, r.Fronts[0], "/view/"+deadly, 0)
	time.Sleep(crashPause)
	for i, front := range r.Fronts {
		if trouble {
			r.Note("%s gets SIGTERM", front.Name)
			front.Stop()
			if err := front.Start(); err != nil {
				return "", err
			}
			r.Note("%s starts again", front.Name)
			if err := r.WaitReady(15 * time.Second); err != nil {
				return "", err
			}
			time.Sleep(rig.ContactTime + 500*time.Millisecond)
		}
		sendAgain(r, front, "/view/"+deadly, i+1)
		time.Sleep(crashPause)
	}
	return judgeDeadly(r, workers), nil
}

// fill has clients send ordinary requests at fronts, each with a pause after an answer, until stop
// is called.
func fill(r *rig.Rig, fronts []*rig.Node, clients int, pause time.Duration) (stop func()) {
	done := make(chan struct{})
	var senders sync.WaitGroup
	var served, failed atomic.Int64
	for i := range clients {
		senders.Add(1)
		go func() {
			defer senders.Done()
			client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{}}
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				case <-time.After(pause):
				}
				id := fmt.Sprintf("a%07x%08x", i, n)
				if status, _ := send(client, fronts[(i+n)%len(fronts)].Front, "/view/page"+id, id, "page"); status == http.StatusOK {
					served.Add(1)
				} else {
					failed.Add(1)
					time.Sleep(50 * time.Millisecond)
				}
			}
		}()
	}
	return func() {
		close(done)
		senders.Wait()
		r.Note("%d ordinary requests served, %d not", served.Load(), failed.Load())
	}
}

// sendAgain makes a client attempt with the same request.
func sendAgain(r *rig.Rig, front *rig.Node, path string, attempt int) {
	id := fmt.Sprintf("d%015x", attempt)
	r.Note("client sends %s with id %s to %s", path, id, front.Name)
	status, text := send(&http.Client{Timeout: 5 * time.Second}, front.Front, path, id, "the same body")
	r.Note("client gets %d for %s: %s", status, id, strings.ReplaceAll(text, "\n", " "))
}

// send sends a request over a new or kept channel and returns the status, or zero.
func send(client *http.Client, front, path, id, body string) (int, string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+front+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = rig.Host
	req.Header.Set(platform.HeaderAttempt, id)
	req.Header.Set(platform.HeaderDeadline, "1500")
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(data)
}

// judgeDeadly counts the client attempts with which the deadly request reached workers later than
// contactMs after it had crashed the third. All of them were sent by machines in touch.
func judgeDeadly(r *rig.Rig, workers []*rig.Worker) string {
	var runs []rig.Received
	for _, w := range workers {
		for _, run := range w.Received() {
			if strings.Contains(run.URI, deadly) {
				runs = append(runs, run)
			}
		}
	}
	var third time.Time
	reached := 0
	retries := map[string]bool{}
	for i, run := range sortedByTime(runs) {
		r.Note("worker %s began request %s at %8.3f and crashed", run.Worker, run.ID, r.Since(run.At))
		if i == 2 {
			third = run.At
		}
		if i > 2 && run.At.Sub(third) > rig.ContactTime {
			reached++
			retries[run.ID] = true
		}
	}
	r.Note("the request crashed %d workers; later than contactMs after the third crash it reached workers %d times, in %d client attempts", len(runs), reached, len(retries))
	if len(retries) > 3 {
		return fmt.Sprintf("BUDGET: a request that crashes workers reached workers in %d client attempts, %d times, later than contactMs after it had crashed the third", len(retries), reached)
	}
	return ""
}
