package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"quetzalpier"
	"quetzalpier/platform"
	"quetzalpier/review/third/rig"
)

const (
	// streams is the number of streams that break off, each of streamEvents events.
	streams         = 24
	streamEvents    = 60
	streamEventTime = 50 * time.Millisecond
	// streamDeadline is the time that a client has for all its attempts.
	streamDeadline = 12 * time.Second
	// brokenAfter is when the streams break off, and noPower how long the machines are away then.
	brokenAfter = time.Second
	noPower     = 800 * time.Millisecond
	retryPause  = 2500 * time.Millisecond
)

// tally counts streams that clients take up again, or begin, at machines in touch.
type tally struct {
	mu            sync.Mutex
	taken, wentOn int
	begun, served int
}

// playResume has clients take up streams again that broke off as all machines lost power, or that
// they have left themselves.
func playResume(record string, trouble bool) (string, error) {
	r, err := rig.New(record)
	if err != nil {
		return "", err
	}
	defer r.Close()
	route := quetzalpier.Route{Name: "chat", Host: rig.Host, Prefix: "/chat/", Stream: true, CanResume: true, MaxAttempts: 3, Timeout: 10 * time.Second, LatencyObjective: 400 * time.Millisecond, Targets: []quetzalpier.Target{{Pool: "app", Weight: 1}}}
	err = r.Write(platform.EncodeConfig(quetzalpier.Config{Number: 3, Pools: map[string]quetzalpier.Pool{"app": {Kind: quetzalpier.KindPlain, MaxConns: 100}}, InputLimits: inputLimits, Routes: []quetzalpier.Route{route}}))
	for i := 0; err == nil && i < 6; i++ {
		err = r.AddWorker(&rig.Worker{Name: fmt.Sprintf("app%d", i), Pool: "app", Slots: 12, Events: streamEvents, EventTime: streamEventTime})
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
	if err != nil {
		return "", err
	}
	r.Settle()
	var counts tally
	var clients sync.WaitGroup
	began, inTouch := time.Now(), make(chan struct{})
	for i := range streams {
		clients.Add(1)
		go func() {
			defer clients.Done()
			takeUp(r, &counts, i, began, !trouble, inTouch)
		}()
	}
	time.Sleep(time.Until(began.Add(brokenAfter)))
	if trouble {
		for _, n := range r.Nodes() {
			n.Kill()
		}
		r.Note("all machines lose power")
		time.Sleep(noPower)
		for _, n := range r.Nodes() {
			if err := n.Start(); err != nil {
				return "", err
			}
		}
		r.Note("all machines are back")
		time.Sleep(rig.ContactTime + 50*time.Millisecond)
		r.Note("all machines are in touch")
	}
	close(inTouch)
	for i := range streams {
		clients.Add(1)
		go func() {
			defer clients.Done()
			status, last := stream(r.Fronts[i%len(r.Fronts)], fmt.Sprintf("b%015x", i), fmt.Sprintf("/chat/new%d", i), "", 0, 5*time.Second, 0)
			counts.mu.Lock()
			defer counts.mu.Unlock()
			counts.begun++
			if last > 0 {
				counts.served++
			}
			if last < streamEvents {
				r.Note("a new stream gets %s, and ends after event %d", status, last)
			}
		}()
	}
	clients.Wait()
	r.Note("of %d streams that were taken up at machines in touch %d went on; of %d new ones %d began", counts.taken, counts.wentOn, counts.begun, counts.served)
	if counts.taken >= 12 && 2*counts.wentOn*counts.begun < counts.served*counts.taken {
		return fmt.Sprintf("LOST: of %d streams that clients take up again at machines in touch %d go on; of %d new ones %d begin", counts.taken, counts.wentOn, counts.begun, counts.served), nil
	}
	return "", nil
}

// takeUp begins a stream and takes it up again a few times after it has broken off, or the client has
// left it, until it is complete or the client has no more time.
func takeUp(r *rig.Rig, counts *tally, client int, began time.Time, leaves bool, inTouch chan struct{}) {
	path, first := fmt.Sprintf("/chat/talk%d", client), fmt.Sprintf("a%07x%08x", client, 0)
	leaveAfter := time.Duration(0)
	if leaves {
		leaveAfter = brokenAfter
	}
	_, last := stream(r.Fronts[client%len(r.Fronts)], first, path, "", 0, streamDeadline, leaveAfter)
	counted, wentOn := false, false
	for attempt := 1; last < streamEvents && time.Since(began) < streamDeadline; attempt++ {
		time.Sleep(retryPause)
		touch := false
		select {
		case <-inTouch:
			touch = true
		default:
		}
		front := r.Fronts[(client+attempt)%len(r.Fronts)]
		status, now := stream(front, fmt.Sprintf("a%07x%08x", client, attempt), path, first, last, streamDeadline-time.Since(began), 0)
		r.Note("client %d takes its stream up after event %d at %s, in touch %v, and gets %s up to event %d", client, last, front.Name, touch, status, now)
		counted, wentOn = counted || touch, wentOn || touch && now > last
		last = max(last, now)
	}
	if counted {
		counts.mu.Lock()
		defer counts.mu.Unlock()
		counts.taken++
		if wentOn {
			counts.wentOn++
		}
	}
}

// stream makes an attempt at a stream and returns its status and the last event that came.
func stream(front *rig.Node, id, path, resumes string, last int, left, leaveAfter time.Duration) (string, int) {
	limit := left
	if leaveAfter > 0 {
		limit = leaveAfter
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+front.Front+path, strings.NewReader("the same body"))
	if err != nil {
		return err.Error(), last
	}
	req.Host, req.Close = rig.Host, true
	req.Header.Set(platform.HeaderAttempt, id)
	req.Header.Set(platform.HeaderDeadline, strconv.Itoa(int(left.Milliseconds())))
	if last > 0 {
		req.Header.Set(platform.HeaderLastEventID, strconv.Itoa(last))
		req.Header.Set(platform.HeaderResumes, resumes)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "no answer", last
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		text, _ := bufio.NewReader(resp.Body).ReadString('\n')
		return fmt.Sprintf("%d %.90s", resp.StatusCode, text), last
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if text, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			last, _ = strconv.Atoi(text)
		}
	}
	return "200", last
}
