// Package kit starts small deployments for the cases under review/: nodes as processes of
// their own, with the command and the settings of the deploy file, beside stand-ins of the
// platform's store and of workers.
package kit

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"quetzalpier"
	"quetzalpier/platform"
	"quetzalpier/stand"
)

const (
	program = "target/quetzalpier"
	// readyTimeout limits the wait for the fronts.
	readyTimeout = 20 * time.Second
	callTimeout  = 15 * time.Second
	// lostTime is how long a channel stays open on which an answer was lost.
	lostTime = 5 * time.Second
	// guardInterval is the time between two looks at a process's memory.
	guardInterval = 5 * time.Millisecond
	restartDelay  = 500 * time.Millisecond
)

// Exit statuses of a case.
const (
	Held   = 0
	Broken = 1
	Failed = 2
)

// Record writes what a case sends, gets and sees to its record file.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// Printf writes a line with the seconds since the start of the case.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Options configure a deployment.
type Options struct {
	Fronts, Stores int
	// Fenced is set if the workers check fences.
	Fenced bool
	// OneZone puts all fronts into one zone. Otherwise they are dealt to three, as stores are.
	OneZone bool
}

// Deployment is a small deployment.
type Deployment struct {
	*Record
	Trouble bool
	Store   *Store
	Fronts  []*Node
	Stores  []*Node

	dir     string
	options Options
	workers []*Worker
	number  uint64
}

// Node is a node of the system in a process of its own.
type Node struct {
	Name, Zone           string
	Front, Ready, Lookup string

	d       *Deployment
	file    string
	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

// Open starts the record and the platform's store of a deployment.
func Open(record string, options Options) (*Deployment, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &Deployment{
		Record: &Record{file: file, start: time.Now()}, Trouble: os.Getenv("TROUBLE") != "0", dir: dir, options: options,
	}
	if d.Store, err = openStore(d.Record); err != nil {
		return nil, err
	}
	d.Printf("trouble: %t", d.Trouble)
	return d, nil
}

// Start starts the nodes and waits until all fronts are ready.
func (d *Deployment) Start() error {
	for i := range d.options.Stores {
		n, err := d.addNode("store", i)
		if err != nil {
			return err
		}
		d.Stores = append(d.Stores, n)
	}
	for i := range d.options.Fronts {
		n, err := d.addNode("front", i)
		if err != nil {
			return err
		}
		d.Fronts = append(d.Fronts, n)
	}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, n := range d.Fronts {
			if n.IsReady() {
				ready++
			}
		}
		if ready == len(d.Fronts) {
			d.Printf("all fronts are ready")
			return nil
		}
	}
	return errors.New("the fronts did not become ready")
}

// settings is deploy/settings.toml, filled in for a machine of a small deployment.
const settings = `name = %q
class = %q
domain = %q
region = "r"
peer = "%s:7660"
front = %q
ready = %q
lookup = %q
metrics = "%s:9464"
kv = %q
memory = 284
grace = "8s"
turn = "3000ms"
fenced = %t
history = "120s"
window = "20s"
data = %q
losses = 1
`

func (d *Deployment) addNode(class string, i int) (*Node, error) {
	ip := stand.Host(1 + len(d.Fronts) + len(d.Stores))
	n := &Node{Name: fmt.Sprintf("%s-%d", class, i), d: d}
	data := ""
	if class == "front" {
		n.Front, n.Ready, n.Lookup = ip+":8144", ip+":8140", ip+":8143"
	} else {
		data = filepath.Join(d.dir, n.Name)
		if err := os.MkdirAll(data, 0o755); err != nil {
			return nil, err
		}
	}
	n.Zone = fmt.Sprintf("zone-%d", i%3)
	if class == "front" && d.options.OneZone {
		n.Zone = "zone-0"
	}
	store, err := d.Store.open(n.Name)
	if err != nil {
		return nil, err
	}
	n.file = filepath.Join(d.dir, n.Name+".toml")
	text := fmt.Sprintf(settings, n.Name, class, n.Zone, ip, n.Front, n.Ready, n.Lookup, ip, store, d.options.Fenced, data)
	if err := os.WriteFile(n.file, []byte(text), 0o644); err != nil {
		return nil, err
	}
	return n, n.Start()
}

