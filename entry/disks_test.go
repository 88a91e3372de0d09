package entry_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"quetzalpier/board"
	"quetzalpier/platform"
	"quetzalpier/runner"
	"quetzalpier/wire"
)

// requireJob requires the status of a read of a job's results.
func (r *testEntry) requireJob(t *testing.T, want int) {
	t.Helper()
	resp, text, err := r.send(t, http.MethodGet, platform.PathJobs+"j2", "", nil)
	require.NoError(t, err)
	require.Equal(t, want, resp.StatusCode, text)
}

// Guards against a node with a disk that says that a job does not exist which is on its own disk,
// as when it is to store the end of the job.
func TestJobOnOwnDisk(t *testing.T) {
	r := newTestEntry(t)
	r.setConfig()
	r.board.Update(func(s *board.State) {
		s.Members[s.Self.ID] = board.Member{ID: s.Self.ID, Peer: "self:1", Roles: []string{runner.ClassStore}}
	})
	r.entry.Call = func(_ context.Context, peer string, call *wire.Call) (*wire.Reply, error) {
		kept := call.GetKept() != nil && peer == "self:1"
		return &wire.Reply{Kind: &wire.Reply_Kept{Kept: &wire.Kept{Present: kept}}}, nil
	}
	r.requireJob(t, http.StatusServiceUnavailable)
}
