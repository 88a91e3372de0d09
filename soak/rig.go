// Package soak runs the nodes as separate processes on loopback addresses,
// injects faults from the outside, and checks that what callers and upstreams
// observe keeps the guarantees of the service.
package soak

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
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
	// Host is the host name of all routes; the path constants are their prefixes.
	Host      = "soak.example"
	batchPath = "/batch/"
	scorePath = "/score/"
	viewPath  = "/view/"
	poolLM    = "lm"
	poolSpare = "spare"
	poolApp   = "app"
	modelName = "m0"
	// stopTimeout is the time that a node has for a planned stop.
	stopTimeout = 8 * time.Second
	// defaultMemoryMiB is the memory limit of the nodes, in MiB.
	defaultMemoryMiB = 284
)

// inputLimits are the limits of the clients in the configuration.
var inputLimits = quetzalpier.Input{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 32 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

// Options configure a deployment.
type Options struct {
	// Program is the path of the binary, which must have the command "serve".
	// Env is added to its environment.
	Program string
	Env     []string
	// Dir holds the nodes' settings files, data directories and logs.
	Dir     string
	Fronts  int
	Stores  int
	Engines int
	// SpareEngines is the number of engines of a second pool, to which the batch route can be
	// moved.
	SpareEngines int
	Plains       int
	// SoftwareVersions is the number of versions of the engines' software.
	SoftwareVersions int
	// EventInterval is the time that an engine takes for each stream event.
	EventInterval time.Duration
	// Partitions gives each node a path of its own to each upstream, which can be
	// partitioned. Each node has a failure domain of its own then, since the nodes of one
	// read the upstreams' addresses from each other.
	Partitions bool
	// ClientKey is the API key that the clients send; empty for a configuration without
	// customers.
	ClientKey string
	// FrontMemoryMiB and StoreMemoryMiB are the nodes' memory limits in MiB, and Files their
	// limit of open files; zero for the defaults.
	FrontMemoryMiB, StoreMemoryMiB int
	Files                          int
}

// Node is a node of the service in a process of its own.
type Node struct {
	Settings setup.Serve
	// KV is the node's own address of the key-value service, and KVProxy connects the
	// node to it.
	KV      *stand.KV
	KVProxy *Proxy
	// paths connect the node to the upstreams, by ID; empty without Options.Partitions.
	paths map[string]*Proxy

	rig     *Rig
	command *exec.Cmd
	exited  chan struct{}
	// pid is the ID of the process; zero before the first start.
	pid atomic.Int64
	// disturbed is set while a process fault is injected. exitExpected is set
	// when the rig stops the process; exitedUnexpectedly when the process exits
	// without that.
	disturbed          atomic.Bool
	exitExpected       atomic.Bool
	exitedUnexpectedly atomic.Bool
	// running is when the process started or resumed, and lost when it was killed or
	// paused since, in Unix nanoseconds; zero if it was not.
	running atomic.Int64
	lost    atomic.Int64
	// partitionedAt is when the node was partitioned from all upstreams, in Unix nanoseconds;
	// zero if it is not.
	partitionedAt atomic.Int64
}

// Rig is a deployment under test: nodes, upstreams and a key-value service.
type Rig struct {
	Options

	KV      *stand.KV
	Engines []*stand.Worker
	Plains  []*stand.Worker
	Fronts  []*Node
	Stores  []*Node
	// configMu guards config, keys, routes and batchPool.
	configMu sync.Mutex
	config   quetzalpier.Config
	// keys are the API keys of customers, by name, besides the clients' own.
	keys map[string][]string
	// routes are routes that the configuration has besides the usual ones.
	routes []quetzalpier.Route
	// batchPool is the pool that the batch route leads to; empty for the first one.
	batchPool string
	// listed are the upstreams as they were last listed, by ID.
	listedMu  sync.Mutex
	listed    map[string]quetzalpier.VM
	version   atomic.Uint64
	faults    *faultHistory
	sent      sentRequests
	processes conc.WaitGroup
}

// Open starts a deployment; on an error it closes what it started.
func Open(options Options) (*Rig, error) {
	kv, err := stand.NewKV("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Rig{Options: options, KV: kv, faults: newFaultHistory()}
	if err := r.start(); err != nil {
		r.Close()
		return nil, err
	}
	return r, nil
}

func (r *Rig) start() error {
	if err := r.startEngines(poolLM, "engine", r.Options.Engines); err != nil {
		return err
	}
	if err := r.startEngines(poolSpare, "spare", r.SpareEngines); err != nil {
		return err
	}
	for i := range r.Options.Plains {
		options := stand.WorkerOptions{ID: fmt.Sprintf("plain-%d", i), Pool: poolApp, Domain: domain(i), Slots: 6, EventInterval: 5 * time.Millisecond}
		if err := r.startWorker(&r.Plains, options); err != nil {
			return err
		}
	}
	if err := r.WriteConfig(); err != nil {
		return err
	}
	for i := range r.Options.Stores {
		if err := r.startNode(&r.Stores, fmt.Sprintf("store-%d", i), "store", i); err != nil {
			return err
		}
	}
	for i := range r.Options.Fronts {
		if err := r.startNode(&r.Fronts, fmt.Sprintf("front-%d", i), "front", i); err != nil {
			return err
		}
	}
	return nil
}

func (r *Rig) startEngines(pool, name string, count int) error {
	for i := range count {
		options := stand.WorkerOptions{
			ID: fmt.Sprintf("%s-%d", name, i), Pool: pool, Domain: domain(i), Slots: 8,
			Models: map[string]quetzalpier.Version{modelName: 1}, EventInterval: r.EventInterval, SwapDuration: 300 * time.Millisecond,
			Software: fmt.Sprintf("v%d", 1+i%max(1, r.SoftwareVersions)),
		}
		if err := r.startWorker(&r.Engines, options); err != nil {
			return err
		}
	}
	return nil
}

func (r *Rig) nodes() []*Node { return append(append([]*Node(nil), r.Fronts...), r.Stores...) }

func (r *Rig) nodeNames() []string {
	var names []string
	for _, n := range r.nodes() {
		names = append(names, n.Settings.Name)
	}
	return names
}

func (r *Rig) workers() []*stand.Worker {
	return append(append([]*stand.Worker(nil), r.Engines...), r.Plains...)
}

func domain(i int) string { return fmt.Sprintf("domain-%d", i%3) }

func (r *Rig) startWorker(started *[]*stand.Worker, options stand.WorkerOptions) error {
	options.TagRuns = true
	w, err := stand.NewWorker("127.0.0.1:0", options)
	if err != nil {
		return err
	}
	*started = append(*started, w)
	return r.WriteVM(w.VM())
}

// WriteVM writes an upstream's entry to the key-value service.
func (r *Rig) WriteVM(vm quetzalpier.VM) error {
	r.listedMu.Lock()
	defer r.listedMu.Unlock()
	if r.listed == nil {
		r.listed = map[string]quetzalpier.VM{}
	}
	r.listed[vm.ID] = vm
	return r.writeVM(vm)
}

func (r *Rig) writeVM(vm quetzalpier.VM) error {
	write, err := platform.EncodeVM(vm)
	if err != nil {
		return err
	}
	return r.commit(write)
}

// WriteConfig writes the configuration to the key-value service, under a higher
// number than the last one.
func (r *Rig) WriteConfig() error {
	r.configMu.Lock()
	defer r.configMu.Unlock()
	return r.writeConfig()
}

// writeConfig does what WriteConfig does; the caller holds the lock.
func (r *Rig) writeConfig() error {
	r.config = quetzalpier.Config{
		Number: r.config.Number + 3,
		Pools: map[string]quetzalpier.Pool{
			poolLM:  {Kind: quetzalpier.KindEngine, Slots: 8, Models: []string{modelName}},
			poolApp: {Kind: quetzalpier.KindPlain},
		},
		InputLimits: inputLimits,
		Routes: []quetzalpier.Route{
			{
				Name: "batch", Host: Host, Prefix: batchPath, Batch: true, CanResume: true, MaxAttempts: 3, LatencyObjective: 400 * time.Millisecond,
				JobObjective: 8 * time.Second, TaskTTL: 40 * time.Second, Targets: []quetzalpier.Target{{Pool: cmp.Or(r.batchPool, poolLM), Weight: 1}},
			},
			{Name: "score", Host: Host, Prefix: scorePath, Idempotent: true, MaxAttempts: 4, Timeout: 3 * time.Second, Targets: []quetzalpier.Target{{Pool: poolApp, Weight: 1}}},
			{Name: "view", Host: Host, Prefix: viewPath, Idempotent: true, MaxAttempts: 2, Timeout: 1500 * time.Millisecond, Targets: []quetzalpier.Target{{Pool: poolApp, Weight: 1}}},
			streamRoute,
			orderRoute,
		},
	}
	if r.SpareEngines > 0 {
		r.config.Pools[poolSpare] = r.config.Pools[poolLM]
	}
	r.config.Routes = append(r.config.Routes, r.routes...)
	for _, route := range r.routes {
		for _, target := range route.Targets {
			if _, known := r.config.Pools[target.Pool]; !known {
				r.config.Pools[target.Pool] = quetzalpier.Pool{Kind: quetzalpier.KindPlain}
			}
		}
	}
	write, err := platform.EncodeConfig(r.config)
	if err == nil && r.ClientKey != "" {
		keys := maps.Clone(r.keys)
		if keys == nil {
			keys = map[string][]string{}
		}
		keys[clientName] = append(keys[clientName], r.ClientKey)
		write, err = platform.WithKeys(write, keys)
	}
	if err != nil {
		return err
	}
	return r.commit(write)
}

// AddRoutes writes a configuration with further routes. Unknown pools are plain ones.
func (r *Rig) AddRoutes(routes ...quetzalpier.Route) error {
	r.configMu.Lock()
	defer r.configMu.Unlock()
	r.routes = append(r.routes, routes...)
	return r.writeConfig()
}

// moveBatchRoute writes a configuration whose batch route leads to a pool.
func (r *Rig) moveBatchRoute(pool string) error {
	r.configMu.Lock()
	defer r.configMu.Unlock()
	r.batchPool = pool
	return r.writeConfig()
}

// clientName is the name of the clients' customer.
const clientName = "soak"

// SetKeys writes a configuration with the API keys of customers besides the clients' own.
func (r *Rig) SetKeys(keys map[string][]string) error {
	r.configMu.Lock()
	defer r.configMu.Unlock()
	r.keys = keys
	return r.writeConfig()
}

// authorize adds the clients' API key to a request.
func (r *Rig) authorize(req *http.Request) {
	if r.ClientKey != "" {
		req.Header.Set(platform.HeaderAuthorization, "Bearer "+r.ClientKey)
	}
}

// WriteVersion sets the weight version of the model, as a trainer does.
func (r *Rig) WriteVersion(version quetzalpier.Version) error {
	write, err := platform.EncodeVersion(modelName, version)
	if err != nil {
		return err
	}
	r.version.Store(uint64(version))
	return r.commit(write)
}

func (r *Rig) commit(write quetzalpier.Write) error {
	_, err := r.KV.Commit(context.Background(), quetzalpier.Txn{Writes: []quetzalpier.Write{write}})
	return err
}

// AddFront starts a further front.
func (r *Rig) AddFront() error {
	i := len(r.Fronts)
	return r.startNode(&r.Fronts, fmt.Sprintf("front-%d", i), "front", i)
}

// AddStore starts a further node with a disk.
func (r *Rig) AddStore() error {
	i := len(r.Stores)
	return r.startNode(&r.Stores, fmt.Sprintf("store-%d", i), "store", i)
}

func (r *Rig) startNode(started *[]*Node, name, class string, i int) error {
	kv, err := r.KV.Share("127.0.0.1:0")
	if err != nil {
		return err
	}
	proxy, err := NewProxy(kv.Addr)
	if err != nil {
		kv.Close()
		return err
	}
	settings := setup.ServeDefaults()
	settings.Name, settings.Class, settings.Domain = name, class, domain(i)
	settings.KV, settings.MemoryMiB, settings.MaxDiskLosses = proxy.Addr, cmp.Or(r.StoreMemoryMiB, defaultMemoryMiB), 1
	settings.Files = cmp.Or(r.Files, settings.Files)
	settings.StopTimeout, settings.OrderInterval = setup.Duration(stopTimeout), setup.Duration(time.Second)
	addrs := nodeAddrs(5)
	settings.Peer, settings.Metrics = addrs[0], addrs[4]
	if class == "front" {
		settings.Front, settings.Ready, settings.Lookup = addrs[1], addrs[2], addrs[3]
		settings.MemoryMiB = cmp.Or(r.FrontMemoryMiB, defaultMemoryMiB)
	} else {
		settings.DataDir = filepath.Join(r.Dir, name)
		if err := os.MkdirAll(settings.DataDir, 0o755); err != nil {
			return err
		}
	}
	n := &Node{Settings: settings, KV: kv, KVProxy: proxy, rig: r}
	*started = append(*started, n)
	if r.Partitions {
		n.Settings.Domain = name
		if err := n.openPaths(); err != nil {
			return err
		}
	}
	return n.Start()
}

// nodeCount counts the nodes that the deployments of this process have had.
var nodeCount atomic.Int32

// firstPort is the first port of each node. Each node has an IP of its own, so
// that no outgoing connection can occupy the port.
const firstPort = 7100

// nodeAddrs returns n addresses for a new node, on a loopback IP of its own.
func nodeAddrs(n int) []string {
	host := stand.Host(int(nodeCount.Add(1)))
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
	// The kernel resumes the paused processes of a group when its last parent of
	// another group exits.
	n.command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := n.command.Start(); err != nil {
		return err
	}
	n.pid.Store(int64(n.command.Process.Pid))
	n.recordRunning(time.Now())
	n.exited = make(chan struct{})
	n.exitExpected.Store(false)
	command, exited := n.command, n.exited
	n.rig.processes.Go(func() { n.waitExit(command, exited, log) })
	return nil
}

// waitExit waits until the process exits and records an unexpected exit.
func (n *Node) waitExit(command *exec.Cmd, exited chan struct{}, log io.Closer) {
	_ = command.Wait()
	if !n.exitExpected.Load() {
		n.exitedUnexpectedly.Store(true)
	}
	_ = log.Close()
	close(exited)
}

// maxReport limits the report that is kept of a programming error, in bytes.
const maxReport = 6 << 10

// LoggedFaults returns the reports of programming errors found in the node's log, the first one of
// each kind: data races, panics and fatal errors.
func (n *Node) LoggedFaults() []string {
	log, err := os.ReadFile(filepath.Join(n.rig.Dir, n.Settings.Name+".log"))
	if err != nil {
		return []string{err.Error()}
	}
	var found []string
	for _, sign := range []string{"DATA RACE", "panic:", "fatal error:"} {
		if at := bytes.Index(log, []byte(sign)); at >= 0 {
			found = append(found, string(log[at:min(len(log), at+maxReport)]))
		}
	}
	return found
}

// PeakWarnings returns the largest number of warnings and errors that the node
// logged in one second.
func (n *Node) PeakWarnings() (int, error) {
	log, err := os.ReadFile(filepath.Join(n.rig.Dir, n.Settings.Name+".log"))
	if err != nil {
		return 0, err
	}
	peak := 0
	bySecond := map[int64]int{}
	for text := range bytes.Lines(log) {
		line := struct {
			Level string    `json:"level"`
			Time  time.Time `json:"time"`
		}{}
		// Panics and reports of the race detector are no JSON; LoggedFaults finds them.
		if json.Unmarshal(text, &line) != nil || (line.Level != "warn" && line.Level != "error") {
			continue
		}
		second := line.Time.Unix()
		bySecond[second]++
		peak = max(peak, bySecond[second])
	}
	return peak, nil
}

// Signal sends a signal to the node's process.
func (n *Node) Signal(signal syscall.Signal) {
	switch signal {
	case syscall.SIGKILL, syscall.SIGSTOP:
		n.lost.CompareAndSwap(0, time.Now().UnixNano())
	case syscall.SIGCONT:
		n.recordRunning(time.Now())
	}
	_ = n.command.Process.Signal(signal)
}

func (n *Node) recordRunning(now time.Time) {
	n.running.Store(now.UnixNano())
	n.lost.Store(0)
}

// lostFor returns how long the process has been killed or paused; zero if it runs.
func (n *Node) lostFor(now time.Time) time.Duration {
	lost := n.lost.Load()
	if lost == 0 {
		return 0
	}
	return now.Sub(time.Unix(0, lost))
}

// runningFor returns how long the process has run without a pause; zero if it does not.
func (n *Node) runningFor(now time.Time) time.Duration {
	if n.lost.Load() != 0 {
		return 0
	}
	return now.Sub(time.Unix(0, n.running.Load()))
}

// Kill kills the process and waits until it has exited.
func (n *Node) Kill() {
	n.exitExpected.Store(true)
	n.Signal(syscall.SIGKILL)
	<-n.exited
}

// Stop requests a planned stop and reports whether the process exited in time;
// otherwise it kills the process.
func (n *Node) Stop() (inTime bool) {
	n.exitExpected.Store(true)
	n.Signal(syscall.SIGTERM)
	select {
	case <-n.exited:
		return true
	case <-time.After(stopTimeout):
		n.Kill()
		return false
	}
}

// Close stops all nodes, upstreams and the key-value service.
func (r *Rig) Close() {
	for _, n := range r.nodes() {
		if n.exited != nil {
			n.Signal(syscall.SIGCONT)
			n.Kill()
		}
		n.KVProxy.Close()
		for _, path := range n.paths {
			path.Close()
		}
		n.KV.SetFaults(stand.KVFaults{})
		n.KV.Close()
	}
	for _, w := range r.workers() {
		w.Close()
	}
	r.KV.Close()
	r.processes.Wait()
}
