package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"quetzalpier"
	"quetzalpier/platform"
	"quetzalpier/review/kit"
)

// flaky is the ID of the item that fails at its first two runs.
const flaky = "f1a7c0de"

// copier plays workers of which one sends a second copy of an answer, late: at the point where
// the next answer on the channel is expected.
type copier struct {
	d *kit.Deployment

	mu sync.Mutex
	// late is the copy that is still to be sent on a channel.
	late map[net.Conn][]byte
	// runs and failures count the runs of the flaky item and its answers of 500. answers counts
	// the answers of each worker, and copied is set once a copy was kept.
	runs, failures int
	answers        map[string]int
	copied         bool
}

func (c *copier) run(w *kit.Worker, r *kit.Request) bool {
	c.sendCopy(w, r)
	c.mu.Lock()
	c.answers[w.ID]++
	number := 0
	if r.ID == flaky {
		c.runs++
		number = c.runs
	}
	c.mu.Unlock()
	last, _ := strconv.Atoi(r.Header.Get(platform.HeaderLastEventID))
	if number == 0 || number > 2 {
		if number > 2 {
			c.d.Printf("worker %s: run %d of item %s begins a stream", w.ID, number, r.ID)
		}
		return w.Stream(r, "3e1b."+r.ID, model, last+1, 4, 10*time.Millisecond, func(event int) string { return fmt.Sprintf("%s-%d", r.ID, event) })
	}
	if number == 2 {
		time.Sleep(200 * time.Millisecond)
	}
	answer := []byte(w.Head(r, http.StatusInternalServerError, "3e1b."+r.ID) + "Content-Length: 0\r\n\r\n")
	c.mu.Lock()
	c.failures++
	if c.d.Trouble && !c.copied {
		c.copied = true
		c.late[r.Conn] = bytes.Clone(answer)
		c.d.Printf("worker %s gave %d answers until now", w.ID, c.answers[w.ID])
	}
	c.mu.Unlock()
	c.d.Printf("worker %s: run %d of item %s, answer 500", w.ID, number, r.ID)
	_, err := r.Conn.Write(answer)
	return err == nil
}

// sendCopy sends the copy of an earlier answer that is left for a channel.
func (c *copier) sendCopy(w *kit.Worker, r *kit.Request) {
	c.mu.Lock()
	late := c.late[r.Conn]
	delete(c.late, r.Conn)
	c.mu.Unlock()
	if late != nil {
		c.d.Printf("worker %s: request for item %s, sends the second copy of the answer before", w.ID, r.ID)
		_, _ = r.Conn.Write(late)
	}
}

// playCopies has an item fail at two runs, and a worker send the first of the two answers twice.
func playCopies(record string) (int, error) {
	d, err := kit.Open(record, kit.Options{Fronts: 3, Stores: 3})
	if err != nil {
		return kit.Failed, err
	}
	defer d.Close()
	c := &copier{d: d, late: map[net.Conn][]byte{}, answers: map[string]int{}}
	for _, id := range []string{"w1", "w2"} {
		if _, err := d.AddWorker(id, pool, map[string]quetzalpier.Version{model: 1}, c.run); err != nil {
			return kit.Failed, err
		}
	}
	err = d.WriteConfig(map[string]quetzalpier.Pool{pool: {Kind: quetzalpier.KindEngine, Slots: 8, Models: []string{model}}}, []quetzalpier.Route{rolloutRoute})
	if err == nil {
		err = d.Start()
	}
	if err != nil {
		return kit.Failed, err
	}
	time.Sleep(4 * time.Second)
	if err := d.Submit(d.Fronts[0], prefix, step(1, 90)); err != nil {
		return kit.Failed, err
	}
	time.Sleep(1500 * time.Millisecond)
	job := step(2, 1)
	job.Tasks[0].ID, job.Tasks[0].Path = flaky, prefix+flaky
	if err := d.Submit(d.Fronts[1], prefix, job); err != nil {
		return kit.Failed, err
	}
	var results []quetzalpier.Result
	until(12*time.Second, func() bool {
		_, results, err = d.Results(d.Fronts[2], job.ID)
		return err == nil && len(results) == 1
	})
	if len(results) != 1 {
		return kit.Failed, fmt.Errorf("no result: %w", err)
	}
	c.mu.Lock()
	runs, failures := c.runs, c.failures
	c.mu.Unlock()
	result := results[0]
	d.Printf("trainer reads item %s: done %t, text %s; it had %d runs and %d answers of 500", result.ID, result.Done, strconv.Quote(strings.ReplaceAll(result.Text, "\n", " ")), runs, failures)
	status := kit.Held
	if !result.Done && failures < rolloutRoute.MaxAttempts {
		d.Printf("BROKEN MIXED: errored after %d answers of 500, attempts is %d", failures, rolloutRoute.MaxAttempts)
		status = kit.Broken
	}
	d.Printf("result: %d", status)
	return status, nil
}
