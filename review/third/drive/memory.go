package main

import (
	"fmt"
	"sync"
	"time"

	"quetzalpier/review/third/rig"
)

const (
	// A process is started again after restartDelay, and measured each measureTime.
	restartDelay = 500 * time.Millisecond
	measureTime  = 2 * time.Millisecond
	// The rule is broken if processes end so often on so many machines.
	endsOfMachine  = 3
	machinesToFail = 2
)

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
			for _, n := range m.rig.Nodes() {
				m.check(n)
			}
		}
	}()
	return m
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
	for _, n := range m.rig.Nodes() {
		if m.ends[n] >= endsOfMachine {
			failed++
		}
	}
	if failed < machinesToFail {
		return ""
	}
	return fmt.Sprintf("Fault: on %d of %d machines processes ended by themselves %d times or more, as they used more memory than their machines have", failed, len(m.rig.Nodes()), endsOfMachine)
}

// verdict ends the limit, and tells the same.
func (m *memoryLimits) verdict() string {
	close(m.stop)
	<-m.done
	for _, n := range m.rig.Nodes() {
		m.rig.Note("the process of %s was ended %d times, and used at most %d MiB of %d", n.Name, m.ends[n], m.peak[n]>>20, n.Memory>>20)
	}
	return m.broken()
}
