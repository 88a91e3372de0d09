// Package keep stores jobs on the disks of several VMs while the platform's
// key-value service can't accept them. A kept job is an immutable copy that is
// identified by its ID. Once any of the VMs has submitted it to the service,
// the service alone holds its state.
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
	"quetzalpier/disk"
	"quetzalpier/sleep"
	"quetzalpier/vault"
	"quetzalpier/wire"
)

const (
	// submitInterval is the time between two attempts to submit kept jobs to
	// the service.
	submitInterval = 250 * time.Millisecond
	submitTimeout  = 1500 * time.Millisecond
	// copyTimeout limits the writing of a copy on another VM, which takes a
	// disk sync and a network round trip.
	copyTimeout = 800 * time.Millisecond
	fileSuffix  = ".job"
)

// Keeper writes jobs to this VM's disk and has other nodes write copies.
type Keeper struct {
	// Dir is the directory of the job files.
	Dir string
	// MaxLostDisks is how many disks may be lost at a time without losing a job.
	MaxLostDisks int
	// Retention is how long a job is needed after its submission.
	Retention time.Duration
	Vault     *vault.Vault
	// Peers returns the addresses of the other nodes that keep jobs.
	Peers func() []string
	// Call makes a call to another node.
	Call func(ctx context.Context, addr string, call *wire.Call) (*wire.Reply, error)
	Log  zerolog.Logger

	mu     sync.Mutex
	closed bool
}

// TooFewCopiesError reports that there are too few nodes for a job to survive
// the loss of as many disks as configured.
type TooFewCopiesError struct {
	Job    string
	Copies int
	Wanted int
}

// Error implements error.
func (e *TooFewCopiesError) Error() string {
	return "job " + e.Job + ": too few nodes to keep enough copies"
}

// ClosedError reports that this node keeps no further jobs.
type ClosedError struct {
	Job string
}

// Error implements error.
func (e *ClosedError) Error() string { return "job " + e.Job + ": this node keeps no further jobs" }

// Close makes Keep refuse further jobs with a ClosedError. Those on the disk are still
// submitted.
func (k *Keeper) Close() { k.setClosed(true) }

// Open makes Keep accept jobs again.
func (k *Keeper) Open() { k.setClosed(false) }

func (k *Keeper) setClosed(closed bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.closed = closed
}

// Keep writes a job to this disk and, unless it is a copy already, to as many
// others that one copy survives the worst configured loss of disks. It returns the job
// that the disk keeps: one that was submitted before has precedence. After an
// error the job may still come to exist, since some copies may have been
// written. The error is a ForeignJobError if a disk keeps another customer's job
// with the same ID.
func (k *Keeper) Keep(ctx context.Context, job *quetzalpier.Job, data []byte, isCopy bool) (*quetzalpier.Job, error) {
	earlier, err := k.write(job, data)
	if err != nil {
		return nil, err
	}
	created := earlier.job == nil
	if !created {
		job, data = earlier.job, earlier.data
	}
	if isCopy || k.MaxLostDisks == 0 {
		return job, nil
	}
	peers := k.Peers()
	if len(peers) < k.MaxLostDisks {
		return nil, &TooFewCopiesError{job.ID, 1, k.MaxLostDisks + 1}
	}
	err = errors.Wrapf(k.copyTo(ctx, peers, job, data), "copy job %s to other nodes", job.ID)
	var foreign *quetzalpier.ForeignJobError
	if created && errors.As(err, &foreign) {
		// Submitted before the other customer's job, this one would take its ID.
		k.remove(job.ID)
	}
	return job, err
}

// copyTo has as many nodes write a copy as disks may be lost. A node that fails is replaced by one
// of those left, which are in the order of preference.
func (k *Keeper) copyTo(ctx context.Context, peers []string, job *quetzalpier.Job, data []byte) error {
	left := make(chan string, len(peers))
	for _, peer := range peers {
		left <- peer
	}
	close(left)
	copies := pool.New().WithErrors().WithFirstError()
	for range k.MaxLostDisks {
		copies.Go(func() error {
			var failed error = &TooFewCopiesError{job.ID, 1, k.MaxLostDisks + 1}
			for peer := range left {
				err := k.copyOnce(ctx, peer, job, data)
				var foreign *quetzalpier.ForeignJobError
				if err == nil || errors.As(err, &foreign) || ctx.Err() != nil {
					return err
				}
				failed = err
			}
			return failed
		})
	}
	return copies.Wait()
}

