package pilot_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/hash"
	"quetzalpier/pilot"
)

func TestShards(t *testing.T) {
	for _, c := range []struct{ engines, shards int }{{0, 1}, {9, 1}, {32, 1}, {33, 2}, {600, 32}} {
		t.Run(fmt.Sprintf("%d engines", c.engines), func(t *testing.T) {
			board.New(board.Member{ID: "n"}).Do(func(s *board.State) {
				s.Config.Pools = map[string]quetzalpier.Pool{"m": {Kind: quetzalpier.KindEngine}, "svc": {Kind: quetzalpier.KindPlain}}
				list := quetzalpier.VMList{Number: 1}
				for i := range c.engines {
					list.VMs = append(list.VMs, quetzalpier.VM{ID: fmt.Sprintf("e%d", i), Pool: "m", Kind: quetzalpier.KindEngine})
				}
				s.SetVMs(list, time.Unix(1, 0))
				require.Len(t, pilot.Shards(s), c.shards)
			})
		})
	}
	t.Run("600 engines spread over their shards", func(t *testing.T) {
		counts := map[uint64]int{}
		for i := range 600 {
			counts[hash.Text(fmt.Sprintf("e%d", i))%32]++
		}
		for _, n := range counts {
			require.LessOrEqual(t, n, 40)
		}
	})
}
