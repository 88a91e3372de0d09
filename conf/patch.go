// Package conf keeps the operators' configuration: patches by number in the
// platform's key-value service, and the watch that brings them to the nodes.
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

// Key is where the configuration lies.
const Key = "config"

const (
	settleTries = 4
	settlePause = 150 * time.Millisecond
)

// StaleError reports a patch that was written against an outdated number.
type StaleError struct {
	Asked  uint64
	Number uint64
}

// Error implements error.
func (e *StaleError) Error() string {
	return fmt.Sprintf("patch against number %d, the configuration is at %d", e.Asked, e.Number)
}

// PatchError reports a patch that can't be applied to the configuration.
type PatchError struct{ Err error }

// Error implements error.
func (e *PatchError) Error() string { return "patch: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *PatchError) Unwrap() error { return e.Err }

// Apply merges a patch into a configuration. The result's number is one higher
// and its ids end with the patch's own.
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
	next, err = quetzalpier.StrictConfig(merged)
	if err != nil {
		return next, &PatchError{err}
	}
	next.Number = config.Number + 1
	next.IDs = append(append([]string(nil), config.IDs...), id)
	if extra := len(next.IDs) - quetzalpier.KeptIDs; extra > 0 {
		next.IDs = next.IDs[extra:]
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

// Patch applies a patch that was written against number. A lost answer is
// settled: the same swap is made again, which can take effect once at most,
// and the ids in the document tell whether it had. UnsureError means that the
// service could not be asked; the same id may be sent again.
func Patch(ctx context.Context, kv quetzalpier.KV, number uint64, id string, patch []byte) (quetzalpier.Config, error) {
	config, rev, err := Read(ctx, kv)
	if err != nil {
		return config, &quetzalpier.RefusedError{Call: "patch", Reason: err.Error()}
	}
	if config.Applied(id) {
		return config, nil
	}
	if config.Number != number {
		return config, &StaleError{Asked: number, Number: config.Number}
	}
	next, err := Apply(config, id, patch)
	if err != nil {
		return config, err
	}
	body, err := json.Marshal(next)
	if err != nil {
		return config, errors.Wrap(err, "encode configuration")
	}
	return settle(ctx, kv, next, body, rev, id)
}

func settle(ctx context.Context, kv quetzalpier.KV, next quetzalpier.Config, body []byte, rev uint64, id string) (quetzalpier.Config, error) {
	var err error
	sent := false
	for range settleTries {
		_, err = kv.Swap(ctx, Key, body, rev, "")
		var lost *quetzalpier.SwapError
		var unsure *quetzalpier.UnsureError
		switch {
		case err == nil:
			return next, nil
		case errors.As(err, &lost):
			return settled(ctx, kv, next.Number-1, id)
		case errors.As(err, &unsure):
			sent = true
		}
		if !sleep.For(ctx, settlePause) {
			break
		}
	}
	if sent {
		return next, &quetzalpier.UnsureError{Call: "patch", Reason: err.Error()}
	}
	return next, err
}

// settled reads back after a swap that found another revision: an earlier try
// of the same patch may have made it.
func settled(ctx context.Context, kv quetzalpier.KV, asked uint64, id string) (quetzalpier.Config, error) {
	config, _, err := Read(ctx, kv)
	if err != nil {
		return config, &quetzalpier.UnsureError{Call: "patch", Reason: err.Error()}
	}
	if config.Applied(id) {
		return config, nil
	}
	return config, &StaleError{Asked: asked, Number: config.Number}
}
