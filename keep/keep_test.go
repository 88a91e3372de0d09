package keep_test

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"quetzalpier"
	"quetzalpier/keep"
	"quetzalpier/stand"
	"quetzalpier/vault"
	"quetzalpier/wire"
)

func newJob(t *testing.T) (*quetzalpier.Job, []byte) {
	t.Helper()
	job := &quetzalpier.Job{
		ID: "j1", Model: "m", Pool: "p", SubmittedAt: time.UnixMilli(time.Now().UnixMilli()), DueAt: time.UnixMilli(1), ExpiresAt: time.UnixMilli(2),
		Tasks: []quetzalpier.Task{{ID: "t1", Path: "/t", Body: []byte("body"), Headers: map[string]string{"A": "b"}}},
	}
	data, err := wire.EncodeJob(job)
	require.NoError(t, err)
	return job, data
}

// newKeepers returns the first of n keepers, the others, and the key-value
// service that they share. Calls to the last keepers fail.
func newKeepers(t *testing.T, n, failing, losses int) (*keep.Keeper, []*keep.Keeper, *stand.MemoryKV) {
	t.Helper()
	service := stand.NewMemoryKV()
	all := map[string]*keep.Keeper{}
	var list []*keep.Keeper
	call := func(ctx context.Context, addr string, message *wire.Call) (*wire.Reply, error) {
		k := all[addr]
		if k == nil {
			return nil, errors.New("no answer")
		}
		job, err := wire.DecodeJob(message.GetKeep().GetJob())
		require.NoError(t, err)
		_, err = k.Keep(ctx, job, message.GetKeep().GetJob(), message.GetKeep().GetCopy())
		var foreign *quetzalpier.ForeignJobError
		if errors.As(err, &foreign) {
			return wire.ForeignReply(), nil
		}
		return &wire.Reply{}, err
	}
	var addrs []string
	for i := range n {
		addr := string(rune('a' + i))
		k := &keep.Keeper{Dir: t.TempDir(), MaxLostDisks: losses, Retention: time.Minute, Vault: &vault.Vault{KV: service}, Call: call, Log: zerolog.Nop()}
		if i < n-failing {
			all[addr] = k
		}
		if i > 0 {
			addrs = append(addrs, addr)
		}
		list = append(list, k)
	}
	list[0].Peers = func() []string { return addrs }
	return list[0], list[1:], service
}

func keepJob(t *testing.T, k *keep.Keeper, job *quetzalpier.Job, data []byte, isCopy bool) error {
	t.Helper()
	kept, err := k.Keep(t.Context(), job, data, isCopy)
	if err == nil {
		require.Equal(t, job, kept)
	}
	return err
}

func countFiles(t *testing.T, k *keep.Keeper) int {
	t.Helper()
	names, err := filepath.Glob(filepath.Join(k.Dir, "*.job"))
	require.NoError(t, err)
	return len(names)
}

