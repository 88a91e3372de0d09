package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"quetzalpier"
	"quetzalpier/platform"
	"quetzalpier/sleep"
)

// openPaths starts a proxy to each upstream, whose address the node reads in place of the
// upstream's.
func (n *Node) openPaths() error {
	n.paths = map[string]*Proxy{}
	for _, w := range n.rig.workers() {
		path, err := NewProxy(w.Addr)
		if err != nil {
			return err
		}
		n.paths[w.ID] = path
	}
	n.KV.Rewrite = n.rewriteVM
	return nil
}

// rewriteVM replaces the address of an upstream's entry by that of this node's path.
func (n *Node) rewriteVM(entry quetzalpier.Entry) quetzalpier.Entry {
	if entry.Deleted || !strings.HasPrefix(entry.Key, platform.PrefixWorkers) {
		return entry
	}
	vm, err := platform.DecodeVM(entry)
	if err != nil || n.paths[vm.ID] == nil {
		return entry
	}
	vm.Addr = n.paths[vm.ID].Addr
	write, err := platform.EncodeVM(vm)
	if err != nil {
		return entry
	}
	entry.Value = write.Value
	return entry
}

// heartbeatInterval is the time between two heartbeats of an upstream.
const heartbeatInterval = time.Second

// sendHeartbeats writes the entries of the upstreams again and again until ctx ends. A node
// that read them through another one, whose paths it then used, gets its own back.
func (r *Rig) sendHeartbeats(ctx context.Context, ledger *Ledger) {
	for r.Partitions && sleep.For(ctx, heartbeatInterval) {
		r.listedMu.Lock()
		for _, vm := range r.listed {
			if err := r.writeVM(vm); err != nil {
				ledger.recordViolation("heartbeat of %s not written: %v", vm.ID, err)
			}
		}
		r.listedMu.Unlock()
	}
}

// Partition sets the mode of the node's paths to all upstreams.
func (n *Node) Partition(mode Mode) error {
	for id, path := range n.paths {
		if err := path.SetMode(mode); err != nil {
			return errors.Wrapf(err, "path from %s to %s", n.Settings.Name, id)
		}
	}
	return nil
}

// View sends a plain request through the front, once, on a new connection, and returns an
// error unless it is served within the timeout.
func (n *Node) View(ctx context.Context, id string, timeout time.Duration) error {
	status, err := n.post(ctx, viewPath+id, id, timeout)
	if err == nil && status != http.StatusOK {
		return errors.Errorf("%s answered with status %d", n.Settings.Name, status)
	}
	return err
}

// ViewOn sends a plain request through the front, on a connection of the client.
func (n *Node) ViewOn(ctx context.Context, client *http.Client, id string) (status int, err error) {
	return n.send(ctx, client, viewPath+id, id, client.Timeout)
}

// post sends a request through the front, once, on a new connection.
func (n *Node) post(ctx context.Context, path, id string, timeout time.Duration) (status int, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	return n.send(ctx, client, path, id, timeout)
}

func (n *Node) send(ctx context.Context, client *http.Client, path, id string, timeout time.Duration) (status int, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.Settings.Front+path, strings.NewReader("view"))
	if err != nil {
		return 0, err
	}
	req.Host = Host
	req.Header.Set(platform.HeaderAttempt, id)
	n.rig.authorize(req)
	req.Header.Set(platform.HeaderDeadline, fmt.Sprint(timeout.Milliseconds()))
	n.rig.recordSent(req)
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
