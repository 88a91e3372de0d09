package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"quetzalpier"
	"quetzalpier/stand"
)

const (
	// jobCount is the number of batch submissions, and jobClients how many are sent at a time. Each
	// has one item with jobHeaders headers, and is smaller than a value of the store.
	jobCount   = 120
	jobClients = 6
	jobHeaders = 75_000
	jobTime    = 90 * time.Second
)

// newHeaders returns a batch submission of an item with many headers.
func newHeaders(id string, headers int) batch {
	b := newBatch(id, batchPrefix, 1, 1, itemEvents)
	for i := range headers {
		b.Items[0].Headers[fmt.Sprintf("h%05x", i)] = ""
	}
	return b
}

// playJobs submits many batch submissions, each of about a megabyte, whose items have many headers.
func playJobs(r *rig, trouble bool) (broken []string, err error) {
	r.config.Pools = map[string]quetzalpier.Pool{"lm-a": {Kind: quetzalpier.KindEngine, Slots: 8, Models: []string{modelName}}}
	for i := range floodEngines {
		if _, err := r.addWorker(stand.WorkerOptions{
			ID: fmt.Sprintf("i-lm-%d", i), Pool: "lm-a", Domain: "hall-a", Slots: 8, Software: "1",
			Models: map[string]quetzalpier.Version{modelName: 1}, EventInterval: 50 * time.Millisecond, SwapDuration: 300 * time.Millisecond,
		}); err != nil {
			return nil, err
		}
	}
	if err := r.configure(batchRoute("lm-a")); err != nil {
		return nil, err
	}
	fronts, _, err := r.addNodes("hall-a", "hall-b", "hall-c")
	if err != nil {
		return nil, err
	}
	time.Sleep(5 * time.Second)
	ids := make(chan int, jobCount)
	for i := range jobCount {
		ids <- i
	}
	close(ids)
	var clients sync.WaitGroup
	for range jobClients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for i := range ids {
				id := fmt.Sprintf("job%d", i)
				b := newHeaders(id, jobHeaders)
				if !trouble {
					b = newHeaders(id, 0)
				}
				for range 5 {
					if got := r.submit(fronts[i%len(fronts)], id, batchPrefix, b); got.Status == http.StatusAccepted {
						break
					}
					time.Sleep(500 * time.Millisecond)
				}
			}
		}()
	}
	return r.watchMemory(jobTime)
}
