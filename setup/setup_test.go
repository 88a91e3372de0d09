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

const good = `
name = "n1"
domain = "a"
roles = ["gate"]
http = "127.0.0.1:1"
peer = "127.0.0.1:2"
[platform]
kv = "127.0.0.1:3"
vms = "127.0.0.1:4"
`

func requireFaults(t *testing.T, text string, want ...string) {
	t.Helper()
	_, err := setup.Parse("f.toml", []byte(text))
	var faults *setup.Error
	require.True(t, errors.As(err, &faults), "got %v", err)
	require.Len(t, faults.Faults, len(want), faults.Error())
	for i, fault := range want {
		require.Contains(t, faults.Faults[i], fault)
	}
}

func TestParse(t *testing.T) {
	t.Run("defaults", func(t *testing.T) {
		node, err := setup.Parse("f.toml", []byte(good))
		require.NoError(t, err)
		require.Equal(t, 30*time.Second, node.Keep.D())
		require.Equal(t, "refuse", node.Stale)
	})
	t.Run("unknown keys", func(t *testing.T) {
		requireFaults(t, good+"\nport = 3\n[limits]\nbodies = 1\n", `11:1: unknown key "platform.port"`, `13:1: unknown key "limits.bodies"`)
	})
	t.Run("all faults at once", func(t *testing.T) {
		bad := strings.NewReplacer(`"gate"`, `"gait"`, `"127.0.0.1:1"`, `"localhost:1"`, `"127.0.0.1:4"`, `""`).Replace(good)
		requireFaults(t, "keep = \"1ms\"\n"+bad, "roles[0]", "http", "keep", "platform.vms")
	})
	t.Run("a wrong type has its place", func(t *testing.T) {
		requireFaults(t, strings.Replace(good, `"n1"`, "7", 1), "2:8: ")
	})
	t.Run("a store needs a folder", func(t *testing.T) {
		requireFaults(t, strings.Replace(good, `"gate"`, `"store"`, 1), "data")
	})
	t.Run("the examples are sound", func(t *testing.T) {
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
	f.Add(good)
	f.Add("name = 1")
	f.Fuzz(func(_ *testing.T, text string) { _, _ = setup.Parse("f.toml", []byte(text)) })
}

func ExampleParse() {
	node, _ := setup.Parse("node.toml", []byte(good))
	fmt.Println(node.Name, node.Roles, node.Bound.D())
	// Output: n1 [gate] 12s
}
