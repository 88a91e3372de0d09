package entry_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/platform"
	"quetzalpier/stand"
)

func (r *testEntry) startEngineOf(t *testing.T, software, id string) *stand.Worker {
	t.Helper()
	w := r.startWorker(t, id)
	w.Software = software
	return w
}

// takeUp sends a client's request to take up a stream after an event.
func (r *testEntry) takeUp(t *testing.T, path, resumes, last string) (*http.Response, string) {
	t.Helper()
	resp, text, err := r.send(t, http.MethodPost, path, "20 prompt", map[string]string{
		platform.HeaderModel: "m", platform.HeaderResumes: resumes, platform.HeaderLastEventID: last, platform.HeaderAttempt: "a2",
	})
	require.NoError(t, err)
	return resp, text
}

// TestResumedStream guards against streams with events of two software versions.
func TestResumedStream(t *testing.T) {
	const path = "/stream/1"
	begin := func(t *testing.T, r *testEntry) (string, error) {
		t.Helper()
		_, text, err := r.send(t, http.MethodPost, path, "20 prompt", map[string]string{platform.HeaderModel: "m"})
		return text, err
	}
	t.Run("an interrupted stream breaks off if only another version is left", func(t *testing.T) {
		r := newTestEntry(t)
		r.setConfig()
		old, next := r.startEngineOf(t, "v1", "a"), r.startEngineOf(t, "v2", "b")
		next.SetFaults(stand.WorkerFaults{CutAtEvent: 5})
		old.SetFaults(stand.WorkerFaults{CutAtEvent: 5})
		r.setUpstreams(old.VM(), next.VM())
		text, err := begin(t, r)
		require.Error(t, err, text)
		require.True(t, len(old.Runs()) == 0 || len(next.Runs()) == 0, "both versions ran")
	})
	t.Run("a client's stream goes on at its version", func(t *testing.T) {
		r := newTestEntry(t)
		r.setConfig()
		old, next := r.startEngineOf(t, "v1", "a"), r.startEngineOf(t, "v2", "b")
		r.setUpstreams(old.VM())
		_, err := begin(t, r)
		require.NoError(t, err)
		r.setUpstreams(old.VM(), next.VM())
		for range 10 {
			resp, text := r.takeUp(t, path, "a1", "10")
			require.Equal(t, http.StatusOK, resp.StatusCode)
			require.Equal(t, 10, strings.Count(text, "id: "))
		}
		require.Empty(t, next.Runs())
	})
	t.Run("it is refused as not run if no engine of its version is left", func(t *testing.T) {
		r := newTestEntry(t)
		r.setConfig()
		old, next := r.startEngineOf(t, "v1", "a"), r.startEngineOf(t, "v2", "b")
		r.setUpstreams(old.VM())
		_, err := begin(t, r)
		require.NoError(t, err)
		r.setUpstreams(next.VM())
		resp, text := r.takeUp(t, path, "a1", "10")
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode, text)
		require.Empty(t, next.Runs())
	})
	t.Run("one of unknown origin is refused while two versions serve", func(t *testing.T) {
		r := newTestEntry(t)
		r.setConfig()
		old, next := r.startEngineOf(t, "v1", "a"), r.startEngineOf(t, "v2", "b")
		r.setUpstreams(old.VM(), next.VM())
		resp, text := r.takeUp(t, path, "unknown", "10")
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode, text)
		require.NotEmpty(t, resp.Header.Get("Retry-After"))
		require.Empty(t, append(old.Runs(), next.Runs()...))
	})
	t.Run("one whose pool the route no longer leads to is refused", func(t *testing.T) {
		r := newTestEntry(t)
		r.setConfig()
		old := r.startEngineOf(t, "v1", "a")
		r.setUpstreams(old.VM())
		_, err := begin(t, r)
		require.NoError(t, err)
		other := r.startEngineOf(t, "v1", "b").VM()
		other.Pool = "q"
		r.setUpstreams(old.VM(), other)
		r.setTargets(quetzalpier.Target{Pool: "q", Weight: 1})
		resp, text := r.takeUp(t, path, "a1", "10")
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode, text)
		require.Len(t, old.Runs(), 1)
	})
	t.Run("a stream without events begins at any version", func(t *testing.T) {
		r := newTestEntry(t)
		r.setConfig()
		r.setUpstreams(r.startEngineOf(t, "v2", "b").VM())
		resp, _ := r.takeUp(t, path, "unknown", "0")
		require.Equal(t, http.StatusOK, resp.StatusCode)
	})
}

// setTargets changes the targets of all routes.
func (r *testEntry) setTargets(targets ...quetzalpier.Target) {
	r.setConfig()
	r.board.Update(func(s *board.State) {
		for i := range s.Config.Routes {
			s.Config.Routes[i].Targets = targets
		}
	})
}
