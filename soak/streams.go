package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"quetzalpier"
	"quetzalpier/platform"
	"quetzalpier/sleep"
)

const (
	streamPath = "/stream/"
	// streamEvents is the length of each stream, and streamTime how long a client tries to
	// complete one.
	streamEvents = 30
	streamTime   = 6 * time.Second
	streamPause  = 100 * time.Millisecond
	resumePause  = 50 * time.Millisecond
)

// streamRoute is the route of the clients' streams.
var streamRoute = quetzalpier.Route{
	Name: "stream", Host: Host, Prefix: streamPath, Stream: true, CanResume: true, MaxAttempts: 3, LatencyObjective: 400 * time.Millisecond,
	Timeout: 8 * time.Second, Targets: []quetzalpier.Target{{Pool: poolLM, Weight: 1}},
}

// StreamCounts counts the clients' streams. Resumed are the attempts to take one up
// again, and WentOn those of them that brought an event. GivenUp are the streams that did
// not go on to their end within streamTime.
type StreamCounts struct {
	Begun, Complete, Resumed, WentOn, GivenUp int
}

// stream is one stream of a client, over all its attempts. The client sends the same request
// each time, with another ID, and does not name the earlier attempts.
type stream struct {
	name   string
	events []string
}

// sendStreams requests streams one after another until ctx ends, and takes up those that
// break off at other fronts.
func (t *trainer) sendStreams(ctx context.Context, name string) {
	for n := 0; sleep.For(ctx, streamPause); n++ {
		s := &stream{name: fmt.Sprintf("%s%d", name, n)}
		end := time.Now().Add(streamTime)
		for try := 0; time.Now().Before(end) && len(s.events) < streamEvents && ctx.Err() == nil; try++ {
			before := len(s.events)
			if t.attemptStream(ctx, s, fmt.Sprintf("%sx%d", s.name, try)) {
				t.ledger.recordStream(before, len(s.events))
			}
			sleep.For(ctx, resumePause)
		}
		if len(s.events) > 0 && len(s.events) < streamEvents && ctx.Err() == nil {
			t.ledger.mu.Lock()
			t.ledger.Streams.GivenUp++
			t.ledger.mu.Unlock()
		}
		t.checkStream(s)
	}
}

// attemptStream makes one attempt and adds the events that it brings. It reports whether a
// front answered.
func (t *trainer) attemptStream(ctx context.Context, s *stream, id string) (answered bool) {
	ctx, cancel := context.WithTimeout(ctx, streamRoute.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+t.randomFront()+streamPath+s.name, strings.NewReader(strconv.Itoa(streamEvents)+" "+s.name))
	if err != nil {
		return false
	}
	req.Host = Host
	req.Header.Set(platform.HeaderAttempt, id)
	t.rig.authorize(req)
	req.Header.Set(platform.HeaderModel, modelName)
	req.Header.Set(platform.HeaderDeadline, strconv.FormatInt(streamRoute.Timeout.Milliseconds(), 10))
	if len(s.events) > 0 {
		req.Header.Set(platform.HeaderLastEventID, strconv.Itoa(len(s.events)))
	}
	t.rig.recordSent(req)
	resp, err := t.client.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, resp.Body)
		return true
	}
	arrivedAt := time.Now()
	for events := platform.NewEventDecoder(bufio.NewReader(resp.Body)); ; arrivedAt = time.Now() {
		event, err := events.Next()
		if err != nil {
			t.checkStreamEnd(s, id, err, time.Since(arrivedAt))
			return true
		}
		if !isWholeEvent(event, id) {
			t.ledger.recordViolation("stream %s has the event %q", id, event.Raw)
			return true
		}
		if event.ID != len(s.events)+1 {
			t.ledger.recordViolation("stream %s has event %d after event %d", id, event.ID, len(s.events))
			return true
		}
		s.events = append(s.events, event.Data)
	}
}

// maxSilence is below the time after which engines end a stream on which they were silent.
const maxSilence = 4 * time.Second

// checkStreamEnd checks that a stream that ends as if it were complete has all its events.
func (t *trainer) checkStreamEnd(s *stream, id string, err error, silence time.Duration) {
	if err == io.EOF && len(s.events) < streamEvents && silence < maxSilence {
		t.ledger.recordViolation("stream %s ended as if it were complete after %d events of %d", id, len(s.events), streamEvents)
	}
}

