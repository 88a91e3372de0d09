package main

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"

	"quetzalpier"
	"quetzalpier/lease"
	"quetzalpier/platform"
	"quetzalpier/setup"
	"quetzalpier/stand"
	"quetzalpier/vault"
)

const (
	host      = "trial.example"
	modelName = "m0"
	// graceTime is the time between SIGTERM and SIGKILL, and restartDelay the pause before the
	// platform starts a process that has ended again.
	graceTime    = 8 * time.Second
	restartDelay = 500 * time.Millisecond
	callTimeout  = 5 * time.Second
	// program is the binary that the build of the deploy file makes.
	program = "target/quetzalpier"
)

// rig is a small deployment on loopback addresses.
type rig struct {
	dir     string
	kv      *stand.KV
	nodes   []*node
	workers map[string]*stand.Worker
	config  quetzalpier.Config

	startedAt time.Time
	mu        sync.Mutex
	record    *os.File
}

// node is a process of the system.
type node struct {
	setup.Serve

	kv      *stand.KV
	rig     *rig
	command *exec.Cmd
	exited  chan struct{}
}

func openRig(dir, record string) (*rig, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, errors.Wrap(err, "create the record")
	}
	addr, err := stand.FreeAddr()
	if err != nil {
		return nil, err
	}
	kv, err := stand.NewKV(addr)
	if err != nil {
		return nil, err
	}
	return &rig{dir: dir, kv: kv, workers: map[string]*stand.Worker{}, record: file, startedAt: time.Now()}, nil
}

// note writes a line to the record.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.record, "%8.3f %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

func (r *rig) commit(write quetzalpier.Write, err error) error {
	if err != nil {
		return err
	}
	_, err = r.kv.Commit(context.Background(), quetzalpier.Txn{Writes: []quetzalpier.Write{write}})
	return errors.Wrap(err, "write to the store")
}

// addWorker starts a worker and lists it.
func (r *rig) addWorker(options stand.WorkerOptions) (*stand.Worker, error) {
	addr, err := stand.FreeAddr()
	if err != nil {
		return nil, err
	}
	w, err := stand.NewWorker(addr, options)
	if err != nil {
		return nil, err
	}
	r.workers[options.ID] = w
	return w, r.list(w.VM())
}

// list writes the entry of a worker.
func (r *rig) list(vm quetzalpier.VM) error { return r.commit(platform.EncodeVM(vm)) }

// configure writes a configuration with these routes.
func (r *rig) configure(routes ...quetzalpier.Route) error {
	r.config.Number += 3
	r.config.Routes = routes
	r.config.InputLimits = quetzalpier.Input{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 32 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	if err := r.commit(platform.EncodeConfig(r.config)); err != nil {
		return err
	}
	for _, route := range routes {
		r.note("config %d: route %s leads to %v", r.config.Number, route.Name, route.Targets)
	}
	return nil
}

// addNode starts a process of a class in a zone, with settings like those of hraunmot-rollout.
func (r *rig) addNode(name, class, zone string) (*node, error) {
	addr, err := stand.FreeAddr()
	if err != nil {
		return nil, err
	}
	kv, err := r.kv.Share(addr)
	if err != nil {
		return nil, err
	}
	settings := setup.ServeDefaults()
	settings.Name, settings.Class, settings.Domain, settings.Region, settings.KV = name, class, zone, "reykjanes", kv.Addr
	settings.MemoryMiB, settings.Files, settings.StopTimeout = 284, 4100, setup.Duration(graceTime)
	settings.OrderInterval, settings.FencingEnforced, settings.MaxDiskLosses = setup.Duration(3*time.Second), true, 1
	ip := stand.Host(100 + len(r.nodes))
	at := func(port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }
	settings.Peer, settings.Metrics = at(7660), at(9464)
	if class == "front" {
		settings.Front, settings.Ready, settings.Lookup = at(8144), at(8140), at(8143)
	} else {
		settings.MemoryMiB, settings.Files, settings.DataDir = 314, 8200, filepath.Join(r.dir, name)
		if err := os.MkdirAll(settings.DataDir, 0o755); err != nil {
			return nil, errors.Wrap(err, "create the data directory")
		}
	}
	n := &node{Serve: settings, kv: kv, rig: r}
	r.nodes = append(r.nodes, n)
	return n, n.start()
}

// addNodes starts fronts and stores, one of each in each zone.
func (r *rig) addNodes(zones ...string) (fronts, stores []*node, err error) {
	for _, zone := range zones {
		for _, class := range []string{"store", "front"} {
			n, err := r.addNode(class+"-"+zone+"-1", class, zone)
			if err != nil {
				return nil, nil, err
			}
			if class == "front" {
				fronts = append(fronts, n)
			} else {
				stores = append(stores, n)
			}
		}
	}
	for _, n := range fronts {
		if err := r.await(10*time.Second, func() bool { return isReady(n.Ready) }); err != nil {
			return nil, nil, errors.Wrap(err, n.Name+" is not ready")
		}
	}
	return fronts, stores, nil
}

func (n *node) start() error {
	file := filepath.Join(n.rig.dir, n.Name+".toml")
	data, err := toml.Marshal(n.Serve)
	if err != nil {
		return errors.Wrap(err, "encode settings")
	}
	if err := os.WriteFile(file, data, 0o644); err != nil {
		return errors.Wrap(err, "write settings")
	}
	log, err := os.OpenFile(filepath.Join(n.rig.dir, n.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	n.command = exec.Command(program, "serve")
	n.command.Env = append(os.Environ(), "QUETZALPIER_SETTINGS="+file)
	n.command.Stdout, n.command.Stderr = log, log
	n.command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := n.command.Start(); err != nil {
		return errors.Wrap(err, "start "+n.Name)
	}
	command, exited := n.command, make(chan struct{})
	n.exited = exited
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(exited)
	}()
	n.rig.note("%s started", n.Name)
	return nil
}

func (n *node) signal(signal syscall.Signal) {
	n.rig.note("%s gets %s", n.Name, signal)
	_ = n.command.Process.Signal(signal)
}

// restart stops the process as planned, and starts it again.
func (n *node) restart() error {
	n.signal(syscall.SIGTERM)
	select {
	case <-n.exited:
	case <-time.After(graceTime):
		n.signal(syscall.SIGKILL)
		<-n.exited
	}
	n.rig.note("%s ended", n.Name)
	time.Sleep(restartDelay)
	return n.start()
}

// close ends all processes.
func (r *rig) close() {
	for _, n := range r.nodes {
		_ = n.command.Process.Signal(syscall.SIGCONT)
		_ = n.command.Process.Kill()
		<-n.exited
		n.kv.SetFaults(stand.KVFaults{})
		n.kv.Close()
	}
	for _, w := range r.workers {
		w.Close()
	}
	r.kv.Close()
	_ = r.record.Close()
}

// await waits until a condition holds.
func (r *rig) await(limit time.Duration, holds func() bool) error {
	for end := time.Now().Add(limit); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			return errors.Errorf("waited for %s", limit)
		}
	}
	return nil
}