func TestKeep(t *testing.T) {
	t.Run("a job has one copy more than disks may be lost", func(t *testing.T) {
		first, others, _ := newKeepers(t, 4, 0, 2)
		job, data := newJob(t)
		require.NoError(t, keepJob(t, first, job, data, false))
		require.Equal(t, []int{1, 1, 1, 0}, []int{countFiles(t, first), countFiles(t, others[0]), countFiles(t, others[1]), countFiles(t, others[2])})
	})
	t.Run("too few nodes for the copies is an error", func(t *testing.T) {
		first, _, _ := newKeepers(t, 1, 0, 1)
		job, data := newJob(t)
		var tooFew *keep.TooFewCopiesError
		require.True(t, errors.As(keepJob(t, first, job, data, false), &tooFew))
		require.Equal(t, keep.TooFewCopiesError{Job: "j1", Copies: 1, Wanted: 2}, *tooFew)
	})
	t.Run("a failed copy is an error", func(t *testing.T) {
		first, _, _ := newKeepers(t, 2, 1, 1)
		job, data := newJob(t)
		require.Error(t, keepJob(t, first, job, data, false))
	})
	t.Run("all nodes with a copy submit the job and it exists once", func(t *testing.T) {
		first, others, service := newKeepers(t, 2, 0, 1)
		job, data := newJob(t)
		require.NoError(t, keepJob(t, first, job, data, false))
		require.True(t, others[0].SubmitAll(t.Context(), time.Now()))
		require.True(t, first.SubmitAll(t.Context(), time.Now()))
		require.Zero(t, countFiles(t, first)+countFiles(t, others[0]))
		stored, err := (&vault.Vault{KV: service}).Get(t.Context(), "j1")
		require.NoError(t, err)
		require.Equal(t, job, stored)
	})
	t.Run("a job older than the retention time is not submitted", func(t *testing.T) {
		first, _, service := newKeepers(t, 1, 0, 0)
		job, data := newJob(t)
		require.NoError(t, keepJob(t, first, job, data, false))
		require.True(t, first.SubmitAll(t.Context(), time.Now().Add(2*time.Minute)))
		stored, err := (&vault.Vault{KV: service}).Get(t.Context(), "j1")
		require.NoError(t, err)
		require.Nil(t, stored)
	})
	t.Run("an incomplete file is not submitted", func(t *testing.T) {
		first, _, _ := newKeepers(t, 1, 0, 0)
		require.NoError(t, os.WriteFile(filepath.Join(first.Dir, "j1.job.new"), []byte("torn"), 0o600))
		require.True(t, first.SubmitAll(t.Context(), time.Now()))
	})
	t.Run("an id that is not a plain file name is refused", func(t *testing.T) {
		first, _, _ := newKeepers(t, 1, 0, 0)
		job, data := newJob(t)
		job.ID = "../j1"
		var field *quetzalpier.FieldError
		require.True(t, errors.As(keepJob(t, first, job, data, false), &field))
	})
	// Guards against two owners of a job that is submitted again, with other targets of its route.
	t.Run("a job that is submitted again does not replace its first copy", func(t *testing.T) {
		first, others, service := newKeepers(t, 2, 0, 1)
		job, data := newJob(t)
		require.NoError(t, keepJob(t, first, job, data, false))
		again := *job
		again.Pool = "q"
		againData, err := wire.EncodeJob(&again)
		require.NoError(t, err)
		for _, k := range []*keep.Keeper{first, others[0]} {
			kept, err := k.Keep(t.Context(), &again, againData, k != first)
			require.NoError(t, err)
			require.Equal(t, "p", kept.Pool)
		}
		require.True(t, others[0].SubmitAll(t.Context(), time.Now()))
		stored, err := (&vault.Vault{KV: service}).Get(t.Context(), "j1")
		require.NoError(t, err)
		require.Equal(t, "p", stored.Pool)
	})
	t.Run("a job does not replace another customer's with the same ID on any disk", func(t *testing.T) {
		first, others, _ := newKeepers(t, 2, 0, 1)
		job, data := newJobOf(t, "alpha")
		foreign, foreignData := newJobOf(t, "beta")
		require.NoError(t, keepJob(t, others[0], job, data, true))
		var foreignErr *quetzalpier.ForeignJobError
		require.True(t, errors.As(keepJob(t, first, foreign, foreignData, false), &foreignErr))
		require.Zero(t, countFiles(t, first), "the refused job must not be submitted later")
		require.NoError(t, keepJob(t, first, job, data, false))
		require.True(t, errors.As(keepJob(t, first, foreign, foreignData, false), &foreignErr))
		kept, err := os.ReadFile(filepath.Join(first.Dir, "j1.job"))
		require.NoError(t, err)
		require.Equal(t, data, kept)
	})
	t.Run("a kept job whose ID another customer's job has in the store is dropped", func(t *testing.T) {
		first, _, service := newKeepers(t, 1, 0, 0)
		job, _ := newJobOf(t, "alpha")
		_, err := (&vault.Vault{KV: service}).Put(t.Context(), job)
		require.NoError(t, err)
		foreign, data := newJobOf(t, "beta")
		require.NoError(t, keepJob(t, first, foreign, data, false))
		require.True(t, first.SubmitAll(t.Context(), time.Now()))
		stored, err := (&vault.Vault{KV: service}).Get(t.Context(), "j1")
		require.NoError(t, err)
		require.Equal(t, "alpha", stored.Customer)
	})
}

func newJobOf(t *testing.T, customer string) (*quetzalpier.Job, []byte) {
	t.Helper()
	job, _ := newJob(t)
	job.Customer = customer
	data, err := wire.EncodeJob(job)
	require.NoError(t, err)
	return job, data
}
