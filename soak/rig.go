// Package soak runs the real programs as separate processes on loopback
// addresses, injects faults from outside them, and checks what callers and
// upstreams see against the promises of the service.
package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"quetzalpier"
	"quetzalpier/platform"
	"quetzalpier/setup"
	"quetzalpier/stand"
)

const (
	// Host and the prefixes are those of the routes of every run.
	Host      = "soak.example"
	batchPath = "/batch/"
	scorePath = "/score/"
	viewPath  = "/view/"
	poolLM    = "lm"
	poolApp   = "app"
	modelName = "m0"
	// stopTime is the grace of a planned stop.
	stopTime = 8 * time.Second
)

// Options configure a deployment.
type Options struct {
	// Program is the binary, which takes the command "serve", and Env is added
	// to its environment.
	Program string
	Env     []string
	// Dir holds settings, disks and logs.
	Dir     string
	Fronts  int
	Stores  int
	Engines int
	Plains  int
	// Pace is the time of an event.
	Pace time.Duration
}

// Node is a process of the service.
type Node struct {
	Settings setup.Serve
	// Link leads to the key-value service.
	Link *Proxy

	rig     *Rig
	command *exec.Cmd
	ended   chan struct{}
	// busy is set while a fault has the process in its hands, doomed when its
	// end was asked for, and strayed when it ended without.
	busy    atomic.Bool
	doomed  atomic.Bool
	strayed atomic.Bool
}

// Rig is one deployment.
type Rig struct {
	Options

	KV      *stand.KV
	Engines []*stand.Worker
	Plains  []*stand.Worker
	Fronts  []*Node
	Stores  []*Node
	config  quetzalpier.Config
	number  int32
	nodes   int
	waits   conc.WaitGroup
}

