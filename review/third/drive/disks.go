package main

import (
	"context"
	"encoding/base64"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"quetzalpier"
	"quetzalpier/platform"
	"quetzalpier/review/third/rig"
)

const (
	// outage is how long the store refuses all calls, and dark how long the store machines are
	// without power, which they lose lead before the outage ends.
	outage = 4500 * time.Millisecond
	dark   = 5 * time.Second
	lead   = 300 * time.Millisecond
	// noticed limits how long the nodes have to notice that.
	noticed = 1200 * time.Millisecond
	// lotID is the ID of the batch submission.
	lotID = "7c41e09b52d6a3f8"
)

// inputLimits are the limits of clients in the configuration.
var inputLimits = quetzalpier.Input{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 32 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

// openRollout starts a deployment with a rollout route to three workers of a model.
func openRollout(record string) (*rig.Rig, error) {
	r, err := rig.New(record)
	if err != nil {
		return nil, err
	}
	config := quetzalpier.Config{
		Number: 3, InputLimits: inputLimits,
		Pools: map[string]quetzalpier.Pool{"lm": {Kind: quetzalpier.KindEngine, Slots: 8, Models: []string{"m0"}}},
		Routes: []quetzalpier.Route{{
			Name: "rollout", Host: rig.Host, Prefix: "/roll/", Batch: true, CanResume: true, MaxAttempts: 3, LatencyObjective: 400 * time.Millisecond,
			JobObjective: 7500 * time.Millisecond, TaskTTL: 30 * time.Second, Targets: []quetzalpier.Target{{Pool: "lm", Weight: 1}},
		}},
	}
	err = r.Write(platform.EncodeConfig(config))
	for i := 0; err == nil && i < 3; i++ {
		_, err = r.AddEngine(fmt.Sprintf("i-lm%d", i), "lm", "m0")
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
	r.Settle()
	if err != nil {
		r.Close()
	}
	return r, err
}

// playDisks has a batch submission accepted while the platform's store is down, so that it lies on
// disks only. All store machines lose power shortly before the store is back, and have their disks
// when they return. A front that was added meanwhile is asked for the results once it is in touch.
func playDisks(record string, trouble bool) (string, error) {
	r, err := openRollout(record)
	if err != nil {
		return "", err
	}
	defer r.Close()
	begin := time.Now()
	if trouble {
		r.SetStore(true)
		r.Note("the platform's store refuses all calls")
	}
	time.Sleep(time.Second)
	if err := submitLot(r); err != nil {
		return "", err
	}
	accepted := time.Now()
	time.Sleep(time.Until(begin.Add(outage - lead)))
	lostAt := time.Now()
	if trouble {
		for _, n := range r.Stores {
			n.Kill()
			r.Note("%s loses power", n.Name)
		}
	}
	time.Sleep(time.Until(begin.Add(outage)))
	r.SetStore(false)
	r.Note("the platform's store serves all calls")
	// The other nodes notice that the store machines are gone, and remove their entries.
	for end := time.Now().Add(noticed); time.Now().Before(end) && r.Count("sys/node/store") > 0; {
		time.Sleep(20 * time.Millisecond)
	}
	if _, err := r.AddNode("front", "zone-a"); err != nil {
		return "", err
	}
	added, addedAt := r.Fronts[len(r.Fronts)-1], time.Now()
	r.Note("%s is added", added.Name)
	time.Sleep(rig.ContactTime + 50*time.Millisecond)
	r.Note("%s is in touch: it has run, and the store has been without impairment, for contactMs", added.Name)
	broken := ""
	for time.Since(lostAt) < dark {
		status, text := readLot(added)
		r.Note("client reads %s at %s and gets %d %s", lotID, added.Name, status, text)
		if status == http.StatusNotFound || status == http.StatusGone {
			broken = fmt.Sprintf("LOST: %s answered %d for a batch submission that was accepted %.1f s before, %.1f s after it was started", added.Name, status, time.Since(accepted).Seconds(), time.Since(addedAt).Seconds())
		}
		time.Sleep(100 * time.Millisecond)
	}
	if trouble {
		for _, n := range r.Stores {
			if err := n.Start(); err != nil {
				return "", err
			}
			r.Note("%s is back with its disk", n.Name)
		}
	}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		status, text := readLot(added)
		r.Note("client reads %s at %s and gets %d %.60s", lotID, added.Name, status, text)
		if status == http.StatusOK && strings.Count(text, `"done"`) == lotItems {
			return broken, nil
		}
	}
	if broken == "" {
		broken = "LOST: the batch submission was not done at the end"
	}
	return broken, nil
}

const lotItems = 4

// submitLot submits the batch submission at each front in turn until one accepts it.
func submitLot(r *rig.Rig) error {
	var items []string
	for i := range lotItems {
		items = append(items, fmt.Sprintf(`{"id":"item%d%s","path":"/roll/%d","headers":{"X-Quetzalpier-Model":"m0"},"body":%q,"tokens":100,"group":"g"}`, i, lotID, i, base64.StdEncoding.EncodeToString([]byte("10 prompt"))))
	}
	body := fmt.Sprintf(`{"step":0,"model":"m0","minVersion":1,"targetGroups":1,"items":[%s]}`, strings.Join(items, ","))
	for i := range 6 {
		front := r.Fronts[i%len(r.Fronts)]
		status, text := call(front, http.MethodPost, "/roll/"+lotID, body)
		r.Note("client submits %s to %s and gets %d %s", lotID, front.Name, status, text)
		if status == http.StatusAccepted {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("no front accepted the batch submission")
}

func readLot(n *rig.Node) (int, string) {
	return call(n, http.MethodGet, platform.PathJobs+lotID+"?after=0", "")
}

// call makes a call about the batch submission on a new channel.
func call(n *rig.Node, method, path, body string) (int, string) {
	return callWith(n, method, path, lotID, body, 3*time.Second)
}

func callWith(n *rig.Node, method, path, id, body string, timeout time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.Front+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host, req.Close = rig.Host, true
	if method == http.MethodPost {
		req.Header.Set(platform.HeaderAttempt, id)
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := http.DefaultClient.Do(req)
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