// Start starts the node's process.
func (n *Node) Start() error {
	log, err := os.OpenFile(n.LogFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	command := exec.Command(program, "serve")
	command.Env = append(os.Environ(), "QUETZALPIER_SETTINGS="+n.file)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(exited)
	}()
	n.mu.Lock()
	n.command, n.exited = command, exited
	n.mu.Unlock()
	n.d.Printf("started %s", n.Name)
	return nil
}

// LogFile returns the file of the node's log.
func (n *Node) LogFile() string { return filepath.Join(n.d.dir, n.Name+".log") }

// PID returns the ID of the node's process.
func (n *Node) PID() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.command.Process.Pid
}

// Signal sends a signal to the node's process.
func (n *Node) Signal(signal syscall.Signal) {
	n.d.Printf("%s to %s", signal, n.Name)
	_ = n.command.Process.Signal(signal)
}

// Guard ends the node's process, as the platform does, whenever it uses more than the memory
// of its machine, and starts it again after a short delay, until ctx ends. It calls onEnd
// with the memory that was used.
func (n *Node) Guard(ctx context.Context, limitMiB int, onEnd func(n *Node, usedMiB int)) {
	for ctx.Err() == nil {
		time.Sleep(guardInterval)
		used := n.ResidentMiB()
		if used <= limitMiB {
			continue
		}
		_ = n.command.Process.Kill()
		n.Wait(readyTimeout)
		onEnd(n, used)
		time.Sleep(restartDelay)
		if ctx.Err() == nil && n.Start() != nil {
			return
		}
	}
}

// ResidentMiB returns the memory that the node's process uses.
func (n *Node) ResidentMiB() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", n.PID()))
	fields := strings.Fields(string(data))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize() >> 20
}

// Exited reports whether the node's process has ended.
func (n *Node) Exited() bool {
	select {
	case <-n.exited:
		return true
	default:
		return false
	}
}

// Wait waits for the end of the node's process.
func (n *Node) Wait(limit time.Duration) bool {
	select {
	case <-n.exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// IsReady makes the platform's status check of a front.
func (n *Node) IsReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + n.Ready + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Names asks the node for the addresses of the fronts.
func (n *Node) Names() ([]string, error) {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + n.Lookup + "/lookup?name=" + Host + "&region=r&zone=zone-0")
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body := struct {
		Addrs []string `json:"addrs"`
		TTL   float64  `json:"ttlS"`
	}{}
	err = json.NewDecoder(resp.Body).Decode(&body)
	return body.Addrs, err
}

// Close ends all that the deployment started.
func (d *Deployment) Close() {
	for _, n := range append(append([]*Node(nil), d.Fronts...), d.Stores...) {
		_ = n.command.Process.Signal(syscall.SIGCONT)
		_ = n.command.Process.Kill()
		n.Wait(5 * time.Second)
	}
	for _, w := range d.workers {
		w.Close()
	}
	d.Store.close()
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, n := range append(append([]*Node(nil), d.Fronts...), d.Stores...) {
			if data, err := os.ReadFile(n.LogFile()); err == nil {
				_ = os.WriteFile(filepath.Join(keep, n.Name+".log"), data, 0o644)
			}
		}
	}
	_ = os.RemoveAll(d.dir)
	_ = d.file.Close()
}

// Host is the host name of all routes.
const Host = "ficu95.example"

