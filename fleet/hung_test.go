package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalpier"
	"quetzalpier/mirror"
	"quetzalpier/platform"
	"quetzalpier/stand"
	"quetzalpier/vault"
)

const (
	// contactTime is how long the service must have answered before a node counts as in
	// contact, and applyTime how long a change may take to be in force there.
	contactTime = 3 * time.Second
	applyTime   = 2 * time.Second
)

// TestHungWatch guards against a change that is not in force in time because a watch that began
// before got no answer: nothing distinguishes it from one of a prefix without changes.
func TestHungWatch(t *testing.T) {
	for _, c := range []struct {
		class, prefix, key string
		mirror             func(*Node) *mirror.Mirror
	}{
		{"front", platform.KeyConfig, platform.KeyConfig + "x", func(n *Node) *mirror.Mirror { return n.config }},
		{"front", platform.PrefixWorkers, platform.PrefixWorkers + "x", func(n *Node) *mirror.Mirror { return n.workers }},
		{"front", vault.System, vault.Nodes + "x", func(n *Node) *mirror.Mirror { return n.nodes }},
		{"store", platform.KeyConfig, platform.KeyConfig + "x", func(n *Node) *mirror.Mirror { return n.config }},
		{"store", platform.PrefixWorkers, platform.PrefixWorkers + "x", func(n *Node) *mirror.Mirror { return n.workers }},
		{"store", platform.PrefixVersions, platform.PrefixVersions + "m", func(n *Node) *mirror.Mirror { return n.versions }},
		{"store", platform.PrefixRetire, platform.PrefixRetire + "x", func(n *Node) *mirror.Mirror { return n.retired }},
		{"store", vault.Owners, vault.Owners + "x", func(n *Node) *mirror.Mirror { return n.owners }},
	} {
		t.Run(c.class+" "+c.prefix, func(t *testing.T) {
			t.Parallel()
			n, kv, _ := openTestNode(t, c.class)
			write := func() uint64 {
				rev, err := kv.Commit(t.Context(), quetzalpier.Txn{Writes: []quetzalpier.Write{{Key: c.key, Value: []byte("x")}}})
				require.NoError(t, err)
				return rev
			}
			kv.SetFaults(stand.KVFaults{Hang: c.prefix})
			require.Eventually(t, func() bool {
				write()
				return kv.Hung() > 0
			}, 5*time.Second, 20*time.Millisecond)
			kv.SetFaults(stand.KVFaults{})
			time.Sleep(contactTime)
			rev := write()
			require.Eventually(t, func() bool { return c.mirror(n).State().Rev >= rev }, applyTime, 10*time.Millisecond)
		})
	}
}
