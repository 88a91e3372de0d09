package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"quetzalpier"
	"quetzalpier/platform"
	"quetzalpier/review/kit"
)

const (
	// memoryMiB is the memory of the machines of redline-tt.
	memoryMiB = 284
	// maxEnds is how often processes of a machine may end by themselves less one, and
	// maxMachines on how many machines less one.
	maxEnds     = 3
	maxMachines = 2
	endlessFor  = 60 * time.Second
	stepItems   = 88
	// pieceBytes is sent at once by the worker, and pieceTime what it takes on a link with
	// 600 Mbit/s.
	pieceBytes = 64 << 10
	pieceTime  = pieceBytes * 8 * time.Second / 600_000_000
)

// pacer keeps what one worker sends within the bandwidth of a machine's link.
type pacer struct {
	mu   sync.Mutex
	next time.Time
}

func (p *pacer) wait() {
	p.mu.Lock()
	at := time.Now()
	if p.next.After(at) {
		at = p.next
	}
	p.next = at.Add(pieceTime)
	p.mu.Unlock()
	time.Sleep(time.Until(at))
}

// playEndless has one of five plain workers answer with bytes without end.
func playEndless(record string) (int, error) {
	d, err := kit.Open(record, kit.Options{Fronts: 3, Stores: 4, Fenced: true})
	if err != nil {
		return kit.Failed, err
	}
	defer d.Close()
	var endless atomic.Bool
	var answers atomic.Int64
	var link pacer
	score := func(w *kit.Worker, r *kit.Request) bool {
		if endless.Load() && w.ID == "a1" {
			answers.Add(1)
			_, err := fmt.Fprintf(r.Conn, "%s\r\n", w.Head(r, http.StatusOK, "3e1b."+r.ID))
			junk := make([]byte, pieceBytes)
			for err == nil {
				link.wait()
				_, err = r.Conn.Write(junk)
			}
			return false
		}
		time.Sleep(200 * time.Millisecond)
		return w.Reply(r, http.StatusOK, "3e1b."+r.ID, []byte("paid"))
	}
	for _, id := range []string{"a1", "a2", "a3", "a4", "a5"} {
		if _, err := d.AddWorker(id, "app", nil, score); err != nil {
			return kit.Failed, err
		}
	}
	item := func(w *kit.Worker, r *kit.Request) bool {
		last, _ := strconv.Atoi(r.Header.Get(platform.HeaderLastEventID))
		return w.Stream(r, "3e1b."+r.ID, model, last+1, 7, 30*time.Millisecond, func(event int) string { return fmt.Sprintf("%s-%d", r.ID, event) })
	}
	for i := range 9 {
		if _, err := d.AddWorker(fmt.Sprintf("w%d", i+1), pool, map[string]quetzalpier.Version{model: 1}, item); err != nil {
			return kit.Failed, err
		}
	}
	err = d.WriteConfig(map[string]quetzalpier.Pool{pool: {Kind: quetzalpier.KindEngine, Slots: 8, Models: []string{model}}, "app": {Kind: quetzalpier.KindPlain}}, []quetzalpier.Route{rolloutRoute, {
		Name: "payout", Prefix: "/payout/", Idempotent: true, MaxAttempts: 4, Timeout: 3 * time.Second, LatencyObjective: 800 * time.Millisecond, Targets: []quetzalpier.Target{{Pool: "app", Weight: 1}},
	}})
	if err == nil {
		err = d.Start()
	}
	if err != nil {
		return kit.Failed, err
	}
	time.Sleep(5 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	var mu sync.Mutex
	ends := map[string]int{}
	var guards sync.WaitGroup
	for _, n := range append(append([]*kit.Node(nil), d.Fronts...), d.Stores...) {
		guards.Add(1)
		go func() {
			defer guards.Done()
			n.Guard(ctx, memoryMiB, func(n *kit.Node, used int) {
				mu.Lock()
				ends[n.Name]++
				mu.Unlock()
				d.Printf("platform: %s is killed, it uses %d MiB", n.Name, used)
			})
		}()
	}
	endless.Store(d.Trouble)
	began := time.Now()
	for number := 1; time.Since(began) < endlessFor; number++ {
		at := time.Now()
		job := step(number, stepItems)
		job.MinVersion = 1
		for i := range job.Tasks {
			id := job.Tasks[i].ID
			job.Tasks[i].Reward = &quetzalpier.Reward{ID: "c" + id, Host: kit.Host, Path: "/payout/" + id, Body: []byte("x")}
		}
		for try := range 5 {
			if err = d.Submit(d.Fronts[(number+try)%3], prefix, job); err == nil {
				break
			}
		}
		time.Sleep(time.Until(at.Add(stepTime - 200*time.Millisecond)))
		_, results, err := d.Results(d.Fronts[0], job.ID)
		status, _, _, _ := d.Call(d.Fronts[0].Front, http.MethodDelete, "/lots/"+job.ID, nil, nil)
		d.Printf("trainer: step %d has %d results %v, its end is answered %d; the owner is %s", number, len(results), err, status, d.Owner(pool))
		time.Sleep(time.Until(at.Add(stepTime)))
	}
	cancel()
	guards.Wait()
	machines := 0
	for name, count := range ends {
		d.Printf("processes of %s ended %d times", name, count)
		if count >= maxEnds {
			machines++
		}
	}
	status := kit.Held
	if machines >= maxMachines {
		d.Printf("BROKEN Fault: processes end %d times or more on %d machines", maxEnds, machines)
		status = kit.Broken
	}
	d.Printf("answers without end: %d; result: %d", answers.Load(), status)
	return status, nil
}
