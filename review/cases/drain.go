package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"quetzalpier"
	"quetzalpier/hash"
	"quetzalpier/platform"
	"quetzalpier/review/kit"
)

const (
	// drainTime is drainMs of the small deployments.
	drainTime  = 2 * time.Second
	freezeTime = 4 * time.Second
	// settleTime is how long the deployment runs before the trouble.
	settleTime = 12 * time.Second
	// readersOfZone is how many fronts of a zone read the store for the others.
	readersOfZone = 2
	clientCount   = 3
	clientPause   = 100 * time.Millisecond
)

// playDrain freezes two of the three fronts of a zone. A worker drains meanwhile, and clients go
// on at the third front.
func playDrain(record string) (int, error) {
	d, err := kit.Open(record, kit.Options{Fronts: 3, Stores: 3, Fenced: true, OneZone: true})
	if err != nil {
		return kit.Failed, err
	}
	defer d.Close()
	var mu sync.Mutex
	var late []time.Duration
	var drainedAt time.Time
	run := func(w *kit.Worker, r *kit.Request) bool {
		mu.Lock()
		if after := time.Since(drainedAt); w.ID == "a1" && !drainedAt.IsZero() {
			d.Printf("worker a1: gets %s %s after its ack", r.ID, after)
			if after > drainTime {
				late = append(late, after)
			}
		}
		mu.Unlock()
		time.Sleep(25 * time.Millisecond)
		return w.Reply(r, http.StatusOK, "3e1b."+r.ID, []byte("view "+r.ID))
	}
	var leaving *kit.Worker
	for _, id := range []string{"a1", "a2", "a3"} {
		w, err := d.AddWorker(id, "app", nil, run)
		if err != nil {
			return kit.Failed, err
		}
		if id == "a1" {
			leaving = w
		}
	}
	err = d.WriteConfig(map[string]quetzalpier.Pool{"app": {Kind: quetzalpier.KindPlain}}, []quetzalpier.Route{{
		Name: "view", Prefix: "/view/", Idempotent: true, MaxAttempts: 2, Timeout: 1500 * time.Millisecond, LatencyObjective: 150 * time.Millisecond, Targets: []quetzalpier.Target{{Pool: "app", Weight: 1}},
	}})
	if err == nil {
		err = d.Start()
	}
	if err != nil {
		return kit.Failed, err
	}
	time.Sleep(settleTime)
	readers := hash.Owners("watch/"+d.Fronts[0].Zone, []string{d.Fronts[0].Name, d.Fronts[1].Name, d.Fronts[2].Name}, readersOfZone)
	var third *kit.Node
	for _, n := range d.Fronts {
		switch {
		case !slices.Contains(readers, n.Name):
			third = n
		case d.Trouble:
			n.Signal(syscall.SIGSTOP)
			time.AfterFunc(freezeTime, func() { n.Signal(syscall.SIGCONT) })
		}
	}
	var clients sync.WaitGroup
	until := time.Now().Add(freezeTime + time.Second)
	for client := range clientCount {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for number := 0; time.Now().Before(until); number++ {
				id := fmt.Sprintf("d%d%04d", client, number)
				status, _, _, err := d.Call(third.Front, http.MethodPost, "/view/"+id, map[string]string{platform.HeaderAttempt: id, platform.HeaderDeadline: "1500"}, []byte("x"))
				if status != http.StatusOK {
					d.Printf("client: %s at %s: %d %v", id, third.Name, status, err)
				}
				time.Sleep(clientPause)
			}
		}()
	}
	time.Sleep(100 * time.Millisecond)
	ackedAt, err := leaving.Drain()
	if err != nil {
		return kit.Failed, err
	}
	mu.Lock()
	drainedAt = ackedAt
	mu.Unlock()
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	status := kit.Held
	if len(late) > 0 {
		d.Printf("BROKEN DRAIN: %d requests reached a1 later than %s after the ack, the last one %s after it", len(late), drainTime, late[len(late)-1])
		status = kit.Broken
	}
	d.Printf("result: %d", status)
	return status, nil
}
