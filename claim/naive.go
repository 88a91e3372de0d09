package claim

import (
	"context"
	"encoding/json"
	"time"

	"quetzalpier"
)

// OpenNaive is the baseline for measurements of Open: it reads the claim, writes
// its own unless one is done, and proceeds even if the service does not answer.
func (r *Registry) OpenNaive(ctx context.Context, key string, requestHash uint64, _ time.Time) (*Held, *Claim, *quetzalpier.Refusal) {
	own := Claim{Hash: requestHash, Node: r.Node, Token: r.Token(), State: Open}
	entry, err := r.KV.Get(ctx, key)
	if err == nil && entry.Rev > 0 {
		var found Claim
		if json.Unmarshal(entry.Value, &found) == nil && found.State == Done {
			return nil, &found, nil
		}
	}
	if body, err := json.Marshal(own); err == nil {
		_, _ = r.KV.CompareAndSwap(ctx, key, body, entry.Rev, "")
	}
	return r.hold(key, own), nil, nil
}
