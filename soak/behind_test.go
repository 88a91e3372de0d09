package soak_test

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"quetzalpier/platform"
	"quetzalpier/soak"
)

// streamEvents is the length of the streams of TestFrontOutOfStep.
const streamEvents = 30

// readStream sends a request for a stream to a front, and reads its events until there are most
// of them or it ends. resumes is the attempt that brought the events before; empty for none.
func readStream(ctx context.Context, n *soak.Node, path, id, resumes string, events []string, most int) ([]string, int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.Settings.Front+path, strings.NewReader(strconv.Itoa(streamEvents)+" prompt"))
	if err != nil {
		return events, 0, err
	}
	req.Host = soak.Host
	req.Header.Set(platform.HeaderAttempt, id)
	req.Header.Set(platform.HeaderModel, "m0")
	req.Header.Set(platform.HeaderDeadline, "8000")
	if resumes != "" {
		req.Header.Set(platform.HeaderResumes, resumes)
		req.Header.Set(platform.HeaderLastEventID, strconv.Itoa(len(events)))
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return events, 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	for decoder := platform.NewEventDecoder(bufio.NewReader(resp.Body)); resp.StatusCode == http.StatusOK && len(events) < most; {
		event, err := decoder.Next()
		if err != nil {
			return events, resp.StatusCode, err
		}
		events = append(events, event.Data)
	}
	return events, resp.StatusCode, nil
}

// softwareVersions returns the software versions of the engines that made events.
func softwareVersions(r *soak.Rig, events []string) map[string]bool {
	versions := map[string]bool{}
	for _, event := range events {
		for _, e := range r.Engines {
			if _, made := e.MadeAt(event); made {
				versions[e.Software] = true
			}
		}
	}
	return versions
}

// TestFrontOutOfStep guards against a front to which no other node answers, and which takes up
// streams at the software version of other streams of the same request.
func TestFrontOutOfStep(t *testing.T) {
	t.Parallel()
	const streams = 8
	// Different requests, each of two streams, have their origins at different nodes.
	path := func(i int) string { return fmt.Sprint("/stream/same", i%(streams/2)) }
	r := openRigWith(t, soak.Options{Fronts: 4, Stores: 3, Engines: 6, Plains: 1, SoftwareVersions: 2, EventInterval: 30 * time.Millisecond})
	require.True(t, r.WaitReady(t.Context(), 15*time.Second))
	require.NoError(t, r.ListSoftware("v1"))
	time.Sleep(2 * time.Second)
	each := func(run func(i int)) {
		var all conc.WaitGroup
		for i := range streams {
			all.Go(func() { run(i) })
		}
		all.Wait()
	}
	each(func(i int) {
		events, status, err := readStream(t.Context(), r.Fronts[0], path(i), fmt.Sprint("old", i), "", nil, streamEvents)
		require.Len(t, events, streamEvents, "%d %v", status, err)
	})
	require.NoError(t, r.ListSoftware("v1", "v2"))
	time.Sleep(2 * time.Second)
	texts := make([][]string, streams)
	each(func(i int) {
		var status int
		var err error
		texts[i], status, err = readStream(t.Context(), r.Fronts[1], path(i), fmt.Sprint("new", i), "", nil, 3)
		require.Len(t, texts[i], 3, "%d %v", status, err)
	})
	others := append(r.Fronts[1:len(r.Fronts):len(r.Fronts)], r.Stores...)
	for _, n := range others {
		n.Signal(syscall.SIGSTOP)
	}
	time.AfterFunc(2*time.Second, func() {
		for _, n := range others {
			n.Signal(syscall.SIGCONT)
		}
	})
	wentOn := make([]bool, streams)
	each(func(i int) {
		events, status, err := readStream(t.Context(), r.Fronts[0], path(i), fmt.Sprint("again", i), fmt.Sprint("new", i), texts[i], streamEvents)
		wentOn[i] = len(events) > len(texts[i])
		texts[i] = events
		t.Logf("stream %d: status %d, %d events, %v", i, status, len(events), err)
	})
	count := 0
	for i, events := range texts {
		require.Len(t, softwareVersions(r, events), 1, "stream %d: %v", i, events)
		if wentOn[i] {
			count++
		}
	}
	require.GreaterOrEqual(t, 2*count, streams, "streams that are taken up go on")
}
