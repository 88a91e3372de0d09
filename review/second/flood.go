package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"quetzalpier"
	"quetzalpier/platform"
	"quetzalpier/stand"
)

const (
	// floodEngines is the number of engines, of which floodShare send events without end.
	floodEngines = 9
	floodShare   = 3
	floodTime    = 90 * time.Second
	// stepPause is the time between two steps, which end after stepTime.
	stepPause = 4 * time.Second
	stepTime  = 9 * time.Second
	stepItems = 64
	stepGroup = 8
	// itemEvents is the number of events of an item, whose request allows as many tokens.
	itemEvents = 25
	// memoryCheck is the time between two checks of the memory of all processes.
	memoryCheck = 50 * time.Millisecond
	// Processes end by themselves minEnds times on minEnded machines for the rule.
	minEnds  = 3
	minEnded = 2
)

// startFlood starts an engine whose streams bring events without end, until the caller closes.
func (r *rig) startFlood(id string) error {
	addr, err := stand.FreeAddr()
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	server := &http.Server{ReadHeaderTimeout: callTimeout, Handler: http.HandlerFunc(func(out http.ResponseWriter, req *http.Request) { r.flood(id, out, req) })}
	go func() { _ = server.Serve(listener) }()
	return r.list(quetzalpier.VM{
		ID: id, Addr: addr, Domain: "hall-a", Kind: quetzalpier.KindEngine, Pool: "lm-a", State: quetzalpier.VMLive, Slots: 8, Incarnation: 1, Software: "1",
		Models: map[string]quetzalpier.Version{modelName: 1},
	})
}

func (r *rig) flood(id string, out http.ResponseWriter, req *http.Request) {
	header, attempt := out.Header(), req.Header.Get(platform.HeaderAttempt)
	header.Set(platform.HeaderWorker, id)
	if req.URL.Path == platform.PathReport {
		_, _ = fmt.Fprintf(out, `{"stage":"both","models":[{"name":%q,"version":1,"adapters":[]}],"busy":false,"seq":0,"queued":0,"running":0}`, modelName)
		return
	}
	header.Set(platform.HeaderAttempt, attempt)
	header.Set(platform.HeaderStamp, id+"."+attempt)
	header.Set(platform.HeaderWeightVersion, "1")
	header.Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(req.Header.Get(platform.HeaderLastEventID))
	writer := bufio.NewWriter(out)
	for event := last + 1; ; event++ {
		if _, err := fmt.Fprintf(writer, "id: %d\ndata: a\n\n", event); err != nil {
			r.note("%s: the stream of %s was closed after event %d", id, attempt, event)
			return
		}
	}
}

// memory returns the memory of a process that no file backs, in MiB.
func (n *node) memory() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if text, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kib, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(text), " kB"))
			return kib >> 10
		}
	}
	return 0
}

// playFlood lets a third of the engines answer with events without end. As the platform does, it
// kills a process that uses more than the memory of its machine, and starts it again.
func playFlood(r *rig, trouble bool) (broken []string, err error) {
	r.config.Pools = map[string]quetzalpier.Pool{"lm-a": {Kind: quetzalpier.KindEngine, Slots: 8, Models: []string{modelName}}}
	for i := range floodEngines {
		id := fmt.Sprintf("i-lm-%d", i)
		if trouble && i < floodShare {
			if err := r.startFlood(id); err != nil {
				return nil, err
			}
			continue
		}
		if _, err := r.addWorker(stand.WorkerOptions{
			ID: id, Pool: "lm-a", Domain: "hall-a", Slots: 8, Software: "1",
			Models: map[string]quetzalpier.Version{modelName: 1}, EventInterval: 50 * time.Millisecond, SwapDuration: 300 * time.Millisecond,
		}); err != nil {
			return nil, err
		}
	}
	if err := r.configure(batchRoute("lm-a")); err != nil {
		return nil, err
	}
	fronts, _, err := r.addNodes("hall-a", "hall-b", "hall-c")
	if err != nil {
		return nil, err
	}
	time.Sleep(5 * time.Second)
	done := make(chan struct{})
	defer close(done)
	go r.runSteps(fronts, done, "")
	return r.watchMemory(floodTime)
}

// watchMemory kills the processes that use more than the memory of their machine, and starts them
// again, until they have ended often enough for the rule or the time is over.
func (r *rig) watchMemory(limit time.Duration) (broken []string, err error) {
	ends, peaks := map[string]int{}, map[string]int{}
	for end := time.Now().Add(limit); time.Now().Before(end) && countEnded(ends) < minEnded; time.Sleep(memoryCheck) {
		for _, n := range r.nodes {
			used := n.memory()
			peaks[n.Name] = max(peaks[n.Name], used)
			if used <= n.MemoryMiB {
				continue
			}
			ends[n.Name]++
			r.note("%s uses %d MiB, more than the %d MiB of its machine", n.Name, used, n.MemoryMiB)
			n.signal(syscall.SIGKILL)
			<-n.exited
			time.Sleep(restartDelay)
			if err := n.start(); err != nil {
				return nil, err
			}
		}
	}
	r.note("ends by machine: %v; largest memory in MiB: %v", ends, peaks)
	if count := countEnded(ends); count >= minEnded {
		broken = append(broken, fmt.Sprintf("Fault: on %d of %d machines processes ended three times, as they used more than the memory of their machine", count, len(r.nodes)))
	}
	return broken, nil
}

// countEnded returns the number of machines whose process has ended minEnds times.
func countEnded(ends map[string]int) (count int) {
	for _, n := range ends {
		if n >= minEnds {
			count++
		}
	}
	return count
}

// runSteps submits a step each stepPause, and ends it after stepTime, until done is closed. Its items
// are scored by calls with a prefix, unless that is empty.
func (r *rig) runSteps(fronts []*node, done chan struct{}, score string) {
	for step := 0; ; step++ {
		id, front := fmt.Sprintf("step%d", step), fronts[step%len(fronts)]
		go func() {
			r.submit(front, id, batchPrefix, newBatch(id, batchPrefix, stepItems, stepGroup, itemEvents).scored(score))
			time.Sleep(stepTime)
			list, _ := r.read(front, id, 0)
			got := call(http.MethodDelete, front.Front, "/lots/"+id, "", nil, nil)
			r.note("end of %s with %d results: status %d, error %v", id, len(list.Results), got.Status, got.Err)
		}()
		select {
		case <-done:
			return
		case <-time.After(stepPause):
		}
	}
}
