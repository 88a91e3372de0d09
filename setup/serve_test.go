package setup_test

import (
	"os"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"quetzalpier/setup"
)

const serveText = `name = "front-a-1"
class = "front"
domain = "a"
peer = "10.0.0.1:7600"
front = "10.0.0.1:8144"
kv = "10.9.0.1:80"
memory = 284
grace = "8s"
turn = "3000ms"
fenced = true
`

func TestServe(t *testing.T) {
	t.Run("settings that the platform renders are valid", func(t *testing.T) {
		settings, err := setup.ParseServe("f", []byte(serveText))
		require.NoError(t, err)
		require.Equal(t, "3s", settings.OrderInterval.D().String())
		require.True(t, settings.FencingEnforced)
		require.Equal(t, setup.ServeDefaults().LookupTTL, settings.LookupTTL)
	})
	t.Run("all errors are reported at once", func(t *testing.T) {
		text := strings.Replace(serveText, "10.9.0.1:80", "store", 1)
		text = strings.Replace(text, "memory = 284", "memory = 3", 1) + "other = 1\n"
		_, err := setup.ParseServe("f", []byte(text))
		var settingsErr *setup.Error
		require.True(t, errors.As(err, &settingsErr))
		for _, want := range []string{"kv", "memory", "other"} {
			require.ErrorContains(t, err, want)
		}
	})
	t.Run("the template has known settings only", func(t *testing.T) {
		template, err := os.ReadFile("../deploy/settings.toml")
		require.NoError(t, err)
		known := map[string]bool{}
		for line := range strings.SplitSeq(serveText+"region=\nready=\nlookup=\nmetrics=\nhistory=\nwindow=\ndata=\nlosses=\n", "\n") {
			name, _, _ := strings.Cut(line, "=")
			known[strings.TrimSpace(name)] = true
		}
		for line := range strings.SplitSeq(string(template), "\n") {
			name, _, _ := strings.Cut(line, "=")
			require.True(t, known[strings.TrimSpace(name)], line)
		}
	})
}
