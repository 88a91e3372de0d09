package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"time"

	"quetzalpier"
	"quetzalpier/platform"
)

const (
	streamPrefix = "/stream/"
	viewPrefix   = "/view/"
	crashTime    = 30 * time.Second
	contactTime  = 3 * time.Second
	appWork      = 25 * time.Millisecond
	// retryPause is the time between two tries of the request that crashes workers.
	retryPause = time.Second
	// maxRetries is how many tries may reach workers later than contactTime after the third crash.
	maxRetries = 3
	maxCrashes = 3
)

// playCrash sends a request for a stream that crashes each worker that runs it again and again.
func playCrash(r *rig, trouble bool) (broken []string, err error) {
	r.config.Pools = map[string]quetzalpier.Pool{"app": {Kind: quetzalpier.KindPlain}}
	service := &app{rig: r, crashes: trouble}
	for i := range 5 {
		if err := service.addWorker(fmt.Sprintf("i-app-%d", i), appWork); err != nil {
			return nil, err
		}
	}
	targets := []quetzalpier.Target{{Pool: "app", Weight: 1}}
	if err := r.configure(
		quetzalpier.Route{Name: "stream", Host: host, Prefix: streamPrefix, Stream: true, MaxAttempts: 3, Timeout: 10 * time.Second, LatencyObjective: 400 * time.Millisecond, Targets: targets},
		quetzalpier.Route{Name: "view", Host: host, Prefix: viewPrefix, Idempotent: true, MaxAttempts: 4, Timeout: 1500 * time.Millisecond, LatencyObjective: 150 * time.Millisecond, Targets: targets},
	); err != nil {
		return nil, err
	}
	fronts, _, err := r.addNodes("hall-a", "hall-b", "hall-c")
	if err != nil {
		return nil, err
	}
	time.Sleep(5 * time.Second)
	// KIND=idempotent sends the request on an idempotent route, to show that it is found out there.
	path := streamPrefix + crashWord
	if os.Getenv("KIND") == "idempotent" {
		path = viewPrefix + crashWord
	}
	headers := map[string]string{platform.HeaderDeadline: "1500"}
	for n, end := 0, time.Now().Add(crashTime); time.Now().Before(end); n++ {
		id := crashWord + "-" + strconv.Itoa(n)
		front := fronts[n%len(fronts)]
		got := call(http.MethodPost, front.Front, path, id, headers, []byte(crashWord))
		r.note("%s at %s: status %d, %d bytes, error %v", id, front.Name, got.Status, len(got.Body), got.Err)
		time.Sleep(retryPause)
	}
	return service.checkRetries(), nil
}

// checkRetries counts the tries that reached workers later than contactTime after the third crash.
func (a *app) checkRetries() (broken []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rig.note("%d requests reached workers, of which %d crashed one", len(a.arrivals), len(a.crashedAt))
	if len(a.crashedAt) < maxCrashes {
		return nil
	}
	third := a.crashedAt[maxCrashes-1]
	late := map[string]bool{}
	for _, got := range a.arrivals {
		if got.at.After(third.Add(contactTime)) {
			late[got.id] = true
		}
	}
	a.rig.note("third crash at %.3f; %d tries reached workers later than %s after it", third.Sub(a.rig.startedAt).Seconds(), len(late), contactTime)
	if len(late) > maxRetries {
		broken = append(broken, fmt.Sprintf("BUDGET: a request that had crashed three workers reached workers in %d more retries, and crashed %d in all", len(late), len(a.crashedAt)))
	}
	return broken
}
