package gate_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"quetzalpier/stand"
)

// TestMalformedResponse guards against malformed responses of upstreams that callers get as whole.
func TestMalformedResponse(t *testing.T) {
	for _, variant := range stand.AnswerVariants("200 OK", "", "paid") {
		t.Run(variant.Name, func(t *testing.T) {
			t.Parallel()
			g := startGate(t, stand.ScriptedAnswer{Parts: []string{variant.Text}, Ending: stand.CloseConn})
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			resp, err := client.Post("http://"+g.Addr()+"/svc/service/x", "application/json", strings.NewReader(""))
			require.NoError(t, err)
			defer func() { _ = resp.Body.Close() }()
			body, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.Equal(t, variant.Valid, resp.StatusCode == http.StatusOK, resp.Status)
			require.Equal(t, variant.Valid, string(body) == "paid")
			require.Empty(t, resp.Header["X-Odd"])
			require.Empty(t, resp.Header["X Odd"])
		})
	}
}
