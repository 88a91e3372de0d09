package claim

import (
	"context"
	"encoding/json"
	"time"

	"quetzalpier"
)

// OpenNaive is the naive baseline that Open is measured against: it looks for
// a claim, writes its own if there is none, and goes on when the service's
// answer is lost.
func (b *Book) OpenNaive(ctx context.Context, key string, sum uint64, _ time.Time) (*Held, *Claim, *quetzalpier.Refusal) {
	mine := Claim{Hash: sum, Node: b.Node, Token: b.Token(), State: Open}
	entry, err := b.KV.Get(ctx, key)
	if err == nil && entry.Rev > 0 {
		var found Claim
		if json.Unmarshal(entry.Value, &found) == nil && found.State == Done {
			return nil, &found, nil
		}
	}
	if body, err := json.Marshal(mine); err == nil {
		_, _ = b.KV.Swap(ctx, key, body, entry.Rev, "")
	}
	return b.hold(key, mine), nil, nil
}
