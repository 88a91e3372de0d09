// Package scale measures the control overhead of a cluster of many nodes: control
// traffic, CPU time and memory per node, calls to the key-value service, and the
// time until an accepted patch is in force on all nodes. The nodes run in one
// process. Their list of VMs is long, but none of the upstreams in it runs.
package scale

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"sort"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
	"github.com/sourcegraph/conc"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/conf"
	"quetzalpier/node"
	"quetzalpier/platform"
	"quetzalpier/setup"
	"quetzalpier/stand"
)

// Options describe a measurement.
type Options struct {
	Nodes   int
	Domains int
	// Workers is the number of upstreams in the list of VMs.
	Workers int
	// Settle is how long the fleet runs before the measurement, and Measure how long
	// the measurement takes.
	Settle  time.Duration
	Measure time.Duration
	// Kill kills a tenth of the nodes at once before the second patch.
	Kill bool
}

// Result is the result of a measurement.
type Result struct {
	Nodes int `json:"nodes"`
	// SentRate and ReceivedRate are control traffic in bytes per second and node.
	SentRate     float64 `json:"sent"`
	ReceivedRate float64 `json:"received"`
	// CPUShare is the CPU time per node as a share of a core.
	CPUShare float64 `json:"core"`
	// Memory is the heap and stack memory per node, in bytes.
	Memory float64 `json:"memory"`
	// Reads (watches included) and Writes are calls to the key-value service per
	// second. OpenWatches is the number of open watches.
	Reads       float64 `json:"reads"`
	Writes      float64 `json:"writes"`
	OpenWatches int     `json:"waiting"`
	// VMListReads is the number of reads of the list of VMs per second.
	VMListReads float64 `json:"lists"`
	// JoinSeconds is the time until every node knew all others, in seconds.
	JoinSeconds float64 `json:"join"`
	// PatchSeconds is the time until a patch was in force on all nodes, in seconds.
	// PatchSecondsAfterKill is the same after a tenth of the nodes was killed.
	PatchSeconds          float64 `json:"force"`
	PatchSecondsAfterKill float64 `json:"killed,omitempty"`
}

// waitTimeout limits the wait for the nodes to join or for a patch to be in force.
const waitTimeout = 3 * time.Minute

type fleet struct {
	opts    Options
	kv      *stand.KV
	vms     *stand.VMs
	nodes   []*node.Node
	cancels []context.CancelFunc
	running conc.WaitGroup
}

// Measure starts a fleet, measures it and stops it.
func Measure(o Options) (Result, error) {
	f, err := startFleet(o)
	if err != nil {
		return Result{}, err
	}
	defer f.close()
	r := Result{Nodes: o.Nodes}
	if r.JoinSeconds, err = f.waitFor(func(s *board.State) bool { return len(s.Members) == o.Nodes-1 && s.Config.Number == 1 }); err != nil {
		return r, errors.Wrap(err, "wait until the nodes have joined")
	}
	time.Sleep(o.Settle)
	f.measureIdle(&r)
	if r.PatchSeconds, err = f.patch(1); err != nil {
		return r, errors.Wrap(err, "apply the first patch")
	}
	if !o.Kill {
		return r, nil
	}
	f.kill(o.Nodes / 10)
	r.PatchSecondsAfterKill, err = f.patch(2)
	return r, errors.Wrap(err, "apply a patch after killing nodes")
}

func startFleet(o Options) (*fleet, error) {
	f := &fleet{opts: o}
	var err error
	if f.kv, err = stand.NewKV("127.0.0.1:0"); err != nil {
		return nil, err
	}
	if f.vms, err = stand.NewVMs("127.0.0.1:0", 0, workerVMs(o)); err != nil {
		return nil, err
	}
	first := quetzalpier.Config{Number: 0}
	if _, err := conf.Patch(context.Background(), platform.NewKV(f.kv.Addr), first.Number, "first", initialPatch()); err != nil {
		return nil, err
	}
	var seeds []string
	for i := range o.Nodes {
		settings := f.settings(i, seeds)
		n, err := node.New(settings, io.Discard)
		if err != nil {
			return nil, err
		}
		if i < 3 {
			seeds = append(seeds, n.PeerAddr())
		}
		ctx, cancel := context.WithCancel(context.Background())
		f.nodes = append(f.nodes, n)
		f.cancels = append(f.cancels, cancel)
		f.running.Go(func() { n.Run(ctx) })
	}
	return f, nil
}

func initialPatch() []byte {
	return []byte(`{"pools":{"m":{"kind":"plain","slots":8}}}`)
}

