package conf

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"quetzalpier"
)

// PatchNaive is the naive baseline that Patch is measured against: it applies
// the patch to whatever is there, and does it all again when an answer is lost.
func PatchNaive(ctx context.Context, kv quetzalpier.KV, _ uint64, id string, patch []byte) (quetzalpier.Config, error) {
	var err error
	for range settleTries {
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
		if _, err = kv.Swap(ctx, Key, body, rev, ""); err == nil {
			return next, nil
		}
	}
	return quetzalpier.Config{}, err
}
