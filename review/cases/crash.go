package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"quetzalpier"
	"quetzalpier/platform"
	"quetzalpier/review/kit"
)

const (
	// contact is contactMs of the small deployments.
	contact = 3 * time.Second
	// maxRetries is how often a request that crashes workers may reach workers later than that
	// after it has crashed the third one.
	maxRetries = 3
	downTime   = 2 * time.Second
)

// crasher plays workers that a request crashes when they begin to run it.
type crasher struct {
	d *kit.Deployment

	mu sync.Mutex
	// arrivals are those of the request that crashes workers.
	arrivals []time.Time
}

func (c *crasher) run(w *kit.Worker, r *kit.Request) bool {
	if string(r.Data) == "crash" {
		c.mu.Lock()
		c.arrivals = append(c.arrivals, time.Now())
		c.mu.Unlock()
		c.d.Printf("worker %s: begins to run %s %s, attempt %s", w.ID, r.Method, r.RequestURI, r.ID)
		if c.d.Trouble {
			c.d.Printf("worker %s: crashes", w.ID)
			w.Crash(downTime)
			return false
		}
	}
	return w.Stream(r, "3e1b."+r.ID, model, 1, 3, 10*time.Millisecond, func(event int) string { return fmt.Sprintf("%s-%d", r.ID, event) })
}

// playCrash has clients send the same request again and again, on a streaming route, which
// crashes each worker that begins to run it.
func playCrash(record string) (int, error) {
	d, err := kit.Open(record, kit.Options{Fronts: 3, Stores: 3})
	if err != nil {
		return kit.Failed, err
	}
	defer d.Close()
	c := &crasher{d: d}
	for _, id := range []string{"w1", "w2", "w3", "w4", "w5", "w6"} {
		if _, err := d.AddWorker(id, pool, map[string]quetzalpier.Version{model: 1}, c.run); err != nil {
			return kit.Failed, err
		}
	}
	err = d.WriteConfig(map[string]quetzalpier.Pool{pool: {Kind: quetzalpier.KindEngine, Slots: 8, Models: []string{model}}}, []quetzalpier.Route{{
		Name: "stream", Prefix: "/stream/", Stream: true, MaxAttempts: 2, Timeout: 10 * time.Second, LatencyObjective: 400 * time.Millisecond,
		Targets: []quetzalpier.Target{{Pool: pool, Weight: 1}},
	}})
	if err == nil {
		err = d.Start()
	}
	if err != nil {
		return kit.Failed, err
	}
	time.Sleep(2 * contact)
	for number := range 20 {
		id := fmt.Sprintf("c0de%02d", number)
		front := d.Fronts[number%len(d.Fronts)]
		status, body, _, err := d.Call(front.Front, http.MethodPost, "/stream/9c41", map[string]string{
			platform.HeaderAttempt: id, platform.HeaderDeadline: "10000", platform.HeaderModel: model, platform.HeaderTokenCounts: "16,16",
		}, []byte("crash"))
		d.Printf("client: attempt %s at %s: %d, %d bytes, %v", id, front.Name, status, len(body), err)
		time.Sleep(time.Second)
	}
	c.mu.Lock()
	arrivals := c.arrivals
	c.mu.Unlock()
	status := kit.Held
	if d.Trouble && len(arrivals) > maxRetries {
		late := 0
		for _, at := range arrivals {
			if at.Sub(arrivals[2]) > contact {
				late++
			}
		}
		d.Printf("%d arrivals later than %s after the third crash", late, contact)
		if late > maxRetries {
			d.Printf("BROKEN BUDGET: the request reached workers %d times then", late)
			status = kit.Broken
		}
	}
	d.Printf("result: %d", status)
	return status, nil
}
