package pilot

import (
	"sort"
	"strconv"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/hash"
)

// shardSize is the maximum mean number of engines per shard of a pool. It limits
// the CPU time that a node spends on a shard, independent of the pool's size.
const shardSize = 32

// Shard is a subset of a pool's engines under one lease. Nodes that see different
// numbers of engines may temporarily split a pool into different numbers of
// shards. An engine then obeys the higher fencing token, and both nodes order the
// same version.
type Shard struct {
	Pool  string
	Index int
	Count int
}

// Shards splits every engine pool into shards and returns them sorted. The number
// of shards of a pool is a power of two, so that it rarely changes.
func Shards(s *board.State) []Shard {
	counts := map[string]int{}
	for _, u := range s.Upstreams {
		counts[u.VM.Pool]++
	}
	var shards []Shard
	for name, pool := range s.Config.Pools {
		if pool.Kind != quetzalpier.KindEngine {
			continue
		}
		count := 1
		for count*shardSize < counts[name] {
			count *= 2
		}
		for i := range count {
			shards = append(shards, Shard{name, i, count})
		}
	}
	sort.Slice(shards, func(i, j int) bool {
		if shards[i].Pool != shards[j].Pool {
			return shards[i].Pool < shards[j].Pool
		}
		return shards[i].Index < shards[j].Index
	})
	return shards
}

// leaseName returns the name of the shard's lease.
func (s Shard) leaseName() string { return "pilot/" + s.Pool + "/" + strconv.Itoa(s.Index) }

// contains reports whether an upstream belongs to the shard.
func (s Shard) contains(u *board.Upstream) bool {
	return u.VM.Pool == s.Pool && int(hash.Text(u.VM.ID)%uint64(s.Count)) == s.Index
}
