package setup_test

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"quetzalpier/setup"
)

const validText = `
name = "n1"
domain = "a"
roles = ["gate"]
http = "127.0.0.1:1"
peer = "127.0.0.1:2"
[platform]
kv = "127.0.0.1:3"
vms = "127.0.0.1:4"
`

func requireErrors(t *testing.T, text string, want ...string) {
	t.Helper()
	_, err := setup.Parse("f.toml", []byte(text))
	var settingsErr *setup.Error
	require.True(t, errors.As(err, &settingsErr), "got %v", err)
	require.Len(t, settingsErr.Problems, len(want), settingsErr.Error())
	for i, text := range want {
		require.Contains(t, settingsErr.Problems[i], text)
	}
}

func TestParse(t *testing.T) {
	t.Run("defaults", func(t *testing.T) {
		node, err := setup.Parse("f.toml", []byte(validText))
		require.NoError(t, err)
		require.Equal(t, 30*time.Second, node.LookupTTL.D())
		require.Equal(t, "refuse", node.StalePolicy)
	})
	t.Run("unknown keys", func(t *testing.T) {
		requireErrors(t, validText+"\nport = 3\n[limits]\nbodies = 1\n", `11:1: unknown key "platform.port"`, `13:1: unknown key "limits.bodies"`)
	})
	t.Run("all errors are reported at once", func(t *testing.T) {
		invalidText := strings.NewReplacer(`"gate"`, `"gait"`, `"127.0.0.1:1"`, `"localhost:1"`, `"127.0.0.1:4"`, `""`).Replace(validText)
		requireErrors(t, "keep = \"1ms\"\n"+invalidText, "roles[0]", "http", "keep", "platform.vms")
	})
	t.Run("a type error has its position", func(t *testing.T) {
		requireErrors(t, strings.Replace(validText, `"n1"`, "7", 1), "2:8: ")
	})
	t.Run("the role store requires a data directory", func(t *testing.T) {
		requireErrors(t, strings.Replace(validText, `"gate"`, `"store"`, 1), "data")
	})
	t.Run("the example files are valid", func(t *testing.T) {
		files, err := filepath.Glob("../examples/*/node-*.toml")
		require.NoError(t, err)
		require.NotEmpty(t, files)
		for _, file := range files {
			_, err := setup.Read(file)
			require.NoError(t, err)
		}
	})
}

func FuzzParse(f *testing.F) {
	f.Add(validText)
	f.Add("name = 1")
	f.Fuzz(func(_ *testing.T, text string) { _, _ = setup.Parse("f.toml", []byte(text)) })
}

func ExampleParse() {
	node, _ := setup.Parse("node.toml", []byte(validText))
	fmt.Println(node.Name, node.Roles, node.ConfigMaxAge.D())
	// Output: n1 [gate] 12s
}
