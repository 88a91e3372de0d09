package pilot

import (
	"sort"
	"strconv"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/hash"
)

// shardSize is how many engines one pilot orders. It bounds the processor time
// that a node spends on them, whatever the pool's size.
const shardSize = 32

// Shard is a part of a pool's engines under one lease. Nodes that see
// different numbers of engines may cut a pool into different numbers of
// shards for a while; an engine then obeys the higher fencing number, and both
// order the same version.
type Shard struct {
	Pool  string
	Index int
	Of    int
}

// Shards cuts every pool of engines into shards, in a fixed order. Their
// number is a power of two, so that it seldom changes.
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
		of := 1
		for of*shardSize < counts[name] {
			of *= 2
		}
		for i := range of {
			shards = append(shards, Shard{name, i, of})
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

// lease is the name of the shard's lease.
func (s Shard) lease() string { return "pilot/" + s.Pool + "/" + strconv.Itoa(s.Index) }

// has tells whether an upstream belongs to the shard.
func (s Shard) has(u *board.Upstream) bool {
	return u.VM.Pool == s.Pool && int(hash.Text(u.VM.ID)%uint64(s.Of)) == s.Index
}
