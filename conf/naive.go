package conf

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"quetzalpier"
)

// PatchNaive is the naive baseline that Patch is compared with: it applies the
// patch to the current configuration whatever its number, and starts over when a
// call fails.
func PatchNaive(ctx context.Context, kv quetzalpier.KV, _ uint64, id string, patch []byte) (quetzalpier.Config, error) {
	var err error
	for range maxSwapAttempts {
		config, rev, readErr := Read(ctx, kv)
		if readErr != nil {
			err = readErr
			continue
		}
		next, applyErr := Apply(config, id, patch)
		if applyErr != nil {
			return config, applyErr
		}
		body, encodeErr := json.Marshal(next)
		if encodeErr != nil {
			return config, errors.Wrap(encodeErr, "encode configuration")
		}
		if _, err = kv.CompareAndSwap(ctx, Key, body, rev, ""); err == nil {
			return next, nil
		}
	}
	return quetzalpier.Config{}, err
}
