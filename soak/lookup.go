package soak

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
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

// Lookup asks the node which fronts clients should use.
func (n *Node) Lookup(ctx context.Context) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.Settings.Lookup+platform.PathLookup+"?name="+Host, nil)
	if err != nil {
		return nil, err
	}
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
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
