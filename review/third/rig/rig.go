// Package rig starts a small deployment for the scripts of the third review: nodes as processes of
// their own, and stand-ins of the platform's store and of workers, all on loopback addresses.
package rig

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"quetzalpier"
	"quetzalpier/platform"
	"quetzalpier/stand"
)

// ContactTime is contactMs of the small deployments.
const ContactTime = 3 * time.Second

// Host is the host of all routes.
const Host = "app.example"

// settings are the lines that deploy/settings.toml gives for a small deployment.
const settings = `name = %q
class = %q
domain = %q
region = "region"
peer = %q
front = %q
ready = %q
lookup = %q
metrics = %q
kv = %q
memory = %d
files = %d
grace = "8s"
turn = "3000ms"
fenced = true
history = "120s"
window = "20s"
contact = "3000ms"
apply = "2000ms"
data = %q
losses = 1
`

// started are the processes of all nodes.
var (
	startedMu sync.Mutex
	started   []*os.Process
)

// KillAll kills the processes of all nodes that still run.
func KillAll() {
	startedMu.Lock()
	defer startedMu.Unlock()
	for _, process := range started {
		_ = process.Kill()
	}
}

// Node is a node of the service.
type Node struct {
	Name, Front, Ready, Peer string
	// Data is the folder of the node's disk; empty for a front.
	Data string
	// Memory is the memory of the machine in bytes.
	Memory int

	program, file, log string
	kv                 *stand.KV
	command            *exec.Cmd
	exited             chan struct{}
}

// Rig is a deployment.
type Rig struct {
	Dir     string
	Program string
	KV      *stand.KV
	Fronts  []*Node
	Stores  []*Node

	engines []*stand.Worker

	mu     sync.Mutex
	record *os.File
	start  time.Time
	nodes  int
}

// New starts the platform's store, and writes the record to a file.
func New(record string) (*Rig, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	kv, err := stand.NewKV("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &Rig{Dir: dir, Program: filepath.Join("target", "quetzalpier"), KV: kv, record: file, start: time.Now()}, nil
}

// Note adds a line to the record.
func (r *Rig) Note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.record, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Since returns the time of the record at a time, in seconds.
func (r *Rig) Since(at time.Time) float64 { return at.Sub(r.start).Seconds() }

// Write writes an entry of the operator, of a trainer or of a worker to the store.
func (r *Rig) Write(write quetzalpier.Write, err error) error {
	if err != nil {
		return err
	}
	_, err = r.KV.Commit(context.Background(), quetzalpier.Txn{Writes: []quetzalpier.Write{write}})
	return err
}

// Remove removes an entry from the store.
func (r *Rig) Remove(key string) error {
	_, err := r.KV.Commit(context.Background(), quetzalpier.Txn{Deletes: []string{key}})
	return err
}

// Count returns the number of entries under a prefix of the store.
func (r *Rig) Count(prefix string) int {
	found, _ := r.KV.Range(context.Background(), prefix, false)
	return len(found.Entries)
}

// Value returns the value of a key of the store; empty if there is none.
func (r *Rig) Value(key string) string {
	entry, _ := r.KV.MemoryKV.Get(context.Background(), key)
	return string(entry.Value)
}

// firstPort is the first port of a node. Each node has an IP address of its own, so that no other
// connection can take its ports.
const firstPort = 7100

// freeAddrs returns free addresses of the next node.
func (r *Rig) freeAddrs(n int) ([]string, error) {
	var addrs []string
	for i := range n {
		addr := fmt.Sprintf("127.%d.%d.%d:%d", 64+os.Getpid()/250%128, 1+os.Getpid()%250, r.nodes+1, firstPort+i)
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			return nil, err
		}
		_ = listener.Close()
		addrs = append(addrs, addr)
	}
	return addrs, nil
}

