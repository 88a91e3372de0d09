package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"quetzalpier/platform"
	"quetzalpier/review/third/rig"
)

const (
	// headersBytes is the size of the body of a batch submission, headersLots how many are sent, and
	// itemHeaders how many headers an item has.
	headersBytes = 24 << 20
	headersLots  = 2
	itemHeaders  = 250
	// watched is how long the machines are watched after that.
	watched = 10 * time.Second
)

// playHeaders has a client send batch submissions of legal size whose items have many headers. The
// machines are watched from then on.
func playHeaders(record string, trouble bool) (string, error) {
	r, err := openRollout(record)
	if err != nil {
		return "", err
	}
	defer r.Close()
	limits := limitMemory(r)
	for i := 0; i < headersLots && limits.broken() == ""; i++ {
		id := fmt.Sprintf("5f02d8a61c9e7%03d", i)
		body := soundBody(id, headersBytes)
		if trouble {
			body = headersBody(id)
		}
		for _, front := range r.Fronts {
			r.Note("client sends batch submission %s of %d bytes to %s", id, len(body), front.Name)
			status, text := callWith(front, http.MethodPost, "/roll/"+id, id, body, 20*time.Second)
			r.Note("client gets %d %.120s", status, text)
			if status == http.StatusAccepted || status == http.StatusRequestEntityTooLarge || limits.broken() != "" {
				break
			}
		}
	}
	time.Sleep(watched)
	return limits.verdict(), nil
}

// headersBody returns a batch submission whose items have many headers.
func headersBody(id string) string {
	var headers, body strings.Builder
	for i := range itemHeaders {
		_, _ = fmt.Fprintf(&headers, `"h%03d":"",`, i)
	}
	body.WriteString(lotHead)
	for i := 0; body.Len() < headersBytes-2<<10; i++ {
		if i > 0 {
			body.WriteString(",")
		}
		_, _ = fmt.Fprintf(&body, `{"id":"%s%05d","path":"/roll/%d","headers":{%s"%s":"m0"},"body":"","tokens":10,"group":"g%d"}`, id, i, i, headers.String(), platform.HeaderModel, i/8)
	}
	body.WriteString("]}")
	return body.String()
}

// memoryLimits kills processes that use more than their machines have, and starts them again.
type memoryLimits struct {
	rig  *rig.Rig
	mu   sync.Mutex
	ends map[*rig.Node]int
	peak map[*rig.Node]int
	stop chan struct{}
	done chan struct{}
}

// limitMemory begins to limit the memory of all nodes, as the platform does.
func limitMemory(r *rig.Rig) *memoryLimits {
	m := &memoryLimits{rig: r, ends: map[*rig.Node]int{}, peak: map[*rig.Node]int{}, stop: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(m.done)
		for {
			select {
			case <-m.stop:
				return
			case <-time.After(measureTime):
			}
			for _, n := range m.nodes() {
				m.check(n)
			}
		}
	}()
	return m
}

func (m *memoryLimits) nodes() []*rig.Node {
	return append(append([]*rig.Node{}, m.rig.Fronts...), m.rig.Stores...)
}

func (m *memoryLimits) check(n *rig.Node) {
	used := n.UsedMemory()
	m.peak[n] = max(m.peak[n], used)
	if used <= n.Memory {
		return
	}
	n.Kill()
	m.mu.Lock()
	m.ends[n]++
	m.mu.Unlock()
	m.rig.Note("%s uses %d MiB of %d, and its process is killed", n.Name, used>>20, n.Memory>>20)
	time.Sleep(restartDelay)
	if err := n.Start(); err != nil {
		m.rig.Note("%s can't be started: %v", n.Name, err)
	}
}

// broken tells on how many machines processes have ended too often. It is empty if there are too few
// for the rule to be broken.
func (m *memoryLimits) broken() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	failed := 0
	for _, n := range m.nodes() {
		if m.ends[n] >= endsOfMachine {
			failed++
		}
	}
	if failed < machinesToFail {
		return ""
	}
	return fmt.Sprintf("Fault: on %d of %d machines processes ended by themselves %d times or more, as they used more memory than their machines have", failed, len(m.nodes()), endsOfMachine)
}

// verdict ends the limit, and tells the same.
func (m *memoryLimits) verdict() string {
	close(m.stop)
	<-m.done
	for _, n := range m.nodes() {
		m.rig.Note("the process of %s was ended %d times, and used at most %d MiB of %d", n.Name, m.ends[n], m.peak[n]>>20, n.Memory>>20)
	}
	return m.broken()
}