// isWholeEvent reports whether an event of a request has the bytes that an engine sends.
func isWholeEvent(event platform.Event, request string) bool {
	text := event.Raw
	if first, rest, ok := strings.Cut(text, "\n"); ok && first+"\n" == platform.VersionLine(event.Version) {
		text = rest
	}
	return text == fmt.Sprintf("id: %d\ndata: %s\n\n", event.ID, event.Data) && strings.HasPrefix(event.Data, fmt.Sprintf("%s-%d.", request, event.ID))
}

func (l *Ledger) recordStream(before, after int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case before == 0 && after > 0:
		l.Streams.Begun++
	case before > 0:
		l.Streams.Resumed++
		if after > before {
			l.Streams.WentOn++
		}
	}
	if after == streamEvents {
		l.Streams.Complete++
	}
}

func (t *trainer) checkStream(s *stream) {
	if mixed := t.rig.softwareOf(s.events); len(mixed) > 1 {
		t.ledger.recordViolation("stream %s has events of the software versions %v", s.name, mixed)
	}
}

// softwareOf returns the software versions of the engines that made the tagged events,
// in order of first use.
func (r *Rig) softwareOf(events []string) []string {
	var versions []string
	last := ""
	for _, event := range events {
		_, tag, _ := strings.Cut(event, ".")
		id, _, _ := strings.Cut(tag, ".")
		software := r.engineSoftware(id)
		if software != last {
			versions = append(versions, software)
		}
		last = software
	}
	return versions
}

func (r *Rig) engineSoftware(id string) string {
	for _, e := range r.Engines {
		if e.ID == id {
			return e.Software
		}
	}
	return ""
}

// checkTexts checks that no listed text has events of several software versions.
func (r *Rig) checkTexts(l *Ledger) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, record := range l.jobs {
		for _, result := range record.results {
			if versions := r.softwareOf(strings.Split(result.Text, "\n")); result.Done && len(versions) > 1 {
				l.Violations = append(l.Violations, fmt.Sprintf("task %s of job %s has events of the software versions %v", result.ID, id, versions))
			}
		}
	}
}

// KillFronts kills all fronts at once that no other fault disturbs, and starts them again.
func (r *Rig) KillFronts() error {
	var killed []*Node
	for _, n := range r.Fronts {
		if n.disturbed.CompareAndSwap(false, true) {
			killed = append(killed, n)
		}
	}
	for _, n := range killed {
		n.exitExpected.Store(true)
		n.Signal(syscall.SIGKILL)
	}
	var failed error
	for _, n := range killed {
		n.Kill()
		if err := n.Start(); err != nil {
			failed = err
		}
		n.disturbed.Store(false)
	}
	return failed
}

// ListSoftware lists the engines of the given software versions only. The others leave
// without a notice, and go on to answer.
func (r *Rig) ListSoftware(versions ...string) error {
	for _, e := range r.Engines {
		if !slices.Contains(versions, e.Software) {
			r.listedMu.Lock()
			delete(r.listed, e.ID)
			r.KV.ForceDelete(platform.PrefixWorkers + e.ID)
			r.listedMu.Unlock()
		} else if err := r.WriteVM(e.VM()); err != nil {
			return err
		}
	}
	return nil
}

// changeVersions kills all fronts again and again while the software versions of the listed
// engines change: two serve, or the engines of one have just left.
func (f *faultInjector) changeVersions(ctx context.Context, total time.Duration) {
	states := [][]string{{"v1"}, {"v2"}, {"v1", "v2"}}
	for end := time.Now().Add(total); time.Now().Before(end) && ctx.Err() == nil; {
		versions := states[f.rnd.IntN(len(states))]
		f.logFault("kill all fronts", strings.Join(versions, " "), 0)
		err := f.rig.ListSoftware(versions...)
		sleep.For(ctx, time.Duration(f.rnd.Int64N(int64(minFaultTime))))
		if err == nil {
			err = f.rig.KillFronts()
		}
		if err != nil {
			f.ledger.recordViolation("versions not changed: %v", err)
		}
		sleep.For(ctx, minFaultTime+time.Duration(f.rnd.Int64N(int64(maxFaultTime))))
	}
	if err := f.rig.ListSoftware("v1", "v2"); err != nil {
		f.ledger.recordViolation("versions not listed: %v", err)
	}
}