// WriteConfig writes a configuration to the store, as the operator does.
func (d *Deployment) WriteConfig(pools map[string]quetzalpier.Pool, routes []quetzalpier.Route) error {
	d.number += 3
	for i := range routes {
		routes[i].Host = Host
	}
	write, err := platform.EncodeConfig(quetzalpier.Config{
		Number: d.number, Pools: pools, Routes: routes, InputLimits: quetzalpier.Input{MaxBodyBytes: 1 << 20},
	})
	if err != nil {
		return err
	}
	d.Printf("operator writes configuration %d", d.number)
	return d.Store.Write(write)
}

// NameVersion names a version of a model, as its trainer does.
func (d *Deployment) NameVersion(model string, version quetzalpier.Version) error {
	write, err := platform.EncodeVersion(model, version)
	if err != nil {
		return err
	}
	d.Printf("trainer names version %d of %s", version, model)
	return d.Store.Write(write)
}

// Call makes a client's call on a new channel. The error is nil if a whole answer came.
func (d *Deployment) Call(addr, method, path string, header map[string]string, body []byte) (status int, answer []byte, stamp string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, "", err
	}
	req.Host = Host
	for name, value := range header {
		req.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return 0, nil, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err = io.ReadAll(resp.Body)
	return resp.StatusCode, answer, resp.Header.Get(platform.HeaderStamp), err
}

// Submit submits a batch submission at a front, as a trainer does. Its items are sent with
// the headers of the model.
func (d *Deployment) Submit(n *Node, prefix string, job quetzalpier.Job) error {
	for i := range job.Tasks {
		job.Tasks[i].Headers = map[string]string{platform.HeaderModel: job.Model, platform.HeaderTokenCounts: "16,16"}
		job.Tasks[i].MaxTokens = 32
	}
	body, err := platform.EncodeJob(job)
	if err != nil {
		return err
	}
	status, _, _, err := d.Call(n.Front, http.MethodPost, prefix+job.ID, map[string]string{platform.HeaderAttempt: job.ID, "Content-Type": "application/json"}, body)
	d.Printf("trainer: batch submission %s with %d items, oldest version %d, at %s: %d", job.ID, len(job.Tasks), job.MinVersion, n.Name, status)
	if err == nil && status != http.StatusAccepted {
		err = errors.Errorf("batch submission %s was answered %d", job.ID, status)
	}
	return err
}

// Results reads the results of a batch submission at a front.
func (d *Deployment) Results(n *Node, job string) (total int, results []quetzalpier.Result, err error) {
	status, body, _, err := d.Call(n.Front, http.MethodGet, "/lots/"+job+"?after=0", nil, nil)
	if err != nil {
		return 0, nil, err
	}
	if status != http.StatusOK {
		return 0, nil, errors.Errorf("results of %s were answered %d", job, status)
	}
	total, _, results, err = platform.DecodeResults(body)
	return total, results, err
}

// Owner returns the name of the node that owns a pool, as the store has it.
func (d *Deployment) Owner(pool string) string {
	entry, err := d.Store.kv.Get(context.Background(), "sys/own/"+pool)
	if err != nil {
		return ""
	}
	name, _, _ := strings.Cut(string(entry.Value), " ")
	return name
}

// NodeNamed returns the node with a name.
func (d *Deployment) NodeNamed(name string) *Node {
	for _, n := range append(append([]*Node(nil), d.Fronts...), d.Stores...) {
		if n.Name == name {
			return n
		}
	}
	return nil
}

// Store is a stand-in of the platform's store.
type Store struct {
	// LoseAnswer reports whether the answer of a write that was done is lost. The keys are
	// those that it wrote.
	LoseAnswer func(keys []string) bool

	kv     *stand.MemoryKV
	server *stand.Server
	record *Record
	closed chan struct{}
	mu     sync.Mutex
	down   bool
	// silent are the machines that get no response, and servers their addresses of the store.
	silent  map[string]bool
	servers []*stand.Server
	// calls are when each machine last renewed a lease or began a watch, by the call.
	calls map[string]time.Time
}

