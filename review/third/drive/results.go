package main

import (
	"encoding/base64"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"quetzalpier"
	"quetzalpier/platform"
	"quetzalpier/review/third/rig"
)

const (
	// Each of resultLots batch submissions has resultItems items, each with resultEvents events of
	// resultBytes bytes.
	resultLots   = 4
	resultItems  = 64
	resultEvents = 179
	resultBytes  = 1600
	// dropTime is longer than the owners hold the results of ended batch submissions in memory, if
	// there are more than a few.
	dropTime = 12 * time.Second
	// resultReaders clients read at a time, each about twice per second, for readTime.
	resultReaders = 48
	readTime      = 50 * time.Second
	readPause     = 500 * time.Millisecond
)

const lotHead = `{"step":0,"model":"m0","minVersion":1,"targetGroups":8,"items":[`

// playResults has several clients read the results of batch submissions that were ended before; or
// only one client.
func playResults(record string, trouble bool) (string, error) {
	r, err := openResults(record)
	if err != nil {
		return "", err
	}
	defer r.Close()
	limits := limitMemory(r)
	for lot := range resultLots {
		if err := runLot(r, resultLot(lot)); err != nil {
			return "", err
		}
	}
	time.Sleep(dropTime)
	readers := 1
	if trouble {
		readers = resultReaders
	}
	r.Note("%d clients read the results of batch submissions that were ended", readers)
	var clients sync.WaitGroup
	for i := range readers {
		clients.Add(1)
		go func() {
			defer clients.Done()
			read(r, limits, i)
		}()
	}
	clients.Wait()
	return limits.verdict(), nil
}

func resultLot(lot int) string { return fmt.Sprintf("7c41e09b52d6a%03d", lot) }

// openResults starts a deployment with a rollout route to six workers that write long texts.
func openResults(record string) (*rig.Rig, error) {
	r, err := rig.New(record)
	if err != nil {
		return nil, err
	}
	err = r.Write(platform.EncodeConfig(quetzalpier.Config{
		Number: 3, InputLimits: inputLimits,
		Pools: map[string]quetzalpier.Pool{"lm": {Kind: quetzalpier.KindEngine, Slots: 8, Models: []string{"m0"}}},
		Routes: []quetzalpier.Route{{
			Name: "rollout", Host: rig.Host, Prefix: "/roll/", Batch: true, CanResume: true, MaxAttempts: 3, LatencyObjective: 400 * time.Millisecond,
			JobObjective: 7500 * time.Millisecond, TaskTTL: 30 * time.Second, Targets: []quetzalpier.Target{{Pool: "lm", Weight: 1}},
		}},
	}))
	for i := 0; err == nil && i < 6; i++ {
		err = r.AddWorker(&rig.Worker{Name: fmt.Sprintf("lm%d", i), Pool: "lm", Slots: 8, Model: "m0", Events: resultEvents, EventBytes: resultBytes, EventTime: time.Millisecond})
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

// runLot submits a batch submission, reads all its results and ends it.
func runLot(r *rig.Rig, id string) error {
	var items []string
	for i := range resultItems {
		items = append(items, fmt.Sprintf(`{"id":"i%02d%s","path":"/roll/%d","headers":{"%s":"m0"},"body":%q,"tokens":1000,"group":"g%d"}`, i, id, i, platform.HeaderModel, base64.StdEncoding.EncodeToString([]byte("prompt")), i/8))
	}
	front := r.Fronts[0]
	status, text := callWith(front, http.MethodPost, "/roll/"+id, id, lotHead+strings.Join(items, ",")+"]}", 10*time.Second)
	r.Note("trainer submits %s with %d items and gets %d %.100s", id, resultItems, status, text)
	listed, bytes := 0, 0
	for end := time.Now().Add(20 * time.Second); listed < resultItems; time.Sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d items of %s are listed", listed, resultItems, id)
		}
		status, text := callWith(front, http.MethodGet, fmt.Sprintf("%s%s?after=%d", platform.PathJobs, id, listed), id, "", 5*time.Second)
		if status == http.StatusOK {
			listed += strings.Count(text, `"state":"done"`)
			bytes += len(text)
		}
	}
	status, text = callWith(front, http.MethodDelete, platform.PathJobs+id, id, "", 10*time.Second)
	r.Note("trainer has read all results of %s in %d bytes, ends it, and gets %d %.100s", id, bytes, status, text)
	return nil
}

// read has a client read the results of a batch submission from the start to the end, again and again,
// about twice per second, and at the next front after a failure. It ends early if the rule is broken.
func read(r *rig.Rig, limits *memoryLimits, reader int) {
	id, front, after, got := resultLot(reader%(resultLots-1)), reader, 0, map[int]int{}
	for end := time.Now().Add(readTime); time.Now().Before(end) && limits.broken() == ""; time.Sleep(readPause) {
		status, text := callWith(r.Fronts[front%len(r.Fronts)], http.MethodGet, fmt.Sprintf("%s%s?after=%d", platform.PathJobs, id, after), id, "", 5*time.Second)
		got[status]++
		if status != http.StatusOK {
			front++
			continue
		}
		if after += strings.Count(text, `"state":"done"`); after >= resultItems {
			after = 0
		}
	}
	r.Note("client %d reads %s, and gets these statuses so often (0: no answer): %v", reader, id, got)
}
