// Package keep holds jobs on the disks of several VMs while the platform's
// key-value service can't take them. A kept job is an immutable copy that is
// known by its ID; the service alone decides what becomes of it, once any of
// its holders has brought it there.
package keep

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc/pool"

	"quetzalpier"
	"quetzalpier/sleep"
	"quetzalpier/vault"
	"quetzalpier/wire"
)

const (
	// bringEvery is the time between two tries to bring kept jobs to the service.
	bringEvery   = 250 * time.Millisecond
	bringTimeout = 1500 * time.Millisecond
	// copyTimeout bounds the writing of a copy on another VM: a sync and a way
	// there and back.
	copyTimeout = 800 * time.Millisecond
	suffix      = ".job"
	unfinished  = ".new"
)

// Keeper keeps jobs on this VM's disk and asks others to.
type Keeper struct {
	// Dir is the folder on the disk.
	Dir string
	// Losses is how many disks may be lost at a time.
	Losses int
	// History is how long a job is of any use.
	History time.Duration
	Vault   *vault.Vault
	// Peers returns the addresses of the other nodes that keep jobs.
	Peers func() []string
	// Call makes a call to another node.
	Call func(ctx context.Context, addr string, call *wire.Call) (*wire.Reply, error)
	Log  zerolog.Logger

	mu sync.Mutex
}

// TooFewError reports that fewer copies were written than disks may be lost.
type TooFewError struct {
	Job    string
	Copies int
	Wanted int
}

// Error implements error.
func (e *TooFewError) Error() string {
	return "job " + e.Job + " has too few copies"
}

// Keep writes a job to this disk and, unless it is itself a copy, to as many
// others that one is left after the worst loss. An error leaves open whether
// the job will exist.
func (k *Keeper) Keep(ctx context.Context, job *quetzalpier.Job, data []byte, copied bool) error {
	if err := k.write(job.ID, data); err != nil {
		return err
	}
	if copied || k.Losses == 0 {
		return nil
	}
	peers := k.Peers()
	if len(peers) < k.Losses {
		return &TooFewError{job.ID, 1, k.Losses + 1}
	}
	copies := pool.New().WithErrors().WithFirstError()
	for _, peer := range peers[:k.Losses] {
		copies.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, copyTimeout)
			defer cancel()
			_, err := k.Call(ctx, peer, &wire.Call{Kind: &wire.Call_Keep{Keep: &wire.Keep{Job: data, Copy: true}}})
			return err
		})
	}
	return errors.Wrapf(copies.Wait(), "job %s", job.ID)
}

// write makes the file durable under its final name.
func (k *Keeper) write(id string, data []byte) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	name, err := k.path(id)
	if err != nil {
		return err
	}
	file, err := os.Create(name + unfinished)
	if err != nil {
		return errors.Wrap(err, "keep job")
	}
	_, err = file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	if closed := file.Close(); err == nil {
		err = closed
	}
	if err == nil {
		err = os.Rename(name+unfinished, name)
	}
	if err == nil {
		err = k.sync()
	}
	return errors.Wrap(err, "keep job")
}

func (k *Keeper) path(id string) (string, error) {
	if id == "" || strings.ContainsAny(id, "/.") {
		return "", &quetzalpier.FieldError{Field: "id", Reason: "names no file: " + id}
	}
	return filepath.Join(k.Dir, id+suffix), nil
}

// sync makes the folder's names durable.
func (k *Keeper) sync() error {
	dir, err := os.Open(k.Dir)
	if err != nil {
		return err
	}
	err = dir.Sync()
	if closed := dir.Close(); err == nil {
		err = closed
	}
	return err
}

// Run brings kept jobs to the service until ctx ends. Failed tells whether the
// service can't be reached.
func (k *Keeper) Run(ctx context.Context, failed func() bool) {
	for sleep.For(ctx, bringEvery) {
		if !failed() {
			k.Bring(ctx, time.Now())
		}
	}
}

// Bring brings what is kept to the service, and tells whether nothing is left.
func (k *Keeper) Bring(ctx context.Context, now time.Time) bool {
	names, err := filepath.Glob(filepath.Join(k.Dir, "*"+suffix))
	if err != nil {
		k.Log.Error().Err(err).Msg("kept jobs not listed")
		return false
	}
	empty := true
	for _, name := range names {
		if err := k.bring(ctx, name, now); err != nil {
			k.Log.Warn().Str("file", filepath.Base(name)).Err(err).Msg("kept job not brought to the store")
			empty = false
		}
	}
	return empty
}

func (k *Keeper) bring(ctx context.Context, name string, now time.Time) error {
	data, err := os.ReadFile(name)
	if err != nil {
		return err
	}
	job, err := wire.DecodeJob(data)
	if err != nil {
		// A file that was renamed is whole; it can only be foreign.
		k.Log.Error().Str("file", name).Err(err).Msg("kept job unreadable; removed")
		return os.Remove(name)
	}
	if now.Sub(job.Put) > k.History {
		k.Log.Warn().Str("job", job.ID).Dur("age_ms", now.Sub(job.Put)).Msg("kept job is too old; removed")
		return os.Remove(name)
	}
	ctx, cancel := context.WithTimeout(ctx, bringTimeout)
	defer cancel()
	again, err := k.Vault.Put(ctx, job)
	if err != nil {
		return err
	}
	k.Log.Info().Str("job", job.ID).Bool("again", again).Dur("age_ms", now.Sub(job.Put)).Msg("kept job brought to the store")
	return os.Remove(name)
}
