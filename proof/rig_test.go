package proof_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"quetzalpier"
	"quetzalpier/client"
	"quetzalpier/cmds"
	"quetzalpier/model"
	"quetzalpier/node"
	"quetzalpier/setup"
	"quetzalpier/stand"
)

// asProgram makes the test binary act as the program, so that tests can run
// nodes as processes.
const asProgram = "QUETZALPIER_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		os.Exit(cmds.Run(os.Args[1:]))
	}
	os.Exit(m.Run())
}

// patience is how long a test waits for an event before it gives up.
const patience = 60 * time.Second

var networks atomic.Int32

// rig is one deployment: a platform, upstreams and nodes on addresses of its own.
type rig struct {
	t       testing.TB
	net     string
	kv      *stand.KV
	vms     *stand.VMs
	engines []*stand.Engine
	plains  []*stand.Plain
	nodes   map[int]*running
}

// running is a node in this process or in one of its own.
type running struct {
	addr string
	node *node.Node
	stop context.CancelFunc
	cmd  *exec.Cmd
	done chan struct{}
	// ended guards stopping twice.
	ended sync.Once
}

type rigOptions struct {
	engines, plains int
	lag             time.Duration
	unfenced        bool
	params          model.Params
	swap            time.Duration
	settings        func(*setup.Node)
}

func defaultParams() model.Params {
	return model.Params{Base: 4 * time.Millisecond, PerSeq: 20 * time.Microsecond, Slots: 32, Cache: 32, Stride: 4}
}

func newRig(t testing.TB, o rigOptions) *rig {
	t.Helper()
	r := &rig{t: t, net: fmt.Sprintf("127.%d.%d", 64+os.Getpid()%128, networks.Add(1)), nodes: map[int]*running{}}
	if o.params.Slots == 0 {
		o.params = defaultParams()
	}
	var err error
	r.kv, err = stand.NewKV(r.net + ".201:7000")
	require.NoError(t, err)
	var list []quetzalpier.VM
	for i := range o.engines {
		engine, err := stand.NewEngine(stand.EngineOptions{
			Addr: fmt.Sprintf("%s.%d:8000", r.net, 101+i), Params: o.params, Version: 1, Fenced: !o.unfenced, Swap: o.swap,
		})
		require.NoError(t, err)
		r.engines = append(r.engines, engine)
		list = append(list, quetzalpier.VM{ID: fmt.Sprintf("e%d", i), Addr: engine.Addr(), Domain: "a", Kind: quetzalpier.KindEngine, Pool: "m", State: quetzalpier.VMLive, ChecksFence: !o.unfenced})
	}
	for i := range o.plains {
		plain, err := stand.NewPlain(fmt.Sprintf("%s.%d:8000", r.net, 151+i))
		require.NoError(t, err)
		r.plains = append(r.plains, plain)
		list = append(list, quetzalpier.VM{ID: fmt.Sprintf("p%d", i), Addr: plain.Addr, Domain: "a", Kind: quetzalpier.KindPlain, Pool: "svc", State: quetzalpier.VMLive})
	}
	r.vms, err = stand.NewVMs(r.net+".202:7000", o.lag, list)
	require.NoError(t, err)
	r.configure()
	t.Cleanup(r.close)
	return r
}

// configure writes the first configuration, as an operator would have before.
func (r *rig) configure() {
	config := quetzalpier.Config{
		Number: 1,
		Pools: map[string]quetzalpier.Pool{
			"m":   {Kind: quetzalpier.KindEngine, Trainer: "t", MinServing: 0.5, Slots: 32},
			"svc": {Kind: quetzalpier.KindPlain, NonIdempotentCalls: []string{"POST /pay"}, Slots: 64},
		},
		Callers: map[string]quetzalpier.Caller{"app": {Class: quetzalpier.ClassInteractive}},
	}
	body, err := json.Marshal(config)
	require.NoError(r.t, err)
	_, err = r.kv.CompareAndSwap(r.t.Context(), "config", body, 0, "")
	require.NoError(r.t, err)
}

func (r *rig) close() {
	var ends conc.WaitGroup
	for _, n := range r.nodes {
		ends.Go(func() { n.kill() })
	}
	ends.Wait()
	for _, e := range r.engines {
		e.Close()
	}
	for _, p := range r.plains {
		p.Close()
	}
	r.vms.Close()
	r.kv.Close()
}

func (r *rig) settings(i int) setup.Node {
	s := setup.Defaults()
	s.Name = fmt.Sprintf("n%d", i)
	s.Domain = "a"
	s.Roles = []string{setup.RoleGate, setup.RoleStep, setup.RolePilot, setup.RoleStore}
	s.HTTP = fmt.Sprintf("%s.%d:8080", r.net, i)
	s.Peer = fmt.Sprintf("%s.%d:7070", r.net, i)
	s.Seeds = []string{r.net + ".1:7070", r.net + ".2:7070", r.net + ".3:7070"}
	s.DataDir = filepath.Join(r.t.TempDir(), s.Name)
	s.LookupTTL = setup.Duration(time.Second)
	s.Platform = setup.Platform{KV: r.kv.Addr, VMs: r.vms.Addr}
	return s
}

