package runner_test

import (
	"bufio"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/platform"
	"quetzalpier/stand"
)

// TestEndlessRun guards against engines that answer a run with bytes without end, which are
// no events: the run must end, also if there is no other engine.
func TestEndlessRun(t *testing.T) {
	for name, respond := range map[string]func(c *fasthttp.RequestCtx){
		"after an error": func(c *fasthttp.RequestCtx) { c.SetStatusCode(http.StatusBadGateway) },
		"in a stream": func(c *fasthttp.RequestCtx) {
			c.Response.Header.Set(platform.HeaderAttempt, string(c.Request.Header.Peek(platform.HeaderAttempt)))
			c.Response.Header.Set(platform.HeaderWeightVersion, "1")
		},
	} {
		t.Run(name, func(t *testing.T) {
			var ended atomic.Int32
			requireTextDespite(t, &ended, func(c *fasthttp.RequestCtx) {
				respond(c)
				c.SetBodyStreamWriter(func(out *bufio.Writer) {
					defer ended.Add(1)
					for out.Flush() == nil {
						time.Sleep(50 * time.Millisecond)
						_, _ = out.WriteString(":\n")
					}
				})
			})
		})
	}
}

// requireTextDespite checks that a task has its text from a sound engine, after the only one
// at first answered a run as given and counted it.
func requireTextDespite(t *testing.T, runs *atomic.Int32, respond fasthttp.RequestHandler) {
	t.Helper()
	r := newFixture(t, 1)
	server, err := stand.Serve("127.0.0.1:0", 0, respond)
	require.NoError(t, err)
	defer server.Close()
	broken := r.engines[0].VM()
	broken.ID, broken.Addr = "broken", server.Addr
	r.board.Update(func(s *board.State) { s.SetListed([]quetzalpier.VM{broken, r.scorer.VM()}, time.Now()) })
	r.putJob(t, newJob("j", 1, 5))
	require.Eventually(t, func() bool { return runs.Load() > 0 }, waitTimeout, 10*time.Millisecond)
	r.board.Update(func(s *board.State) { s.SetListed([]quetzalpier.VM{r.engines[0].VM(), r.scorer.VM()}, time.Now()) })
	require.Equal(t, eventText("j-0", 5), r.waitResults(t, "j", 1)["j-0"].Text)
}

// TestRunWithoutEvents guards against results without a text: an engine that answers a run with
// status 200 and no events has not run the task.
func TestRunWithoutEvents(t *testing.T) {
	for name, body := range map[string]string{"empty": "", "a page": "<html>\nBad gateway\n\n</html>\n", "comments": ": ok\n\n"} {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int32
			requireTextDespite(t, &runs, func(c *fasthttp.RequestCtx) {
				runs.Add(1)
				c.Response.Header.Set(platform.HeaderAttempt, string(c.Request.Header.Peek(platform.HeaderAttempt)))
				c.Response.Header.Set(platform.HeaderWeightVersion, "1")
				c.SetBodyString(body)
			})
		})
	}
}
