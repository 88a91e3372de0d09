package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"quetzalpier/platform"
	"quetzalpier/sleep"
)

// MaxStaleLookup is how long lookups may name a front that neither answers nor
// renews its lease: the users' platform allows three seconds for the discovery of a
// lost VM.
const MaxStaleLookup = 3 * time.Second

// lookupPause is the time between two lookups of a check.
const lookupPause = 50 * time.Millisecond

// LookupStage is how far a lookup got.
type LookupStage int32

// The stages of a lookup.
const (
	LookupConnecting LookupStage = iota
	LookupSending
	LookupWaiting
)

// String implements fmt.Stringer.
func (s LookupStage) String() string {
	switch s {
	case LookupConnecting:
		return "connecting"
	case LookupSending:
		return "sending the request"
	default:
		return "waiting for the response"
	}
}

// LookupError reports a lookup that got no response.
type LookupError struct {
	Node  string
	Stage LookupStage
	Took  time.Duration
	Err   error
}

// Error implements error.
func (e *LookupError) Error() string {
	return fmt.Sprintf("lookup at %s failed after %s, %s: %s", e.Node, e.Took, e.Stage, e.Err)
}

// Unwrap returns the error of the HTTP client.
func (e *LookupError) Unwrap() error { return e.Err }

// Lookup asks the node which fronts clients should use.
func (n *Node) Lookup(ctx context.Context) ([]string, error) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	var stage atomic.Int32
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:      func(httptrace.GotConnInfo) { stage.Store(int32(LookupSending)) },
		WroteRequest: func(httptrace.WroteRequestInfo) { stage.Store(int32(LookupWaiting)) },
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.Settings.Lookup+platform.PathLookup+"?name="+Host, nil)
	if err != nil {
		return nil, err
	}
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, &LookupError{Node: n.Settings.Name, Stage: LookupStage(stage.Load()), Took: time.Since(start), Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("lookup at %s: status %d", n.Settings.Name, resp.StatusCode)
	}
	answer := struct {
		Addrs []string `json:"addrs"`
	}{}
	err = json.NewDecoder(resp.Body).Decode(&answer)
	return answer.Addrs, errors.Wrapf(err, "lookup at %s", n.Settings.Name)
}

// Names reports whether a lookup at the node names the other front.
func (n *Node) Names(ctx context.Context, other *Node) (bool, error) {
	addrs, err := n.Lookup(ctx)
	return slices.Contains(addrs, other.Settings.Front), err
}

// checkLookups asks random fronts for addresses until ctx ends, and checks that none is
// that of a front lost for longer than MaxStaleLookup. Fronts that have run for less
// than that are not asked: a node needs some time to find out which others answer.
func (r *Rig) checkLookups(ctx context.Context, ledger *Ledger, seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 4))
	for sleep.For(ctx, lookupPause) {
		asked := r.Fronts[rnd.IntN(len(r.Fronts))]
		now := time.Now()
		if asked.runningFor(now) < MaxStaleLookup {
			continue
		}
		addrs, err := asked.Lookup(ctx)
		// The asked front may have been paused since.
		if err != nil || asked.runningFor(time.Now()) < MaxStaleLookup {
			continue
		}
		ledger.recordLookup()
		for _, n := range r.Fronts {
			if lost := n.lostFor(now); lost > MaxStaleLookup && slices.Contains(addrs, n.Settings.Front) {
				ledger.recordViolation("a lookup at %s names %s, lost for %s", asked.Settings.Name, n.Settings.Name, lost)
			}
		}
	}
}
