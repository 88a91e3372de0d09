//go:build !race

// The race detector multiplies a process's memory, so that its bound means nothing there.

package soak_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"quetzalpier"
	"quetzalpier/platform"
	"quetzalpier/soak"
	"quetzalpier/stand"
)

const (
	// endlessTime is how long upstreams answer without end, and endlessStep the time between two
	// jobs then, which end after endlessStay.
	endlessTime = 12 * time.Second
	endlessStep = 4 * time.Second
	endlessStay = 9 * time.Second
	// endlessTasks and endlessClients are how many tasks a job has, and how many clients request at
	// a time: as many as the engines have slots.
	endlessTasks   = 72
	endlessClients = 72
)

// scoredJob returns the encoding of a job whose tasks have rewards.
func scoredJob(t *testing.T, id string) []byte {
	t.Helper()
	job := quetzalpier.Job{ID: id, Model: "m0", MinVersion: 1, WantGroups: endlessTasks}
	for i := range endlessTasks {
		task := fmt.Sprintf("t%d%s", i, id)
		job.Tasks = append(job.Tasks, quetzalpier.Task{
			ID: task, Group: "g" + task, Path: "/batch/" + task, MaxTokens: 100, Headers: map[string]string{platform.HeaderModel: "m0"}, Body: []byte("4 x"),
			Reward: &quetzalpier.Reward{ID: "r" + task, Host: soak.Host, Path: "/score/" + task, Body: []byte("x")},
		})
	}
	data, err := platform.EncodeJob(job)
	require.NoError(t, err)
	return data
}

// submitSteps submits a job in each step, and ends it later.
func submitSteps(t *testing.T, r *soak.Rig) {
	t.Helper()
	var jobs conc.WaitGroup
	defer jobs.Wait()
	for step, end := 0, time.Now().Add(endlessTime); time.Now().Before(end); step++ {
		id := "endless" + strconv.Itoa(step)
		data, front := scoredJob(t, id), r.Fronts[step%len(r.Fronts)].Settings.Front
		jobs.Go(func() {
			call(http.MethodPost, front, "/batch/"+id, id, bytes.NewReader(data), ordinaryTimeout)
			time.Sleep(endlessStay)
			call(http.MethodDelete, front, platform.PathJobs+id, "", nil, ordinaryTimeout)
		})
		time.Sleep(endlessStep)
	}
}

// requestAll makes clients request a path over and over.
func requestAll(r *soak.Rig, path string) {
	var clients conc.WaitGroup
	defer clients.Wait()
	end := time.Now().Add(endlessTime)
	for client := range endlessClients {
		clients.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				id := fmt.Sprintf("endless%d-%d", client, n)
				front := r.Fronts[0].Settings.Front
				call(http.MethodPost, front, path+id, id, io.NopCloser(bytes.NewReader([]byte("2 x"))), ordinaryTimeout)
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
}

// TestCrowdEndless guards against upstreams that answer without end, and end the processes that
// call them, which run out of memory.
func TestCrowdEndless(t *testing.T) {
	const burst = 900 << 10
	toRequests := func(t *testing.T, r *soak.Rig) { t.Helper(); requestAll(r, "/large/") }
	toStreams := func(t *testing.T, r *soak.Rig) { t.Helper(); requestAll(r, "/stream/") }
	cases := []struct {
		name string
		// engines and plains are what the engines, and all plain services but one, answer.
		engines, plains stand.EndlessAnswer
		call            func(t *testing.T, r *soak.Rig)
	}{
		{"headers to requests", stand.EndlessAnswer{}, stand.EndlessAnswer{Kind: stand.EndlessHeader}, toRequests},
		{"lines to requests", stand.EndlessAnswer{}, stand.EndlessAnswer{Kind: stand.EndlessLine}, toRequests},
		{"a line to streams", stand.EndlessAnswer{Kind: stand.EndlessLine}, stand.EndlessAnswer{}, toStreams},
		{"a line that stalls to streams", stand.EndlessAnswer{Kind: stand.EndlessLine, Burst: burst}, stand.EndlessAnswer{}, toStreams},
		{"lines that stall to streams", stand.EndlessAnswer{Kind: stand.EndlessLines, Burst: burst}, stand.EndlessAnswer{}, toStreams},
		{"small events to runs", stand.EndlessAnswer{Kind: stand.EndlessEvents}, stand.EndlessAnswer{}, submitSteps},
		{"small events that stall to runs", stand.EndlessAnswer{Kind: stand.EndlessEvents, Burst: 2 * burst}, stand.EndlessAnswer{}, submitSteps},
		{"large events to runs", stand.EndlessAnswer{Kind: stand.EndlessLargeEvents}, stand.EndlessAnswer{}, submitSteps},
		{"lines that stall to runs", stand.EndlessAnswer{Kind: stand.EndlessLines, Burst: burst}, stand.EndlessAnswer{}, submitSteps},
		{"a line to reward calls", stand.EndlessAnswer{}, stand.EndlessAnswer{Kind: stand.EndlessLine}, submitSteps},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := openRigWith(t, soak.Options{
				Fronts: 2, Stores: 3, Engines: 9, Plains: 3, EventInterval: 10 * time.Millisecond,
				FrontMemoryMiB: frontMemoryMiB, StoreMemoryMiB: storeMemoryMiB, Files: crowdFiles,
			})
			require.NoError(t, r.AddRoutes(largeRoute))
			requireServed(t, r)
			watch := r.StartWatch()
			t.Cleanup(func() { logPeaks(t, r, watch.Stop()) })
			for _, w := range r.Engines {
				w.SetFaults(stand.WorkerFaults{Endless: c.engines})
			}
			for _, w := range r.Plains[1:] {
				w.SetFaults(stand.WorkerFaults{Endless: c.plains})
			}
			c.call(t, r)
			requireAlive(t, r)
			for _, w := range append(append([]*stand.Worker(nil), r.Engines...), r.Plains...) {
				w.SetFaults(stand.WorkerFaults{})
			}
			requireServed(t, r)
			requireJob(t, r, "ordinary", largeJob(t, "ordinary", 2, 200<<10), 2)
			requireBounds(t, r, watch.Stop())
		})
	}
}
