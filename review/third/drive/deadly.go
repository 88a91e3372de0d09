package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"quetzalpier"
	"quetzalpier/platform"
	"quetzalpier/review/third/rig"
)

// The path of a request that crashes each worker that begins to run it contains deadly.
const deadly = "deadly"

const (
	crashDowntime = 2 * time.Second
	// crashPause is the time between two client attempts with a deadly request.
	crashPause = 3500 * time.Millisecond
)

// inputLimits are the limits of clients in the configuration.
var inputLimits = quetzalpier.Input{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 32 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

// openDeadly starts a deployment with a route to six workers.
func openDeadly(record string, route quetzalpier.Route, events int) (*rig.Rig, []*rig.Worker, error) {
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
		w := &rig.Worker{Name: fmt.Sprintf("app%d", i), Pool: "app", Slots: 6, WorkTime: 25 * time.Millisecond, Deadly: deadly, Downtime: crashDowntime, Events: events, EventTime: 20 * time.Millisecond}
		workers = append(workers, w)
		err = r.AddWorker(w)
	}
	for i := 0; err == nil && i < 6; i++ {
		class := "store"
		if i >= 3 {
			class = "front"
		}
		_, err = r.AddNode(class, fmt.Sprintf("zone-%c", 'a'+i%3))
	}
	if err == nil {
		err = r.WaitReady(15 * time.Second)
	}
	time.Sleep(rig.ContactTime + time.Second)
	if err != nil {
		r.Close()
	}
	return r, workers, err
}

// playStreams sends a stream's request again and again that crashes each worker that begins to run
// it, or an ordinary one.
func playStreams(record string, trouble bool) (string, error) {
	route := quetzalpier.Route{Name: "chat", Prefix: "/chat/", Stream: true, CanResume: true, Timeout: 10 * time.Second, LatencyObjective: 400 * time.Millisecond}
	r, workers, err := openDeadly(record, route, 5)
	if err != nil {
		return "", err
	}
	defer r.Close()
	path := "/chat/ordinary"
	if trouble {
		path = "/chat/" + deadly
	}
	for i := range 9 {
		sendAgain(r, r.Fronts[i%len(r.Fronts)], path, i)
		time.Sleep(crashPause)
	}
	return judgeDeadly(r, workers), nil
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
