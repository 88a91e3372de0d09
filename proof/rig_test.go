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

// asProgram names the environment variable that makes the test binary run the
// quetzalpier command, so that tests can start nodes as processes.
const asProgram = "QUETZALPIER_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		os.Exit(cmds.Run(os.Args[1:]))
	}
	os.Exit(m.Run())
}

// waitTimeout is how long a test waits for an event before it fails.
const waitTimeout = 60 * time.Second

// subnetCount counts the loopback subnets used in this process.
var subnetCount atomic.Int32

// rig is a deployment under test: a platform, upstreams and nodes in a loopback
// subnet of its own.
type rig struct {
	t       testing.TB
	subnet  string
	kv      *stand.KV
	vms     *stand.VMs
	engines []*stand.Engine
	plains  []*stand.Plain
	nodes   map[int]*runningNode
}

// runningNode is a node in this process (node, stop) or in a process of its own
// (cmd).
type runningNode struct {
	addr string
	node *node.Node
	stop context.CancelFunc
	cmd  *exec.Cmd
	done chan struct{}
	// stopOnce makes kill and drain stop the node only once.
	stopOnce sync.Once
}

type rigOptions struct {
	engines, plains int
	listLag         time.Duration
	unfenced        bool
	params          model.Params
	swapTime        time.Duration
	settings        func(*setup.Node)
}

func defaultParams() model.Params {
	return model.Params{BaseTime: 4 * time.Millisecond, PerSeq: 20 * time.Microsecond, Slots: 32, CacheSize: 32, TokensPerStep: 4}
}

func newRig(t testing.TB, o rigOptions) *rig {
	t.Helper()
	r := &rig{t: t, subnet: fmt.Sprintf("127.%d.%d", 64+os.Getpid()%128, subnetCount.Add(1)), nodes: map[int]*runningNode{}}
	if o.params.Slots == 0 {
		o.params = defaultParams()
	}
	var err error
	r.kv, err = stand.NewKV(r.subnet + ".201:7000")
	require.NoError(t, err)
	var vms []quetzalpier.VM
	for i := range o.engines {
		engine, err := stand.NewEngine(stand.EngineOptions{
			Addr: fmt.Sprintf("%s.%d:8000", r.subnet, 101+i), Params: o.params, Version: 1, ChecksFence: !o.unfenced, SwapDuration: o.swapTime,
		})
		require.NoError(t, err)
		r.engines = append(r.engines, engine)
		vms = append(vms, quetzalpier.VM{ID: fmt.Sprintf("e%d", i), Addr: engine.Addr(), Domain: "a", Kind: quetzalpier.KindEngine, Pool: "m", State: quetzalpier.VMLive, ChecksFence: !o.unfenced})
	}
	for i := range o.plains {
		plain, err := stand.NewPlain(fmt.Sprintf("%s.%d:8000", r.subnet, 151+i))
		require.NoError(t, err)
		r.plains = append(r.plains, plain)
		vms = append(vms, quetzalpier.VM{ID: fmt.Sprintf("p%d", i), Addr: plain.Addr, Domain: "a", Kind: quetzalpier.KindPlain, Pool: "svc", State: quetzalpier.VMLive})
	}
	r.vms, err = stand.NewVMs(r.subnet+".202:7000", o.listLag, vms)
	require.NoError(t, err)
	r.writeConfig()
	t.Cleanup(r.close)
	return r
}

// writeConfig writes the first configuration to the key-value service.
func (r *rig) writeConfig() {
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
	var stops conc.WaitGroup
	for _, n := range r.nodes {
		stops.Go(func() { n.kill() })
	}
	stops.Wait()
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
	s.HTTP = fmt.Sprintf("%s.%d:8080", r.subnet, i)
	s.Peer = fmt.Sprintf("%s.%d:7070", r.subnet, i)
	s.Seeds = []string{r.subnet + ".1:7070", r.subnet + ".2:7070", r.subnet + ".3:7070"}
	s.DataDir = filepath.Join(r.t.TempDir(), s.Name)
	s.LookupTTL = setup.Duration(time.Second)
	s.Platform = setup.Platform{KV: r.kv.Addr, VMs: r.vms.Addr}
	return s
}

// start runs nodes in this process, with settings adjusted by change, and waits
// until they are ready.
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
		running := &runningNode{addr: n.Addr(), node: n, stop: stop, done: make(chan struct{})}
		r.nodes[i] = running
		var wait conc.WaitGroup
		wait.Go(func() {
			defer close(running.done)
			n.Run(ctx)
			n.Close()
		})
	}
	r.waitJoined(numbers...)
}

