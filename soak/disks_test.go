package soak_test

import (
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"quetzalpier"
	"quetzalpier/platform"
	"quetzalpier/soak"
	"quetzalpier/stand"
	"quetzalpier/vault"
)

const (
	// inTouchAfter is how long after its start, and after the last loss of a node, a front's
	// answers count.
	inTouchAfter = 3 * time.Second
	// servesAgainAfter limits how long jobs on disks may stay unreadable once all disks are back.
	servesAgainAfter = 12 * time.Second
	// diskClientKey is the API key of calls about jobs, which counts only where customers have keys.
	diskClientKey = "own"
)

// openDiskRig starts a deployment for jobs on disks, of which one may be lost.
func openDiskRig(t *testing.T) *soak.Rig {
	t.Helper()
	return openDiskRigFor(t, "")
}

// openDiskRigFor starts the deployment for clients with an API key, if there is one.
func openDiskRigFor(t *testing.T, key string) *soak.Rig {
	t.Helper()
	r := openRigWith(t, soak.Options{Fronts: 2, Stores: 3, Engines: 2, Plains: 1, EventInterval: 5 * time.Millisecond, ClientKey: key})
	require.True(t, r.WaitReady(t.Context(), 15*time.Second))
	time.Sleep(inTouchAfter)
	return r
}