// start runs nodes in this process.
func (r *rig) start(change func(*setup.Node), numbers ...int) {
	r.t.Helper()
	for _, i := range numbers {
		settings := r.settings(i)
		if change != nil {
			change(&settings)
		}
		n, err := node.New(settings, io.Discard)
		require.NoError(r.t, err)
		ctx, stop := context.WithCancel(context.Background())
		run := &running{addr: n.Addr(), node: n, stop: stop, done: make(chan struct{})}
		r.nodes[i] = run
		var wait conc.WaitGroup
		wait.Go(func() {
			defer close(run.done)
			n.Run(ctx)
			n.Close()
		})
	}
	r.joined(numbers...)
}

// spawn runs nodes as processes of their own.
func (r *rig) spawn(numbers ...int) {
	r.t.Helper()
	for _, i := range numbers {
		file := filepath.Join(r.t.TempDir(), "node.toml")
		s := r.settings(i)
		require.NoError(r.t, os.WriteFile(file, []byte(settingsText(s)), 0o600))
		cmd := exec.Command(os.Args[0], "node", "-c", file)
		cmd.Env = append(os.Environ(), asProgram+"=1")
		cmd.Stderr = nodeLog(s.Name)
		require.NoError(r.t, cmd.Start())
		run := &running{addr: s.HTTP, cmd: cmd, done: make(chan struct{})}
		r.nodes[i] = run
		var wait conc.WaitGroup
		wait.Go(func() {
			defer close(run.done)
			_ = cmd.Wait()
		})
	}
	r.joined(numbers...)
}

func settingsText(s setup.Node) string {
	return fmt.Sprintf("name = %q\ndomain = %q\nroles = [\"gate\", \"step\", \"pilot\", \"store\"]\nhttp = %q\npeer = %q\nseeds = [%q, %q, %q]\ndata = %q\nkeep = \"1s\"\n[platform]\nkv = %q\nvms = %q\n",
		s.Name, s.Domain, s.HTTP, s.Peer, s.Seeds[0], s.Seeds[1], s.Seeds[2], s.DataDir, s.Platform.KV, s.Platform.VMs)
}

// joined waits until the nodes serve and know each other and all upstreams.
func (r *rig) joined(numbers ...int) {
	r.t.Helper()
	for _, i := range numbers {
		r.eventually("node to be ready", func() bool {
			s, ok := r.status(i)
			return ok && s.Number > 0 && len(s.Upstreams) == len(r.engines)+len(r.plains) && s.alive() >= len(r.nodes)-1 && r.get(i, "/readyz") == http.StatusOK
		})
	}
}

type statusView struct {
	State     string
	Number    uint64
	Members   []struct{ ID, State string }
	Upstreams []struct {
		ID      string
		Version quetzalpier.Version
		Leaving bool
	}
	Targets map[string]quetzalpier.Version
}

func (s statusView) alive() int {
	n := 0
	for _, m := range s.Members {
		if m.State == "alive" {
			n++
		}
	}
	return n
}

func (r *rig) status(i int) (statusView, bool) {
	var s statusView
	status, body, err := fasthttp.GetTimeout(nil, "http://"+r.nodes[i].addr+"/v1/status", 2*time.Second)
	if err != nil || status != http.StatusOK {
		return s, false
	}
	return s, json.Unmarshal(body, &s) == nil
}

func (r *rig) get(i int, path string) int {
	status, _, err := fasthttp.GetTimeout(nil, "http://"+r.nodes[i].addr+path, 2*time.Second)
	if err != nil {
		return 0
	}
	return status
}

// eventually waits for an event.
func (r *rig) eventually(what string, done func() bool) {
	r.t.Helper()
	require.Eventually(r.t, done, patience, 20*time.Millisecond, "waited for "+what)
}

// kill ends a node at once; in this process it cuts it off as far as it can.
func (n *running) kill() {
	n.ended.Do(func() {
		if n.cmd != nil {
			_ = n.cmd.Process.Signal(syscall.SIGCONT)
			_ = n.cmd.Process.Kill()
			<-n.done
			return
		}
		n.stop()
		<-n.done
	})
}

// drain stops a node as planned and waits for its end.
func (n *running) drain() {
	n.ended.Do(func() {
		if n.cmd != nil {
			_ = n.cmd.Process.Signal(syscall.SIGTERM)
		} else {
			n.stop()
		}
		<-n.done
	})
}

func (n *running) signal(t testing.TB, s syscall.Signal) {
	t.Helper()
	require.NoError(t, n.cmd.Process.Signal(s))
}

func (r *rig) addrs() []string {
	var addrs []string
	for _, n := range r.nodes {
		addrs = append(addrs, n.addr)
	}
	return addrs
}

// answer is an HTTP answer read whole.
type answer struct {
	status  int
	body    string
	refusal quetzalpier.Refusal
	after   string
	err     error
}

// post sends a request once.
func post(addr, method, path, body string, headers ...string) answer {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr + path)
	req.Header.SetMethod(method)
	req.SetBodyString(body)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	single := client.Single()
	defer single.CloseIdleConnections()
	if err := single.DoTimeout(req, resp, patience); err != nil {
		return answer{err: err}
	}
	a := answer{status: resp.StatusCode(), body: string(resp.Body()), after: string(resp.Header.Peek("Retry-After"))}
	if strings.HasPrefix(string(resp.Header.ContentType()), "application/problem+json") {
		_ = json.Unmarshal(resp.Body(), &a.refusal)
	}
	return a
}

// nodeLog is where a spawned node's log goes: nowhere, unless LOGS names a folder.
func nodeLog(name string) io.Writer {
	dir := os.Getenv("LOGS")
	if dir == "" {
		return nil
	}
	file, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil
	}
	return file
}