// AddNode adds a node of a class in a zone, and starts it.
func (r *Rig) AddNode(class, zone string) (*Node, error) {
	addrs, err := r.freeAddrs(5)
	if err != nil {
		return nil, err
	}
	kv, err := r.KV.Share("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r.nodes++
	name := fmt.Sprintf("%s-%s-%d", class, zone, r.nodes)
	n := &Node{
		Name: name, Peer: addrs[0], kv: kv, program: r.Program,
		file: filepath.Join(r.Dir, name+".toml"), log: filepath.Join(r.Dir, name+".log"),
	}
	memory, files, data, lookup := 314, 8200, filepath.Join(r.Dir, name), ""
	if class == "front" {
		n.Front, n.Ready, lookup = addrs[1], addrs[2], addrs[3]
		memory, files, data = 284, 4100, ""
		r.Fronts = append(r.Fronts, n)
	} else {
		if err := os.MkdirAll(data, 0o755); err != nil {
			return nil, err
		}
		n.Data = data
		r.Stores = append(r.Stores, n)
	}
	n.Memory = memory << 20
	text := fmt.Sprintf(settings, name, class, zone, n.Peer, n.Front, n.Ready, lookup, addrs[4], kv.Addr, memory, files, data)
	if err := os.WriteFile(n.file, []byte(text), 0o644); err != nil {
		return nil, err
	}
	return n, n.Start()
}

// Start starts the process of the node.
func (n *Node) Start() error {
	log, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	n.command = exec.Command(n.program, "serve")
	n.command.Env = []string{"QUETZALPIER_SETTINGS=" + n.file, "HOME=" + filepath.Dir(n.file)}
	n.command.Stdout, n.command.Stderr = log, log
	if err := n.command.Start(); err != nil {
		return err
	}
	command, exited := n.command, make(chan struct{})
	n.exited = exited
	startedMu.Lock()
	started = append(started, command.Process)
	startedMu.Unlock()
	go func() { _ = command.Wait(); close(exited) }()
	return nil
}

// Signal sends a signal to the process of the node.
func (n *Node) Signal(signal syscall.Signal) { _ = n.command.Process.Signal(signal) }

// Kill kills the process of the node and waits for its end.
func (n *Node) Kill() {
	n.Signal(syscall.SIGKILL)
	<-n.exited
}

// Stop sends SIGTERM to the process of the node, and SIGKILL after the grace period.
func (n *Node) Stop() {
	n.Signal(syscall.SIGTERM)
	select {
	case <-n.exited:
	case <-time.After(8 * time.Second):
		n.Kill()
	}
}

// Wipe empties the disk of the node.
func (n *Node) Wipe() error {
	if err := os.RemoveAll(n.Data); err != nil {
		return err
	}
	return os.MkdirAll(n.Data, 0o755)
}

// UsedMemory returns the bytes of memory that the node's process uses and that no file backs; zero if
// it has ended.
func (n *Node) UsedMemory() int {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.command.Process.Pid))
	for _, line := range strings.Split(string(data), "\n") {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kib, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(value, "kB")))
			return kib << 10
		}
	}
	return 0
}

// Exited reports whether the process of the node has ended.
func (n *Node) Exited() bool {
	select {
	case <-n.exited:
		return true
	default:
		return false
	}
}

// Log returns the lines of the node's log that contain a text.
func (n *Node) Log(text string) []string {
	data, _ := os.ReadFile(n.log)
	var lines []string
	for _, line := range strings.Split(string(data), "\n") {
		if strings.Contains(line, text) {
			lines = append(lines, line)
		}
	}
	return lines
}

// WaitReady waits until all fronts are ready.
func (r *Rig) WaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, n := range r.Fronts {
			resp, err := client.Get("http://" + n.Ready + platform.PathReady)
			if err != nil {
				continue
			}
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(r.Fronts) {
			return nil
		}
	}
	return errors.New("the fronts did not become ready")
}

// settleTime is how long the machines have run when traffic starts.
const settleTime = 10 * time.Second

// Settle waits until traffic may start.
func (r *Rig) Settle() { time.Sleep(time.Until(r.start.Add(settleTime))) }

// SetStore makes the store refuse all calls of nodes with 503, or serve them again.
func (r *Rig) SetStore(refuses bool) {
	status := 0
	if refuses {
		status = http.StatusServiceUnavailable
	}
	for _, n := range r.Nodes() {
		n.kv.SetFaults(stand.KVFaults{RefusalStatus: status})
	}
}

// Nodes returns all nodes.
func (r *Rig) Nodes() []*Node { return append(append([]*Node{}, r.Fronts...), r.Stores...) }

// Close ends all processes that the rig started.
func (r *Rig) Close() {
	for _, n := range r.Nodes() {
		if n.command != nil && n.command.Process != nil {
			n.Signal(syscall.SIGCONT)
			n.Kill()
		}
	}
	for _, w := range r.engines {
		w.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.Dir)
	} else {
		r.Note("logs are in %s", r.Dir)
	}
	_ = r.record.Close()
}