func (k *Keeper) copyOnce(ctx context.Context, peer string, job *quetzalpier.Job, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	reply, err := k.Call(ctx, peer, &wire.Call{Kind: &wire.Call_Keep{Keep: &wire.Keep{Job: data, Copy: true}}})
	if err == nil && wire.IsForeign(reply) {
		err = &quetzalpier.ForeignJobError{Job: job.ID}
	}
	return err
}

// remove removes the file of a job.
func (k *Keeper) remove(id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	name, err := k.path(id)
	if err == nil {
		err = os.Remove(name)
	}
	if err != nil {
		k.Log.Error().Str("job", id).Err(err).Msg("failed to remove kept job")
	}
}

// Holds reports whether a job is on this disk and not yet submitted.
func (k *Keeper) Holds(id string) (bool, error) {
	name, err := k.path(id)
	if err != nil {
		// No job with such an ID is written.
		return false, nil
	}
	_, err = os.Stat(name)
	if errors.Is(err, os.ErrNotExist) {
		return false, nil
	}
	return err == nil, errors.Wrap(err, "look up kept job")
}

// keptJob is a job on the disk and its encoding; the zero value is none.
type keptJob struct {
	job  *quetzalpier.Job
	data []byte
}

// write writes the file and syncs it to disk under its final name, unless it holds a job with
// the same ID already. It returns that job, or a ForeignJobError if it is another customer's.
func (k *Keeper) write(job *quetzalpier.Job, data []byte) (earlier keptJob, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.closed {
		return keptJob{}, &ClosedError{job.ID}
	}
	name, err := k.path(job.ID)
	if err != nil {
		return keptJob{}, err
	}
	if earlier.data, err = os.ReadFile(name); err == nil {
		if earlier.job, err = wire.DecodeJob(earlier.data); err == nil && !earlier.job.OwnedBy(job.Customer) {
			return keptJob{}, &quetzalpier.ForeignJobError{Job: job.ID}
		}
		if err == nil {
			return earlier, nil
		}
		k.Log.Error().Str("job", job.ID).Err(err).Msg("failed to decode kept job; replacing its file")
	}
	return keptJob{}, errors.Wrap(disk.Replace(name, data), "keep job")
}

func (k *Keeper) path(id string) (string, error) {
	if id == "" || strings.ContainsAny(id, "/.") {
		return "", &quetzalpier.FieldError{Field: "id", Reason: "names no file: " + id}
	}
	return filepath.Join(k.Dir, id+fileSuffix), nil
}

// Run submits kept jobs to the service until ctx ends. unavailable reports
// whether the service can't be reached.
func (k *Keeper) Run(ctx context.Context, unavailable func() bool) {
	for sleep.For(ctx, submitInterval) {
		if !unavailable() {
			k.SubmitAll(ctx, time.Now())
		}
	}
}

// SubmitAll submits the kept jobs to the service and reports whether none is
// left.
func (k *Keeper) SubmitAll(ctx context.Context, now time.Time) bool {
	names, err := filepath.Glob(filepath.Join(k.Dir, "*"+fileSuffix))
	if err != nil {
		k.Log.Error().Err(err).Msg("failed to list kept jobs")
		return false
	}
	empty := true
	for _, name := range names {
		if err := k.submitFile(ctx, name, now); err != nil {
			k.Log.Warn().Str("file", filepath.Base(name)).Err(err).Msg("failed to submit kept job to the key-value service")
			empty = false
		}
	}
	return empty
}

func (k *Keeper) submitFile(ctx context.Context, name string, now time.Time) error {
	data, err := os.ReadFile(name)
	if errors.Is(err, os.ErrNotExist) {
		// Another call of SubmitAll has submitted it.
		return nil
	}
	if err != nil {
		return err
	}
	job, err := wire.DecodeJob(data)
	if err != nil {
		// A file with the final name is complete, so another program wrote this one.
		k.Log.Error().Str("file", name).Err(err).Msg("failed to decode kept job; removing its file")
		return os.Remove(name)
	}
	if now.Sub(job.SubmittedAt) > k.Retention {
		k.Log.Warn().Str("job", job.ID).Dur("age_ms", now.Sub(job.SubmittedAt)).Msg("kept job is too old; removing its file")
		return os.Remove(name)
	}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	exists, err := k.Vault.Put(ctx, job)
	var foreign *quetzalpier.ForeignJobError
	if errors.As(err, &foreign) {
		k.Log.Error().Str("job", job.ID).Str("customer", job.Customer).Err(err).Msg("kept job can't be submitted; removing its file")
		return os.Remove(name)
	}
	if err != nil {
		return err
	}
	k.Log.Info().Str("job", job.ID).Bool("again", exists).Dur("age_ms", now.Sub(job.SubmittedAt)).Msg("submitted kept job to the key-value service")
	return os.Remove(name)
}
