// Package conf maintains the operators' configuration: it applies numbered patches
// to the document in the platform's key-value service, and watches the document
// to update the nodes.
package conf

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/pkg/errors"

	"quetzalpier"
	"quetzalpier/sleep"
)

// Key is the key of the configuration in the key-value service.
const Key = "config"

// A swap is attempted at most maxSwapAttempts times, swapRetryDelay apart.
const (
	maxSwapAttempts = 4
	swapRetryDelay  = 150 * time.Millisecond
)

// StaleError reports that a patch was based on an outdated configuration number.
type StaleError struct {
	Expected uint64
	Number   uint64
}

// Error implements error.
func (e *StaleError) Error() string {
	return fmt.Sprintf("patch against number %d, the configuration is at %d", e.Expected, e.Number)
}

// PatchError reports that a patch can't be applied to the configuration.
type PatchError struct{ Err error }

// Error implements error.
func (e *PatchError) Error() string { return "apply configuration patch: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *PatchError) Unwrap() error { return e.Err }

// Apply merges a patch into a configuration. It increments the number and
// appends the patch's ID to the configuration's PatchIDs.
func Apply(config quetzalpier.Config, id string, patch []byte) (quetzalpier.Config, error) {
	var next quetzalpier.Config
	before, err := json.Marshal(config)
	if err != nil {
		return next, errors.Wrap(err, "encode configuration")
	}
	merged, err := jsonpatch.MergePatch(before, patch)
	if err != nil {
		return next, &PatchError{err}
	}
	next, err = quetzalpier.DecodeStrict(merged)
	if err != nil {
		return next, &PatchError{err}
	}
	next.Number = config.Number + 1
	next.PatchIDs = append(append([]string(nil), config.PatchIDs...), id)
	if extra := len(next.PatchIDs) - quetzalpier.MaxPatchIDs; extra > 0 {
		next.PatchIDs = next.PatchIDs[extra:]
	}
	return next, nil
}

// Read returns the configuration and its revision in the service.
func Read(ctx context.Context, kv quetzalpier.KV) (quetzalpier.Config, uint64, error) {
	var config quetzalpier.Config
	entry, err := kv.Get(ctx, Key)
	if err != nil || entry.Rev == 0 {
		return config, 0, err
	}
	err = json.Unmarshal(entry.Value, &config)
	return config, entry.Rev, errors.Wrap(err, "decode configuration")
}

// Patch applies a patch that is based on the configuration number. If the
// outcome of the swap is unknown, it is repeated, which can take effect once at
// most, and the IDs in the document show whether an earlier attempt did.
// OutcomeUnknownError means that the outcome is still unknown; the patch may be
// sent again with the same ID.
func Patch(ctx context.Context, kv quetzalpier.KV, number uint64, id string, patch []byte) (quetzalpier.Config, error) {
	config, rev, err := Read(ctx, kv)
	if err != nil {
		return config, &quetzalpier.RefusedError{Call: "patch", Reason: err.Error()}
	}
	if config.HasPatch(id) {
		return config, nil
	}
	if config.Number != number {
		return config, &StaleError{Expected: number, Number: config.Number}
	}
	next, err := Apply(config, id, patch)
	if err != nil {
		return config, err
	}
	body, err := json.Marshal(next)
	if err != nil {
		return config, errors.Wrap(err, "encode configuration")
	}
	return swapWithRetry(ctx, kv, next, body, rev, id)
}

// swapWithRetry writes the document if the key is at revision rev. It retries
// until the write succeeds or the key is at another revision.
func swapWithRetry(ctx context.Context, kv quetzalpier.KV, next quetzalpier.Config, body []byte, rev uint64, id string) (quetzalpier.Config, error) {
	var err error
	sent := false
	for range maxSwapAttempts {
		_, err = kv.CompareAndSwap(ctx, Key, body, rev, "")
		var mismatch *quetzalpier.RevisionError
		var unknown *quetzalpier.OutcomeUnknownError
		switch {
		case err == nil:
			return next, nil
		case errors.As(err, &mismatch):
			return readOutcome(ctx, kv, next.Number-1, id)
		case errors.As(err, &unknown):
			sent = true
		}
		if !sleep.For(ctx, swapRetryDelay) {
			break
		}
	}
	if sent {
		return next, &quetzalpier.OutcomeUnknownError{Call: "patch", Reason: err.Error()}
	}
	return next, err
}

// readOutcome reads the configuration after a swap found another revision: an
// earlier attempt of the same patch may have written it.
func readOutcome(ctx context.Context, kv quetzalpier.KV, expected uint64, id string) (quetzalpier.Config, error) {
	config, _, err := Read(ctx, kv)
	if err != nil {
		return config, &quetzalpier.OutcomeUnknownError{Call: "patch", Reason: err.Error()}
	}
	if config.HasPatch(id) {
		return config, nil
	}
	return config, &StaleError{Expected: expected, Number: config.Number}
}
