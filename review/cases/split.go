package main

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"quetzalpier"
	"quetzalpier/platform"
	"quetzalpier/review/kit"
)

const (
	otherPool = "lm2"
	// settle is settleMs of the small deployments, and outageTime how long the store is down.
	settle     = time.Second
	outageTime = 4500 * time.Millisecond
	splitItems = 6
)

// position is what was first read at a position of a batch submission, and when.
type position struct {
	result quetzalpier.Result
	at     time.Time
}

// playSplit submits a batch submission on a route that leads to two services while the store is
// down, and sends it again at other fronts.
func playSplit(record string) (int, error) {
	d, err := kit.Open(record, kit.Options{Fronts: 7, Stores: 3, Fenced: true})
	if err != nil {
		return kit.Failed, err
	}
	defer d.Close()
	if err := startSplit(d); err != nil {
		return kit.Failed, err
	}
	time.Sleep(6 * time.Second)
	if d.Trouble {
		d.Store.SetDown(true)
	}
	downAt := time.Now()
	time.Sleep(2500 * time.Millisecond)
	job := step(1, splitItems)
	for i, n := range d.Fronts {
		if err := d.Submit(n, prefix, job); err != nil && i == 0 {
			return kit.Failed, err
		}
		time.Sleep(150 * time.Millisecond)
	}
	time.Sleep(time.Until(downAt.Add(outageTime)))
	if d.Trouble {
		d.Store.SetDown(false)
	}
	// From here on the machines are in touch.
	time.Sleep(contact + time.Second)
	read, status := map[int]position{}, kit.Held
	for range 6 {
		for _, n := range d.Fronts {
			if readAt(d, n, job.ID, read) {
				status = kit.Broken
			}
		}
		time.Sleep(settle + 100*time.Millisecond)
	}
	d.Printf("result: %d", status)
	return status, nil
}

// readAt reads the results of a batch submission at a front, and adds them to those that were
// read before. It reports whether they don't fit these.
func readAt(d *kit.Deployment, n *kit.Node, job string, read map[int]position) (broken bool) {
	sentAt := time.Now()
	total, results, err := d.Results(n, job)
	d.Printf("client: reads at %s: %d of %d results, %v", n.Name, len(results), total, err)
	if err != nil {
		return false
	}
	for at, known := range read {
		switch {
		case at >= len(results) && sentAt.Sub(known.at) > settle:
			d.Printf("BROKEN LOST: %s has nothing at position %d, which was read %s before", n.Name, at, sentAt.Sub(known.at))
			broken = true
		case at < len(results) && results[at].Text != known.result.Text:
			d.Printf("BROKEN TWICE: %s has another result at position %d", n.Name, at)
			broken = true
		}
	}
	for at, result := range results {
		if _, known := read[at]; !known {
			read[at] = position{result, time.Now()}
		}
	}
	return broken
}

// startSplit starts a deployment with two services of model workers, of which one is slower.
func startSplit(d *kit.Deployment) error {
	for service, interval := range map[string]time.Duration{pool: 600 * time.Millisecond, otherPool: 160 * time.Millisecond} {
		for i := range 2 {
			id := fmt.Sprintf("%s-w%d", service, i+1)
			_, err := d.AddWorker(id, service, map[string]quetzalpier.Version{model: 1}, func(w *kit.Worker, r *kit.Request) bool {
				last, _ := strconv.Atoi(r.Header.Get(platform.HeaderLastEventID))
				d.Printf("worker %s: runs item %s from event %d", w.ID, r.ID, last+1)
				return w.Stream(r, "3e1b."+r.ID, model, last+1, 25, interval, func(event int) string { return strings.Join([]string{r.ID, strconv.Itoa(event), service}, "-") })
			})
			if err != nil {
				return err
			}
		}
	}
	route := rolloutRoute
	route.Targets = []quetzalpier.Target{{Pool: pool, Weight: 50}, {Pool: otherPool, Weight: 50}}
	route.TaskTTL = 40 * time.Second
	engines := quetzalpier.Pool{Kind: quetzalpier.KindEngine, Slots: 8, Models: []string{model}}
	if err := d.WriteConfig(map[string]quetzalpier.Pool{pool: engines, otherPool: engines}, []quetzalpier.Route{route}); err != nil {
		return err
	}
	return d.Start()
}