// workerVMs returns upstreams on addresses without a listener. They are of the
// plain kind, which nodes do not poll.
func workerVMs(o Options) []quetzalpier.VM {
	var list []quetzalpier.VM
	for i := range o.Workers {
		list = append(list, quetzalpier.VM{
			ID: fmt.Sprintf("worker-%03d", i), Addr: fmt.Sprintf("127.0.0.1:%d", 20000+i),
			Domain: fmt.Sprintf("domain-%d", i%o.Domains), Kind: quetzalpier.KindPlain, Pool: "m", State: quetzalpier.VMLive,
		})
	}
	return list
}

func (f *fleet) settings(i int, seeds []string) setup.Node {
	s := setup.Defaults()
	s.Name = fmt.Sprintf("node-%03d", i)
	s.Domain = fmt.Sprintf("domain-%d", i%f.opts.Domains)
	s.Roles = []string{setup.RoleStep, setup.RolePilot}
	s.Peer = "127.0.0.1:0"
	s.Seeds = seeds
	s.Platform = setup.Platform{KV: f.kv.Addr, VMs: f.vms.Addr}
	s.LookupTTL = setup.Duration(time.Second)
	return s
}

// waitFor waits until done returns true for the board of every running node, and
// returns the time that it took in seconds.
func (f *fleet) waitFor(done func(*board.State) bool) (float64, error) {
	begin := time.Now()
	for time.Since(begin) < waitTimeout {
		all := true
		for i, n := range f.nodes {
			if f.cancels[i] != nil {
				n.Board.Do(func(s *board.State) { all = all && done(s) })
			}
		}
		if all {
			return time.Since(begin).Seconds(), nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return 0, errors.New("timeout: condition not met on all nodes")
}

// measureIdle measures the fleet without requests or changes.
func (f *fleet) measureIdle(r *Result) {
	kvBefore, listsBefore, cpuBefore := f.kv.Counts(), f.vms.ReadCount(), cpuTime()
	sentBefore, receivedBefore := f.controlBytes()
	begin := time.Now()
	time.Sleep(f.opts.Measure)
	seconds := time.Since(begin).Seconds()
	n := float64(len(f.nodes))
	sentAfter, receivedAfter := f.controlBytes()
	kvAfter := f.kv.Counts()
	r.CPUShare = (cpuTime() - cpuBefore).Seconds() / seconds / n
	r.SentRate = (sentAfter - sentBefore) / seconds / n
	r.ReceivedRate = (receivedAfter - receivedBefore) / seconds / n
	r.Reads = float64(kvAfter.Reads+kvAfter.Watches-kvBefore.Reads-kvBefore.Watches) / seconds
	r.Writes = float64(kvAfter.Writes-kvBefore.Writes) / seconds
	r.OpenWatches = kvAfter.Waiting
	r.VMListReads = float64(f.vms.ReadCount()-listsBefore) / seconds
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	r.Memory = float64(memory.HeapAlloc+memory.StackInuse) / n
}

func (f *fleet) controlBytes() (sent, received float64) {
	for _, n := range f.nodes {
		sent += counterValue(n.Meter.ControlBytes.WithLabelValues("sent"))
		received += counterValue(n.Meter.ControlBytes.WithLabelValues("received"))
	}
	return sent, received
}

func counterValue(c prometheus.Counter) float64 {
	var m dto.Metric
	if err := c.Write(&m); err != nil {
		return 0
	}
	return m.GetCounter().GetValue()
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// patch patches the configuration and returns the time until it is in force on all
// nodes, in seconds.
func (f *fleet) patch(number uint64) (float64, error) {
	id := fmt.Sprintf("patch-%d", number)
	config, err := conf.Patch(context.Background(), platform.NewKV(f.kv.Addr), number, id, []byte(`{"callers":{"`+id+`":{"class":"internal"}}}`))
	if err != nil {
		return 0, err
	}
	return f.waitFor(func(s *board.State) bool { return s.Config.Number >= config.Number })
}

// kill kills count nodes, spread over the fleet by a fixed stride.
func (f *fleet) kill(count int) {
	for k := range count {
		i := (k*7 + 3) % len(f.nodes)
		if f.cancels[i] != nil {
			f.nodes[i].Kill()
			f.cancels[i] = nil
		}
	}
}

func (f *fleet) close() {
	for _, n := range f.nodes {
		n.Kill()
	}
	f.running.Wait()
	for _, n := range f.nodes {
		n.Close()
	}
	f.vms.Close()
	f.kv.Close()
}

// Slope fits y = a + b*x by least squares and returns a and b.
func Slope(x, y []float64) (a, b float64) {
	n := float64(len(x))
	var sx, sy, sxx, sxy float64
	for i := range x {
		sx += x[i]
		sy += y[i]
		sxx += x[i] * x[i]
		sxy += x[i] * y[i]
	}
	b = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return (sy - b*sx) / n, b
}

// SortByNodes sorts the results by the number of nodes and returns them.
func SortByNodes(results []Result) []Result {
	sort.Slice(results, func(i, j int) bool { return results[i].Nodes < results[j].Nodes })
	return results
}