// startProcesses runs each node as a separate process and waits until they are
// ready.
func (r *rig) startProcesses(numbers ...int) {
	r.t.Helper()
	for _, i := range numbers {
		file := filepath.Join(r.t.TempDir(), "node.toml")
		s := r.settings(i)
		require.NoError(r.t, os.WriteFile(file, []byte(settingsTOML(s)), 0o600))
		cmd := exec.Command(os.Args[0], "node", "-c", file)
		cmd.Env = append(os.Environ(), asProgram+"=1")
		cmd.Stderr = nodeLog(s.Name)
		require.NoError(r.t, cmd.Start())
		running := &runningNode{addr: s.HTTP, cmd: cmd, done: make(chan struct{})}
		r.nodes[i] = running
		var wait conc.WaitGroup
		wait.Go(func() {
			defer close(running.done)
			_ = cmd.Wait()
		})
	}
	r.waitJoined(numbers...)
}

func settingsTOML(s setup.Node) string {
	return fmt.Sprintf("name = %q\ndomain = %q\nroles = [\"gate\", \"step\", \"pilot\", \"store\"]\nhttp = %q\npeer = %q\nseeds = [%q, %q, %q]\ndata = %q\nkeep = \"1s\"\n[platform]\nkv = %q\nvms = %q\n",
		s.Name, s.Domain, s.HTTP, s.Peer, s.Seeds[0], s.Seeds[1], s.Seeds[2], s.DataDir, s.Platform.KV, s.Platform.VMs)
}

// waitJoined waits until the nodes are ready and know each other and all
// upstreams.
func (r *rig) waitJoined(numbers ...int) {
	r.t.Helper()
	for _, i := range numbers {
		r.eventually("node to be ready", func() bool {
			s, ok := r.status(i)
			return ok && s.Number > 0 && len(s.Upstreams) == len(r.engines)+len(r.plains) && s.aliveMembers() >= len(r.nodes)-1 && r.getStatusCode(i, "/readyz") == http.StatusOK
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

func (s statusView) aliveMembers() int {
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

func (r *rig) getStatusCode(i int, path string) int {
	status, _, err := fasthttp.GetTimeout(nil, "http://"+r.nodes[i].addr+path, 2*time.Second)
	if err != nil {
		return 0
	}
	return status
}

// eventually polls done until it returns true; the test fails after waitTimeout.
func (r *rig) eventually(event string, done func() bool) {
	r.t.Helper()
	require.Eventually(r.t, done, waitTimeout, 20*time.Millisecond, "timed out waiting for "+event)
}

// kill kills a node that has its own process. A node in this process can only be
// stopped as planned.
func (n *runningNode) kill() {
	n.stopOnce.Do(func() {
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

// drain requests a planned stop and waits until the node has stopped.
func (n *runningNode) drain() {
	n.stopOnce.Do(func() {
		if n.cmd != nil {
			_ = n.cmd.Process.Signal(syscall.SIGTERM)
		} else {
			n.stop()
		}
		<-n.done
	})
}

func (n *runningNode) signal(t testing.TB, s syscall.Signal) {
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

// response is a complete HTTP response, or the error of the request.
type response struct {
	status     int
	body       string
	refusal    quetzalpier.Refusal
	retryAfter string
	err        error
}

// sendOnce sends a request without retries. headers are pairs of name and value.
func sendOnce(addr, method, path, body string, headers ...string) response {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	httpResponse := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(httpResponse)
	req.SetRequestURI("http://" + addr + path)
	req.Header.SetMethod(method)
	req.SetBodyString(body)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	httpClient := client.NewSingleAttempt()
	defer httpClient.CloseIdleConnections()
	if err := httpClient.DoTimeout(req, httpResponse, waitTimeout); err != nil {
		return response{err: err}
	}
	result := response{status: httpResponse.StatusCode(), body: string(httpResponse.Body()), retryAfter: string(httpResponse.Header.Peek("Retry-After"))}
	if strings.HasPrefix(string(httpResponse.Header.ContentType()), "application/problem+json") {
		_ = json.Unmarshal(httpResponse.Body(), &result.refusal)
	}
	return result
}

// nodeLog returns the log file of a node process in the directory named by LOGS,
// or nil if that is not set.
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
