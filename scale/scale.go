// Package scale measures what many nodes cost each other and the platform:
// control traffic, processor time and memory a node, key-value calls, and the
// time from a patch's acceptance to its being in force everywhere. The nodes
// run in one process, without upstreams of their own but with a list of many.
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
	// Workers is how many upstreams the list of VMs has.
	Workers int
	// Settle is how long the fleet runs before it is measured, and Measure
	// how long it is measured.
	Settle  time.Duration
	Measure time.Duration
	// Kill ends a tenth of the nodes at once before the second patch.
	Kill bool
}

// Result is what was measured.
type Result struct {
	Nodes int `json:"nodes"`
	// SentRate and ReceivedRate are bytes of control traffic a second and node.
	SentRate     float64 `json:"sent"`
	ReceivedRate float64 `json:"received"`
	// Core is the share of a core that a node's control takes.
	Core float64 `json:"core"`
	// Memory is the heap a node holds, in bytes.
	Memory float64 `json:"memory"`
	// Reads, Writes and Waiting count key-value calls: reads (watches
	// included) and writes a second, and watches that wait.
	Reads   float64 `json:"reads"`
	Writes  float64 `json:"writes"`
	Waiting int     `json:"waiting"`
	// Lists are readings of the list of VMs a second.
	Lists float64 `json:"lists"`
	// Join is how long until all nodes knew all others, in seconds.
	Join float64 `json:"join"`
	// Force is how long until a patch was in force on all nodes, in seconds;
	// Killed the same after a tenth of the nodes was killed.
	Force  float64 `json:"force"`
	Killed float64 `json:"killed,omitempty"`
}

// limit bounds each wait.
const limit = 3 * time.Minute

type fleet struct {
	opts  Options
	kv    *stand.KV
	vms   *stand.VMs
	nodes []*node.Node
	stops []context.CancelFunc
	runs  conc.WaitGroup
}

// Measure runs a fleet and measures it.
func Measure(o Options) (Result, error) {
	f, err := start(o)
	if err != nil {
		return Result{}, err
	}
	defer f.close()
	r := Result{Nodes: o.Nodes}
	if r.Join, err = f.until(func(s *board.State) bool { return len(s.Members) == o.Nodes-1 && s.Config.Number == 1 }); err != nil {
		return r, errors.Wrap(err, "join")
	}
	time.Sleep(o.Settle)
	f.steady(&r)
	if r.Force, err = f.patch(1); err != nil {
		return r, errors.Wrap(err, "patch")
	}
	if !o.Kill {
		return r, nil
	}
	f.kill(o.Nodes / 10)
	r.Killed, err = f.patch(2)
	return r, errors.Wrap(err, "patch after the kill")
}

func start(o Options) (*fleet, error) {
	f := &fleet{opts: o}
	var err error
	if f.kv, err = stand.NewKV("127.0.0.1:0"); err != nil {
		return nil, err
	}
	if f.vms, err = stand.NewVMs("127.0.0.1:0", 0, workers(o)); err != nil {
		return nil, err
	}
	first := quetzalpier.Config{Number: 0}
	if _, err := conf.Patch(context.Background(), platform.NewKV(f.kv.Addr), first.Number, "first", firstPatch()); err != nil {
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
		ctx, stop := context.WithCancel(context.Background())
		f.nodes = append(f.nodes, n)
		f.stops = append(f.stops, stop)
		f.runs.Go(func() { n.Run(ctx) })
	}
	return f, nil
}

func firstPatch() []byte {
	return []byte(`{"pools":{"m":{"kind":"plain","slots":8}}}`)
}

// workers lists upstreams that nothing listens for: plain ones are not polled.
func workers(o Options) []quetzalpier.VM {
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

// until waits until done holds on every node's board.
func (f *fleet) until(done func(*board.State) bool) (float64, error) {
	begin := time.Now()
	for time.Since(begin) < limit {
		all := true
		for i, n := range f.nodes {
			if f.stops[i] != nil {
				n.Board.Do(func(s *board.State) { all = all && done(s) })
			}
		}
		if all {
			return time.Since(begin).Seconds(), nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return 0, errors.New("not reached in time")
}

// steady measures the fleet at rest.
func (f *fleet) steady(r *Result) {
	kv, lists, cpu := f.kv.Counts(), f.vms.Calls(), processorTime()
	sent, received := f.control()
	begin := time.Now()
	time.Sleep(f.opts.Measure)
	seconds := time.Since(begin).Seconds()
	n := float64(len(f.nodes))
	sentAfter, receivedAfter := f.control()
	after := f.kv.Counts()
	r.Core = (processorTime() - cpu).Seconds() / seconds / n
	r.SentRate = (sentAfter - sent) / seconds / n
	r.ReceivedRate = (receivedAfter - received) / seconds / n
	r.Reads = float64(after.Reads+after.Watches-kv.Reads-kv.Watches) / seconds
	r.Writes = float64(after.Writes-kv.Writes) / seconds
	r.Waiting = after.Waiting
	r.Lists = float64(f.vms.Calls()-lists) / seconds
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	r.Memory = float64(memory.HeapAlloc+memory.StackInuse) / n
}

func (f *fleet) control() (sent, received float64) {
	for _, n := range f.nodes {
		sent += value(n.Meter.Control.WithLabelValues("sent"))
		received += value(n.Meter.Control.WithLabelValues("received"))
	}
	return sent, received
}

func value(c prometheus.Counter) float64 {
	var m dto.Metric
	if err := c.Write(&m); err != nil {
		return 0
	}
	return m.GetCounter().GetValue()
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// patch patches the configuration and waits until it is in force everywhere.
func (f *fleet) patch(number uint64) (float64, error) {
	id := fmt.Sprintf("patch-%d", number)
	config, err := conf.Patch(context.Background(), platform.NewKV(f.kv.Addr), number, id, []byte(`{"callers":{"`+id+`":{"class":"internal"}}}`))
	if err != nil {
		return 0, err
	}
	return f.until(func(s *board.State) bool { return s.Config.Number >= config.Number })
}

// kill cuts random-looking nodes off at once, spread over the fleet.
func (f *fleet) kill(count int) {
	for k := range count {
		i := (k*7 + 3) % len(f.nodes)
		if f.stops[i] != nil {
			f.nodes[i].Kill()
			f.stops[i] = nil
		}
	}
}

func (f *fleet) close() {
	for _, n := range f.nodes {
		n.Kill()
	}
	f.runs.Wait()
	for _, n := range f.nodes {
		n.Close()
	}
	f.vms.Close()
	f.kv.Close()
}

// Slope fits y = a + b*x by least squares.
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

// Sorted returns the results in order of size.
func Sorted(results []Result) []Result {
	sort.Slice(results, func(i, j int) bool { return results[i].Nodes < results[j].Nodes })
	return results
}