func openStore(record *Record) (*Store, error) {
	s := &Store{kv: stand.NewMemoryKV(), record: record, closed: make(chan struct{}), silent: map[string]bool{}, calls: map[string]time.Time{}}
	var err error
	s.server, err = stand.Serve("127.0.0.1:0", 0, s.handle)
	return s, err
}

// open returns an address of the store for one machine.
func (s *Store) open(machine string) (string, error) {
	server, err := stand.Serve("127.0.0.1:0", 0, func(c *fasthttp.RequestCtx) {
		s.mu.Lock()
		silent := s.silent[machine]
		switch {
		case strings.HasPrefix(string(c.Path()), "/kv-keep/"):
			s.calls[machine+" renews"] = time.Now()
		case string(c.Path()) == "/kv-watch":
			s.calls[machine+" watches "+string(c.QueryArgs().Peek("prefix"))] = time.Now()
		}
		s.mu.Unlock()
		if !silent {
			s.handle(c)
			return
		}
		s.record.Printf("store: gives %s no response to %s %s", machine, c.Method(), c.RequestURI())
		// The channel returns nothing further.
		c.HijackSetNoResponse(true)
		c.Hijack(func(net.Conn) { <-s.closed })
	})
	if err != nil {
		return "", err
	}
	s.servers = append(s.servers, server)
	return server.Addr, nil
}

// SetSilent makes the store give a machine no response to its calls, or serve it again.
func (s *Store) SetSilent(machine string, silent bool) {
	s.record.Printf("store: silent for %s %t", machine, silent)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent[machine] = silent
}

// Since returns how long ago a machine last made a call.
func (s *Store) Since(machine, call string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.calls[machine+" "+call])
}

func (s *Store) close() {
	close(s.closed)
	for _, server := range s.servers {
		server.Close()
	}
	s.server.Close()
}

// Addr returns the store's address.
func (s *Store) Addr() string { return s.server.Addr }

// Write writes a key.
func (s *Store) Write(write quetzalpier.Write) error {
	_, err := s.kv.Commit(context.Background(), quetzalpier.Txn{Writes: []quetzalpier.Write{write}})
	return err
}

// SetLoseAnswer sets LoseAnswer.
func (s *Store) SetLoseAnswer(lose func(keys []string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.LoseAnswer = lose
}

// SetDown makes the store turn away all calls, or serve them again.
func (s *Store) SetDown(down bool) {
	s.record.Printf("store: down %t", down)
	s.mu.Lock()
	s.down = down
	s.mu.Unlock()
	if down {
		s.kv.CutWatches()
	}
}

func (s *Store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

func (s *Store) handle(c *fasthttp.RequestCtx) {
	if s.isDown() {
		c.SetStatusCode(http.StatusServiceUnavailable)
		return
	}
	platform.HandleKV(s.kv, c)
	if c.IsGet() || c.Response.StatusCode() != http.StatusOK {
		return
	}
	txn := struct {
		Writes []struct {
			Key string `json:"key"`
		} `json:"writes"`
		Deletes []string `json:"deletes"`
	}{}
	if json.Unmarshal(c.PostBody(), &txn) != nil || len(txn.Writes)+len(txn.Deletes) == 0 {
		return
	}
	var keys []string
	for _, write := range txn.Writes {
		keys = append(keys, write.Key)
	}
	keys = append(keys, txn.Deletes...)
	sort.Strings(keys)
	s.mu.Lock()
	lose := s.LoseAnswer
	s.mu.Unlock()
	if lose != nil && lose(keys) {
		s.record.Printf("store: write of %v is done, its answer is lost", keys)
		// The channel returns nothing further.
		conn := c.Conn()
		c.HijackSetNoResponse(true)
		c.Hijack(func(net.Conn) {
			time.Sleep(lostTime)
			_ = conn.Close()
		})
	}
}

// FreePort returns a free address on a loopback IP of its own.
func FreePort() (net.Listener, error) {
	addr, err := stand.FreeAddr()
	if err != nil {
		return nil, err
	}
	return net.Listen("tcp", addr)
}
