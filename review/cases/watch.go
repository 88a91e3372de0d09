package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"quetzalpier"
	"quetzalpier/platform"
	"quetzalpier/review/kit"
)

const (
	// applyTime is applyMs of the small deployments.
	applyTime  = 2 * time.Second
	silentTime = 500 * time.Millisecond
	// renewInterval is the time between two renewals of a front's lease, and watchInterval how
	// long its watches of the machines wait.
	renewInterval = 3600 * time.Millisecond
	watchInterval = 5 * time.Second
	newPool       = "app2"
)

// playWatch makes the store give one front no response for a moment, just after a change of the
// configuration. A later change moves a route to another service.
func playWatch(record string) (int, error) {
	d, err := kit.Open(record, kit.Options{Fronts: 3, Stores: 3, Fenced: true})
	if err != nil {
		return kit.Failed, err
	}
	defer d.Close()
	var mu sync.Mutex
	ranBy := map[string]string{}
	for service, id := range map[string]string{"app": "a1", newPool: "b1"} {
		_, err := d.AddWorker(id, service, nil, func(w *kit.Worker, r *kit.Request) bool {
			mu.Lock()
			ranBy[r.ID] = service
			mu.Unlock()
			time.Sleep(25 * time.Millisecond)
			return w.Reply(r, http.StatusOK, "3e1b."+r.ID, []byte("view "+r.ID))
		})
		if err != nil {
			return kit.Failed, err
		}
	}
	write := func(service string, timeout time.Duration) error {
		return d.WriteConfig(map[string]quetzalpier.Pool{"app": {Kind: quetzalpier.KindPlain}, newPool: {Kind: quetzalpier.KindPlain}}, []quetzalpier.Route{{
			Name: "view", Prefix: "/view/", Idempotent: true, MaxAttempts: 2, Timeout: timeout, LatencyObjective: 150 * time.Millisecond,
			Targets: []quetzalpier.Target{{Pool: service, Weight: 1}},
		}})
	}
	if err = write("app", 1500*time.Millisecond); err == nil {
		err = d.Start()
	}
	if err != nil {
		return kit.Failed, err
	}
	time.Sleep(5 * time.Second)
	front := d.Fronts[0]
	// Another call that gets no response would show the front that the store is silent.
	undisturbed := func() bool {
		renewed, members, workers := d.Store.Since(front.Name, "renews"), d.Store.Since(front.Name, "watches sys/"), d.Store.Since(front.Name, "watches servers/")
		return renewed < renewInterval-2*silentTime && members < watchInterval-2*silentTime && workers < silentTime/4
	}
	if !until(20*time.Second, undisturbed) {
		return kit.Failed, errors.New("the front calls the store all the time")
	}
	if d.Trouble {
		d.Store.SetSilent(front.Name, true)
	}
	if err := write("app", 1400*time.Millisecond); err != nil {
		return kit.Failed, err
	}
	time.Sleep(silentTime)
	if d.Trouble {
		d.Store.SetSilent(front.Name, false)
	}
	// The store is stable from here on.
	time.Sleep(contact + 200*time.Millisecond)
	if err := write(newPool, 1400*time.Millisecond); err != nil {
		return kit.Failed, err
	}
	ackedAt, late := time.Now(), 0
	for number := 0; time.Since(ackedAt) < 8*time.Second; number++ {
		id := fmt.Sprintf("a%04d", number)
		after := time.Since(ackedAt)
		status, _, _, err := d.Call(front.Front, http.MethodPost, "/view/"+id, map[string]string{platform.HeaderAttempt: id, platform.HeaderDeadline: "1500"}, []byte("x"))
		mu.Lock()
		service := ranBy[id]
		mu.Unlock()
		d.Printf("client: %s at %s, sent %s after the ack: %d, run by %s %v", id, front.Name, after.Round(time.Millisecond), status, service, err)
		if service == "app" && after > applyTime {
			late++
		}
		time.Sleep(200 * time.Millisecond)
	}
	status := kit.Held
	if late > 0 {
		d.Printf("BROKEN CONFIG: %d requests sent later than %s after the ack were run by the old service", late, applyTime)
		status = kit.Broken
	}
	d.Printf("result: %d", status)
	return status, nil
}