// Open starts a deployment.
func Open(options Options) (*Rig, error) {
	kv, err := stand.NewKV("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Rig{Options: options, KV: kv, number: rigs.Add(1)}
	if err := r.open(); err != nil {
		r.Close()
		return nil, err
	}
	return r, nil
}

func (r *Rig) open() error {
	for i := range r.Options.Engines {
		options := stand.WorkerOptions{
			ID: fmt.Sprintf("engine-%d", i), Pool: poolLM, Domain: domain(i), Slots: 8,
			Models: map[string]quetzalpier.Version{modelName: 1}, Pace: r.Pace, Load: 300 * time.Millisecond,
		}
		if err := r.worker(&r.Engines, options); err != nil {
			return err
		}
	}
	for i := range r.Options.Plains {
		options := stand.WorkerOptions{ID: fmt.Sprintf("plain-%d", i), Pool: poolApp, Domain: domain(i), Slots: 6, Pace: 5 * time.Millisecond}
		if err := r.worker(&r.Plains, options); err != nil {
			return err
		}
	}
	if err := r.Configure(); err != nil {
		return err
	}
	for i := range r.Options.Stores {
		if err := r.node(&r.Stores, fmt.Sprintf("store-%d", i), "store", i); err != nil {
			return err
		}
	}
	for i := range r.Options.Fronts {
		if err := r.node(&r.Fronts, fmt.Sprintf("front-%d", i), "front", i); err != nil {
			return err
		}
	}
	return nil
}

func domain(i int) string { return fmt.Sprintf("domain-%d", i%3) }

func (r *Rig) worker(list *[]*stand.Worker, options stand.WorkerOptions) error {
	w, err := stand.NewWorker("127.0.0.1:0", options)
	if err != nil {
		return err
	}
	*list = append(*list, w)
	return r.List(w.VM())
}

// List writes an upstream's entry.
func (r *Rig) List(vm quetzalpier.VM) error {
	write, err := platform.EncodeVM(vm)
	if err != nil {
		return err
	}
	return r.write(write)
}

// Configure writes the next configuration.
func (r *Rig) Configure() error {
	r.config = quetzalpier.Config{
		Number: r.config.Number + 3,
		Pools: map[string]quetzalpier.Pool{
			poolLM:  {Kind: quetzalpier.KindEngine, Slots: 8, Models: []string{modelName}},
			poolApp: {Kind: quetzalpier.KindPlain},
		},
		InputLimits: quetzalpier.Input{MaxBodyBytes: 32 << 20},
		Routes: []quetzalpier.Route{
			{
				Name: "batch", Host: Host, Prefix: batchPath, Batch: true, CanResume: true, MaxAttempts: 3, LatencyObjective: 400 * time.Millisecond,
				JobObjective: 8 * time.Second, TaskTTL: 40 * time.Second, Targets: []quetzalpier.Target{{Pool: poolLM, Weight: 1}},
			},
			{Name: "score", Host: Host, Prefix: scorePath, Idempotent: true, MaxAttempts: 4, Timeout: 3 * time.Second, Targets: []quetzalpier.Target{{Pool: poolApp, Weight: 1}}},
			{Name: "view", Host: Host, Prefix: viewPath, Idempotent: true, MaxAttempts: 2, Timeout: 1500 * time.Millisecond, Targets: []quetzalpier.Target{{Pool: poolApp, Weight: 1}}},
		},
	}
	write, err := platform.EncodeConfig(r.config)
	if err != nil {
		return err
	}
	return r.write(write)
}

// Name names a version of the weights, as the trainer does.
func (r *Rig) Name(version quetzalpier.Version) error {
	write, err := platform.EncodeVersion(modelName, version)
	if err != nil {
		return err
	}
	return r.write(write)
}

func (r *Rig) write(write quetzalpier.Write) error {
	_, err := r.KV.Commit(context.Background(), quetzalpier.Txn{Writes: []quetzalpier.Write{write}})
	return err
}

func (r *Rig) node(list *[]*Node, name, class string, i int) error {
	link, err := NewProxy(r.KV.Addr)
	if err != nil {
		return err
	}
	settings := setup.ServeDefaults()
	settings.Name, settings.Class, settings.Domain = name, class, domain(i)
	settings.KV, settings.MemoryMiB, settings.MaxDiskLosses = link.Addr, 284, 1
	settings.StopTimeout, settings.OrderInterval = setup.Duration(stopTime), setup.Duration(time.Second)
	addrs := r.addresses(4)
	settings.Peer = addrs[0]
	if class == "front" {
		settings.Front, settings.Ready, settings.Lookup = addrs[1], addrs[2], addrs[3]
	} else {
		settings.DataDir = filepath.Join(r.Dir, name)
		if err := os.MkdirAll(settings.DataDir, 0o755); err != nil {
			return err
		}
	}
	n := &Node{Settings: settings, Link: link, rig: r}
	*list = append(*list, n)
	return n.Start()
}

// rigs counts the deployments of this process.
var rigs atomic.Int32

// firstPort is the first port of each node; addresses differ between nodes, so
// that no outgoing connection can have taken it.
const firstPort = 7100

// addresses returns addresses for one node on a loopback IP of its own.
func (r *Rig) addresses(n int) []string {
	r.nodes++
	host := stand.Host(int(r.number)*16 + r.nodes)
	var addrs []string
	for i := range n {
		addrs = append(addrs, net.JoinHostPort(host, strconv.Itoa(firstPort+i)))
	}
	return addrs
}

// Start starts the node's process.
func (n *Node) Start() error {
	file := filepath.Join(n.rig.Dir, n.Settings.Name+".toml")
	data, err := toml.Marshal(n.Settings)
	if err != nil {
		return errors.Wrap(err, "encode settings")
	}
	if err := os.WriteFile(file, data, 0o644); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.rig.Dir, n.Settings.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	n.command = exec.Command(n.rig.Program, "serve", "-c", file)
	n.command.Env = append(os.Environ(), n.rig.Env...)
	n.command.Stdout, n.command.Stderr = log, log
	if err := n.command.Start(); err != nil {
		return err
	}
	n.ended = make(chan struct{})
	n.doomed.Store(false)
	command, ended := n.command, n.ended
	n.rig.waits.Go(func() { n.reap(command, ended, log) })
	return nil
}

// reap waits for the process, so that its end is known.
func (n *Node) reap(command *exec.Cmd, ended chan struct{}, log io.Closer) {
	_ = command.Wait()
	if !n.doomed.Load() {
		n.strayed.Store(true)
	}
	_ = log.Close()
	close(ended)
}

// Faults returns which marks of a programming fault stand in the node's log.
func (n *Node) Faults() []string {
	log, err := os.ReadFile(filepath.Join(n.rig.Dir, n.Settings.Name+".log"))
	if err != nil {
		return []string{err.Error()}
	}
	var found []string
	for _, mark := range []string{"DATA RACE", "panic:", "fatal error:"} {
		if bytes.Contains(log, []byte(mark)) {
			found = append(found, mark)
		}
	}
	return found
}

// Signal sends a signal to the node's process.
func (n *Node) Signal(signal syscall.Signal) { _ = n.command.Process.Signal(signal) }

// Kill ends the process at once and waits for its end.
func (n *Node) Kill() {
	n.doomed.Store(true)
	n.Signal(syscall.SIGKILL)
	<-n.ended
}

// Stop ends the process as planned; it is killed when its grace is over.
func (n *Node) Stop() (planned bool) {
	n.doomed.Store(true)
	n.Signal(syscall.SIGTERM)
	select {
	case <-n.ended:
		return true
	case <-time.After(stopTime + time.Second):
		n.Kill()
		return false
	}
}

// Close ends everything that the rig started.
func (r *Rig) Close() {
	for _, n := range append(append([]*Node(nil), r.Fronts...), r.Stores...) {
		if n.ended != nil {
			n.Signal(syscall.SIGCONT)
			n.Kill()
		}
		n.Link.Close()
	}
	for _, w := range append(append([]*stand.Worker(nil), r.Engines...), r.Plains...) {
		w.Close()
	}
	r.KV.Close()
	r.waits.Wait()
}
