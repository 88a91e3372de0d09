package keep_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"quetzalpier"
	"quetzalpier/keep"
)

func TestID(t *testing.T) {
	dir := t.TempDir()
	requireID := func(want string) {
		t.Helper()
		id, err := keep.ReadID(dir)
		require.NoError(t, err)
		require.Equal(t, want, id)
	}
	requireID("")
	id := keep.NewID()
	require.NotEqual(t, id, keep.NewID())
	require.NoError(t, keep.SaveID(dir, id))
	requireID(id)
	require.NoError(t, keep.RemoveID(dir))
	requireID("")
	require.NoError(t, keep.RemoveID(dir), "once more")
	for _, odd := range []string{"", "0123", id + id, "/" + id[1:], "\xff"} {
		require.NoError(t, os.WriteFile(filepath.Join(dir, "disk"), []byte(odd), 0o600))
		_, err := keep.ReadID(dir)
		var field *quetzalpier.FieldError
		require.True(t, errors.As(err, &field), "%q", odd)
	}
}

func TestClose(t *testing.T) {
	// Guards against a node that reports an empty disk and accepts a job afterwards.
	t.Run("a closed keeper refuses jobs and submits those that it has", func(t *testing.T) {
		first, _, service := newKeepers(t, 1, 0, 0)
		job, data := newJob(t)
		require.NoError(t, keepJob(t, first, job, data, false))
		first.Close()
		var closed *keep.ClosedError
		for _, isCopy := range []bool{false, true} {
			require.True(t, errors.As(keepJob(t, first, job, data, isCopy), &closed))
		}
		require.True(t, first.SubmitAll(t.Context(), time.Now()))
		require.Zero(t, countFiles(t, first))
		require.EqualValues(t, 1, service.Counts().Writes)
		first.Open()
		require.NoError(t, keepJob(t, first, job, data, false))
	})
	t.Run("another node writes the copy that a closed one refuses", func(t *testing.T) {
		first, others, _ := newKeepers(t, 4, 0, 2)
		others[0].Close()
		job, data := newJob(t)
		require.NoError(t, keepJob(t, first, job, data, false))
		require.Equal(t, []int{1, 0, 1, 1}, []int{countFiles(t, first), countFiles(t, others[0]), countFiles(t, others[1]), countFiles(t, others[2])})
	})
	t.Run("too few nodes that accept copies is an error", func(t *testing.T) {
		first, others, _ := newKeepers(t, 3, 0, 2)
		others[0].Close()
		job, data := newJob(t)
		require.Error(t, keepJob(t, first, job, data, false))
	})
}
