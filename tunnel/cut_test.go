package tunnel_test

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"quetzalpier"
	"quetzalpier/link"
	"quetzalpier/stand"
)

// TestCutAnswer guards against answers that end too soon or are malformed in a tunnel and count
// as whole.
func TestCutAnswer(t *testing.T) {
	const (
		whole    = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npaid"
		chunked  = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;a\r\npa\r\n2\r\nid\r\n0\r\nX: y\r\n\r\n"
		noLength = "HTTP/1.1 200 OK\r\n\r\npaid"
	)
	// start returns a call through another node to a worker that gives a whole answer first,
	// and then the one that is stored.
	start := func(t *testing.T) (call func() (string, error), answer *atomic.Pointer[stand.ScriptedAnswer], worker *stand.Scripted, helper *node) {
		t.Helper()
		answer = &atomic.Pointer[stand.ScriptedAnswer]{}
		answer.Store(&stand.ScriptedAnswer{Parts: []string{whole}})
		worker, err := stand.NewScripted(func(*fasthttp.Request) stand.ScriptedAnswer { return *answer.Load() })
		require.NoError(t, err)
		t.Cleanup(worker.Close)
		path := partitioned(t, true)
		origin, helper := startNode(t, "a", path.Addr, path.Addr), startNode(t, "b", worker.Addr, worker.Addr)
		origin.knows(helper)
		links := link.New()
		links.Dialer = origin.dialer
		t.Cleanup(links.Close)
		attempt := func() (string, error) {
			req := &fasthttp.Request{}
			req.SetRequestURI("/x")
			req.Header.SetHost("h")
			resp, err := links.Do(t.Context(), link.Call{Addr: path.Addr, Upstream: upstreamID, Request: req, HeaderTimeout: time.Second, ReadTimeout: 3 * time.Second})
			if err != nil {
				return "", err
			}
			defer func() { _ = resp.Close() }()
			body, err := resp.ReadAll(1 << 10)
			return string(body), err
		}
		// Opening a tunnel may take longer than its limit; nothing is sent then.
		call = func() (body string, err error) {
			for range 5 {
				var failed *link.Error
				if body, err = attempt(); !errors.As(err, &failed) || failed.Stage != link.StageConnect {
					break
				}
			}
			return body, err
		}
		body, err := call()
		require.NoError(t, err)
		require.Equal(t, "paid", body)
		return call, answer, worker, helper
	}
	requireLinkError := func(t *testing.T, err error) *link.Error {
		t.Helper()
		var failed *link.Error
		require.ErrorAs(t, err, &failed)
		require.Equal(t, quetzalpier.RanUnknown, failed.Ran())
		return failed
	}
	for name, text := range map[string]string{"with a length": whole, "in chunks": chunked} {
		for ending, how := range map[string]stand.Ending{"closed": stand.CloseConn, "reset": stand.ResetConn} {
			t.Run(name+", "+ending, func(t *testing.T) {
				t.Parallel()
				call, answer, worker, _ := start(t)
				for cut := range len(text) {
					conns := worker.Conns.Load()
					answer.Store(&stand.ScriptedAnswer{Parts: []string{text[:cut]}, Ending: how})
					_, err := call()
					require.Error(t, err, "cut after %q", text[:cut])
					requireLinkError(t, err)
					answer.Store(&stand.ScriptedAnswer{Parts: []string{whole}})
					body, err := call()
					require.NoError(t, err)
					require.Equal(t, "paid", body)
					require.Equal(t, conns+1, worker.Conns.Load(), "the connection was used again")
				}
			})
		}
	}
	t.Run("malformed", func(t *testing.T) {
		t.Parallel()
		call, answer, worker, _ := start(t)
		for _, variant := range stand.AnswerVariants("200 OK", "", "paid") {
			conns := worker.Conns.Load()
			answer.Store(&stand.ScriptedAnswer{Parts: []string{variant.Text}})
			body, err := call()
			if variant.Valid {
				require.NoError(t, err, variant.Name)
				require.Equal(t, "paid", body, variant.Name)
				continue
			}
			require.Error(t, err, variant.Name)
			requireLinkError(t, err)
			answer.Store(&stand.ScriptedAnswer{Parts: []string{whole}})
			_, err = call()
			require.NoError(t, err, variant.Name)
			require.Equal(t, conns+1, worker.Conns.Load(), "%s: the connection was used again", variant.Name)
		}
	})
	t.Run("in several pieces", func(t *testing.T) {
		call, answer, _, _ := start(t)
		answer.Store(&stand.ScriptedAnswer{Parts: strings.SplitAfter(chunked, "\n")})
		body, err := call()
		require.NoError(t, err)
		require.Equal(t, "paid", body)
	})
	t.Run("without a length, closed", func(t *testing.T) {
		call, answer, _, _ := start(t)
		answer.Store(&stand.ScriptedAnswer{Parts: []string{noLength}, Ending: stand.CloseConn})
		body, err := call()
		require.NoError(t, err)
		require.Equal(t, "paid", body)
	})
	for name, text := range map[string]string{"a body": noLength, "no body": strings.TrimSuffix(noLength, "paid")} {
		t.Run("without a length, reset, "+name, func(t *testing.T) {
			call, answer, _, _ := start(t)
			answer.Store(&stand.ScriptedAnswer{Parts: []string{text}, Ending: stand.ResetConn})
			_, err := call()
			requireLinkError(t, err)
		})
		t.Run("without a length, and the other node goes, "+name, func(t *testing.T) {
			call, answer, _, helper := start(t)
			answer.Store(&stand.ScriptedAnswer{Parts: []string{text}, Ending: stand.StallConn})
			time.AfterFunc(100*time.Millisecond, helper.mesh.Close)
			_, err := call()
			require.True(t, requireLinkError(t, err).PathLost, "the end counts as that of the upstream: %v", err)
		})
		t.Run("without a length, and the other node stops as planned, "+name, func(t *testing.T) {
			call, answer, _, helper := start(t)
			answer.Store(&stand.ScriptedAnswer{Parts: []string{text}, Ending: stand.StallConn})
			time.AfterFunc(100*time.Millisecond, func() { helper.server.Drain(context.Background()) })
			_, err := call()
			require.True(t, requireLinkError(t, err).PathLost, "the end counts as that of the upstream: %v", err)
		})
	}
}
