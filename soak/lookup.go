package soak

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"quetzalpier/platform"
)

// MaxStaleLookup is how long lookups may name a front that neither answers nor
// renews its lease: the users' platform allows three seconds for the discovery of a
// lost VM.
const MaxStaleLookup = 3 * time.Second

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