// callJob makes a call about a job over a connection of its own. The status is zero without an
// answer.
func callJob(method string, n *soak.Node, path, id, body string) int {
	client := http.Client{Timeout: 8 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(method, "http://"+n.Settings.Front+path, strings.NewReader(body))
	if err != nil {
		return 0
	}
	req.Host = soak.Host
	req.Header.Set(platform.HeaderAttempt, id)
	req.Header.Set(platform.HeaderAuthorization, "Bearer "+diskClientKey)
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// readJob reads the results of a job at a front and returns the status.
func readJob(n *soak.Node, job string) int {
	return callJob(http.MethodGet, n, platform.PathJobs+job+"?after=0", "", "")
}

// submitJob submits a job at a front and returns the status.
func submitJob(t *testing.T, n *soak.Node, job string) int {
	t.Helper()
	task := quetzalpier.Task{ID: "t1", Group: "g", Path: "/batch/t1", Headers: map[string]string{platform.HeaderModel: "m0"}, Body: []byte("10 prompt"), MaxTokens: 100}
	data, err := platform.EncodeJob(quetzalpier.Job{ID: job, Model: "m0", MinVersion: 1, WantGroups: 1, Tasks: []quetzalpier.Task{task}})
	require.NoError(t, err)
	return callJob(http.MethodPost, n, "/batch/"+job, job, string(data))
}

// endJob ends a job at a front and returns the status.
func endJob(n *soak.Node, job string) int {
	return callJob(http.MethodDelete, n, platform.PathJobs+job, "", "")
}

// submitInOutage submits a job while the key-value service is unavailable, so that it lies on
// disks. The service stays unavailable.
func submitInOutage(t *testing.T, r *soak.Rig, job string) {
	t.Helper()
	r.KV.SetFaults(stand.KVFaults{Unavailable: true})
	time.Sleep(time.Second)
	status := 0
	for i := 0; i < 10 && status != http.StatusAccepted; i++ {
		status = submitJob(t, r.Fronts[i%2], job)
	}
	require.Equal(t, http.StatusAccepted, status)
}

// killStores kills store nodes and waits, with the service back, until their entries are removed.
func killStores(t *testing.T, r *soak.Rig, stores ...*soak.Node) {
	t.Helper()
	var kills conc.WaitGroup
	for _, n := range stores {
		kills.Go(n.Kill)
	}
	kills.Wait()
	r.KV.SetFaults(stand.KVFaults{})
	for _, n := range stores {
		require.Eventually(t, func() bool {
			entry, err := r.KV.Get(t.Context(), vault.Nodes+n.Settings.Name)
			return err == nil && entry.Rev == 0
		}, 15*time.Second, 20*time.Millisecond, "entry of %s", n.Settings.Name)
	}
}

// requireReads requires the status of a read of a job at all fronts, which may take some time.
func requireReads(t *testing.T, r *soak.Rig, job string, status int, within time.Duration) {
	t.Helper()
	for _, n := range r.Fronts {
		require.Eventually(t, func() bool { return readJob(n, job) == status }, within, 50*time.Millisecond, "job %s at %s", job, n.Settings.Name)
	}
}

// TestStartAfterDisksWereLost guards against a front that answers that an accepted job does not
// exist, since it started after the entries of the nodes that keep the job were removed, as did all
// others.
func TestStartAfterDisksWereLost(t *testing.T) {
	t.Parallel()
	r := openDiskRig(t)
	submitInOutage(t, r, "kept")
	killStores(t, r, r.Stores...)
	for _, n := range r.Fronts {
		n.Kill()
	}
	for _, n := range r.Fronts {
		require.NoError(t, n.Start())
	}
	require.NoError(t, r.AddFront())
	for end := time.Now().Add(inTouchAfter + 2*time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, n := range r.Fronts {
			require.NotEqual(t, http.StatusNotFound, readJob(n, "kept"), "at %s", n.Settings.Name)
		}
	}
	for _, n := range r.Stores {
		require.NoError(t, n.Start())
	}
	for end := time.Now().Add(servesAgainAfter); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		status := readJob(r.Fronts[2], "kept")
		require.NotEqual(t, http.StatusNotFound, status)
		if status == http.StatusOK {
			break
		}
	}
	requireReads(t, r, "kept", http.StatusOK, time.Second)
	requireReads(t, r, "never", http.StatusNotFound, inTouchAfter)
}

// TestJobThatNeverWas guards against refusals to tell that a job does not exist, by a front that
// has just started, and after nodes with a disk have left as planned or were replaced.
func TestJobThatNeverWas(t *testing.T) {
	t.Parallel()
	r := openDiskRig(t)
	requireReads(t, r, "never", http.StatusNotFound, time.Second)
	require.NoError(t, r.AddFront())
	requireReads(t, r, "never", http.StatusNotFound, inTouchAfter)
	for _, n := range r.Stores {
		require.True(t, n.Stop())
		requireReads(t, r, "never", http.StatusNotFound, time.Second)
		require.NoError(t, n.Start())
		time.Sleep(time.Second)
	}
	require.True(t, r.Stores[0].Stop())
	killStores(t, r, r.Stores[1])
	require.NoError(t, r.AddStore())
	require.NoError(t, r.AddFront())
	requireReads(t, r, "never", http.StatusNotFound, inTouchAfter)
}

// TestEmptyDiskInPlaceOfALostOne guards against a front that takes a new disk for the one that
// held an accepted job, while the other node that keeps the job is away.
func TestEmptyDiskInPlaceOfALostOne(t *testing.T) {
	t.Parallel()
	r := openDiskRig(t)
	submitInOutage(t, r, "kept")
	var keepers []*soak.Node
	for _, n := range r.Stores {
		if keepsJob(t, n) {
			keepers = append(keepers, n)
		}
	}
	require.Len(t, keepers, 2)
	killStores(t, r, keepers...)
	wipeDisk(t, keepers[0])
	require.NoError(t, keepers[0].Start())
	require.NoError(t, r.AddFront())
	for end := time.Now().Add(inTouchAfter + 2*time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, n := range r.Fronts {
			require.NotEqual(t, http.StatusNotFound, readJob(n, "kept"), "at %s", n.Settings.Name)
		}
	}
	require.NoError(t, keepers[1].Start())
	requireReads(t, r, "kept", http.StatusOK, servesAgainAfter)
}

// TestCallsWhileDisksAreAway guards against calls about an accepted job that are answered as if
// the job did not exist, while all disks that hold it are away.
func TestCallsWhileDisksAreAway(t *testing.T) {
	restart := func(t *testing.T, nodes []*soak.Node) {
		t.Helper()
		for _, n := range nodes {
			require.NoError(t, n.Start())
		}
	}
	for name, key := range map[string]string{"the job is ended": "", "a customer's job is ended": diskClientKey} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := openDiskRigFor(t, key)
			submitInOutage(t, r, "kept")
			killStores(t, r, r.Stores...)
			require.NoError(t, r.AddFront())
			for end := time.Now().Add(inTouchAfter + time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
				for _, n := range r.Fronts {
					require.NotEqual(t, http.StatusNotFound, endJob(n, "kept"), "at %s", n.Settings.Name)
				}
			}
			restart(t, r.Stores)
			added := r.Fronts[2]
			require.Eventually(t, func() bool { return endJob(added, "kept") == http.StatusOK }, servesAgainAfter, 50*time.Millisecond)
		})
	}
	t.Run("the job is submitted again", func(t *testing.T) {
		t.Parallel()
		r := openDiskRig(t)
		submitInOutage(t, r, "kept")
		killStores(t, r, r.Stores...)
		require.NoError(t, r.AddFront())
		added := r.Fronts[2]
		require.Eventually(t, func() bool { return submitJob(t, added, "kept") == http.StatusAccepted }, servesAgainAfter, 50*time.Millisecond)
		requireReads(t, r, "kept", http.StatusOK, inTouchAfter)
		restart(t, r.Stores)
		for _, n := range r.Stores {
			require.Eventually(t, func() bool { return !keepsJob(t, n) }, servesAgainAfter, 50*time.Millisecond, "disk of %s", n.Settings.Name)
		}
		for _, n := range r.Fronts {
			require.Equal(t, http.StatusOK, readJob(n, "kept"), "at %s", n.Settings.Name)
		}
	})
	t.Run("a front could not reach the key-value service when the entries were removed", func(t *testing.T) {
		t.Parallel()
		r := openDiskRig(t)
		submitInOutage(t, r, "kept")
		cut := r.Fronts[1]
		require.NoError(t, cut.KVProxy.SetMode(soak.Reset))
		killStores(t, r, r.Stores...)
		requireNever := func(period time.Duration) {
			for end := time.Now().Add(period); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				require.NotEqual(t, http.StatusNotFound, readJob(cut, "kept"))
			}
		}
		requireNever(2 * time.Second)
		require.NoError(t, cut.KVProxy.SetMode(soak.Pass))
		requireNever(inTouchAfter + 2*time.Second)
		cut.Kill()
		require.NoError(t, cut.KVProxy.SetMode(soak.Reset))
		require.NoError(t, cut.Start())
		requireNever(2 * time.Second)
		require.NoError(t, cut.KVProxy.SetMode(soak.Pass))
		requireNever(inTouchAfter + 2*time.Second)
		restart(t, r.Stores)
		requireReads(t, r, "kept", http.StatusOK, servesAgainAfter)
		requireReads(t, r, "never", http.StatusNotFound, inTouchAfter)
	})
}

// keepsJob reports whether a job is on the node's disk.
func keepsJob(t *testing.T, n *soak.Node) bool {
	t.Helper()
	names, err := filepath.Glob(filepath.Join(n.Settings.DataDir, "*.job"))
	require.NoError(t, err)
	return len(names) > 0
}

// wipeDisk empties the disk of a node that does not run.
func wipeDisk(t *testing.T, n *soak.Node) {
	t.Helper()
	require.NoError(t, os.RemoveAll(n.Settings.DataDir))
	require.NoError(t, os.MkdirAll(n.Settings.DataDir, 0o755))
}
