package runner_test

import (
	"bufio"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/platform"
	"quetzalpier/stand"
)

// TestSlowEngines guards against runs that are broken off for ever although their engines
// are sound: each event takes longer than a run may usually be silent.
func TestSlowEngines(t *testing.T) {
	const eventTime = 3 * time.Second
	r := newFixture(t, 1)
	server, err := stand.Serve("127.0.0.1:0", 0, func(c *fasthttp.RequestCtx) {
		task := string(c.Request.Header.Peek(platform.HeaderAttempt))
		c.Response.Header.Set(platform.HeaderAttempt, task)
		c.Response.Header.Set(platform.HeaderWeightVersion, "1")
		c.SetBodyStreamWriter(func(out *bufio.Writer) {
			for i := range 2 {
				_ = out.Flush()
				time.Sleep(eventTime)
				_, _ = fmt.Fprintf(out, "id: %d\ndata: %s-%d\n\n", i+1, task, i+1)
			}
			_ = out.Flush()
		})
	})
	require.NoError(t, err)
	defer server.Close()
	slow := r.engines[0].VM()
	slow.ID, slow.Addr = "slow", server.Addr
	r.board.Update(func(s *board.State) { s.SetListed([]quetzalpier.VM{slow, r.scorer.VM()}, time.Now()) })
	r.putJob(t, newJob("j", 1, 2))
	require.True(t, r.waitResults(t, "j", 1)["j-0"].Done)
}
