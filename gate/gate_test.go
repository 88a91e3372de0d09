package gate_test

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/engine"
	"quetzalpier/gate"
	"quetzalpier/link"
	"quetzalpier/meter"
	"quetzalpier/send"
	"quetzalpier/stand"
)

// startGate starts a gate before one upstream that serves the pool "service" and the model
// "model".
func startGate(t *testing.T, answer stand.ScriptedAnswer) *gate.Gate {
	t.Helper()
	upstream, err := stand.NewScripted(func(*fasthttp.Request) stand.ScriptedAnswer { return answer })
	require.NoError(t, err)
	t.Cleanup(upstream.Close)
	b := board.New(board.Member{ID: "n", State: board.Alive})
	b.Update(func(s *board.State) {
		s.SetConfig(quetzalpier.Config{Number: 1, Pools: map[string]quetzalpier.Pool{
			"service": {Kind: quetzalpier.KindPlain}, "model": {Kind: quetzalpier.KindEngine},
		}})
		s.SetListed([]quetzalpier.VM{
			{ID: "u", Addr: upstream.Addr, Pool: "service", Kind: quetzalpier.KindPlain, State: quetzalpier.VMLive, Slots: 4},
			{ID: "v", Addr: upstream.Addr, Pool: "model", Kind: quetzalpier.KindEngine, State: quetzalpier.VMLive, Slots: 4},
		}, time.Now())
	})
	links, m := link.New(), meter.New()
	t.Cleanup(links.Close)
	g, err := gate.New("127.0.0.1:0", gate.Options{
		Board: b, Sender: send.New(b, links, m, 1), Engine: &engine.Client{Links: links}, Links: links, Meter: m, Log: zerolog.Nop(),
		ServeStale: true, MaxWait: 5 * time.Second, MaxBodyBytes: 1 << 20, PlatformUnavailable: func(time.Time) bool { return false },
	})
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, g.Close(context.Background())) })
	return g
}

// TestOversizedResponse guards against responses of upstreams that are cut at the largest
// size and framed as whole.
func TestOversizedResponse(t *testing.T) {
	const maxService, maxError = 64 << 20, 1 << 20
	cases := []struct {
		name, path, status, request string
		size, want                  int
	}{
		{"service", "/svc/service/x", "200 OK", "", maxService + 1, http.StatusServiceUnavailable},
		{"service, largest", "/svc/service/x", "200 OK", "", maxService, http.StatusOK},
		{"model without a stream", "/v1/completions", "200 OK", `{"model":"model","prompt":"p","n":2}`, maxService + 1, http.StatusServiceUnavailable},
		{"error of a model", "/v1/completions", "400 Bad Request", `{"model":"model","prompt":"p"}`, maxError + 1, http.StatusServiceUnavailable},
		{"error of a model, largest", "/v1/completions", "400 Bad Request", `{"model":"model","prompt":"p"}`, maxError, http.StatusBadRequest},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := startGate(t, stand.ScriptedAnswer{Parts: []string{
				"HTTP/1.1 " + c.status + "\r\nContent-Length: " + strconv.Itoa(c.size) + "\r\n\r\n", strings.Repeat("x", c.size),
			}})
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			resp, err := client.Post("http://"+g.Addr()+c.path, "application/json", strings.NewReader(c.request))
			require.NoError(t, err)
			defer func() { _ = resp.Body.Close() }()
			size, err := io.Copy(io.Discard, resp.Body)
			require.NoError(t, err)
			require.Equal(t, c.want, resp.StatusCode)
			if c.want != http.StatusServiceUnavailable {
				require.EqualValues(t, c.size, size)
			}
		})
	}
}