func isReady(addr string) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Get("http://" + addr + "/ready")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// owner returns the node that processes the batch submissions of a service.
func (r *rig) owner(pool string) *node {
	entry, err := r.kv.Get(context.Background(), vault.Owners+pool)
	if err != nil {
		return nil
	}
	for _, n := range r.nodes {
		if n.Name == lease.Owner(entry.Value) {
			return n
		}
	}
	return nil
}

// reply is the answer to a client; Status is zero if there was none.
type reply struct {
	Status int
	Header http.Header
	Body   []byte
	Err    error
}

// call makes a call on a new connection, as the clients of batch submissions do.
func call(method, addr, path, id string, headers map[string]string, body []byte) reply {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return reply{Err: err}
	}
	req.Host = host
	if id != "" {
		req.Header.Set(platform.HeaderAttempt, id)
	}
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Do(req)
	if err != nil {
		return reply{Err: err}
	}
	defer func() { _ = answer.Body.Close() }()
	data, err := io.ReadAll(answer.Body)
	return reply{Status: answer.StatusCode, Header: answer.Header, Body: data, Err: err}
}

// item is one item of a batch submission.
type item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    string            `json:"body"`
	Tokens  int               `json:"tokens"`
	Group   string            `json:"group"`
	Scorer  *scorer           `json:"scorerUrl,omitempty"`
}

// scorer is the call that scores the text of an item.
type scorer struct {
	ID   string `json:"id"`
	Host string `json:"host"`
	Path string `json:"path"`
	Body string `json:"body"`
}

// batch is a batch submission.
type batch struct {
	Step         int    `json:"step"`
	Model        string `json:"model"`
	MinVersion   int    `json:"minVersion"`
	TargetGroups int    `json:"targetGroups"`
	Items        []item `json:"items"`
}

// newBatch returns a submission of items with a number of events each.
func newBatch(name, prefix string, items, perGroup, events int) batch {
	b := batch{Model: modelName, MinVersion: 1, TargetGroups: items / perGroup}
	for i := range items {
		id := fmt.Sprintf("%s-%03d", name, i)
		body := fmt.Sprintf("%d %s", events, id)
		b.Items = append(b.Items, item{
			ID: id, Path: prefix + id, Body: base64.StdEncoding.EncodeToString([]byte(body)), Tokens: 16 + events, Group: fmt.Sprintf("%s-g%d", name, i/perGroup),
			Headers: map[string]string{platform.HeaderModel: modelName, platform.HeaderTokenCounts: fmt.Sprintf("16,%d", events)},
		})
	}
	return b
}

// scored adds a call that scores the text to each item, unless the prefix of its path is empty.
func (b batch) scored(prefix string) batch {
	for i := range b.Items {
		if it := &b.Items[i]; prefix != "" {
			it.Scorer = &scorer{ID: "r" + it.ID, Host: host, Path: prefix + it.ID, Body: base64.StdEncoding.EncodeToString([]byte(it.ID))}
		}
	}
	return b
}

// submit submits a batch submission at one node.
func (r *rig) submit(n *node, id, prefix string, b batch) reply {
	data, err := json.Marshal(b)
	if err != nil {
		return reply{Err: err}
	}
	got := call(http.MethodPost, n.Front, prefix+id, id, map[string]string{"Content-Type": "application/json"}, data)
	r.note("submission %s with %d items at %s: status %d, error %v", id, len(b.Items), n.Name, got.Status, got.Err)
	return got
}

// results is an answer to a read of results.
type results struct {
	Total     int `json:"total"`
	NextToken int `json:"nextToken"`
	Results   []struct {
		ID       string `json:"id"`
		State    string `json:"state"`
		Text     string `json:"text"`
		Versions []int  `json:"versions"`
	} `json:"results"`
}

// read reads results from a position on.
func (r *rig) read(n *node, id string, after int) (results, reply) {
	got := call(http.MethodGet, n.Front, "/lots/"+id+"?after="+strconv.Itoa(after), "", nil, nil)
	list := results{}
	if got.Err == nil && got.Status == http.StatusOK {
		got.Err = json.Unmarshal(got.Body, &list)
	}
	r.note("read %s from %d at %s: status %d, total %d, %d results, error %v", id, after, n.Name, got.Status, list.Total, len(list.Results), got.Err)
	return list, got
}
