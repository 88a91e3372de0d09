// Package hash provides hash functions that must give equal results on all nodes,
// and rendezvous hashing.
package hash

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Text hashes a string.
func Text(s string) uint64 { return xxhash.Sum64String(s) }

// Bytes hashes a byte slice.
func Bytes(b []byte) uint64 { return xxhash.Sum64(b) }

// Pair hashes a key together with a name, for rendezvous hashing.
func Pair(key uint64, name string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], key)
	_, _ = digest.Write(b[:])
	_, _ = digest.WriteString(name)
	return digest.Sum64()
}

// Owner returns the name with the highest rendezvous weight for key, or an empty
// string without names. Removing a name reassigns only the keys that it owned.
func Owner(key string, names []string) string {
	sum := Text(key)
	best, owner := uint64(0), ""
	for _, name := range names {
		if w := Pair(sum, name); owner == "" || w > best || (w == best && name < owner) {
			best, owner = w, name
		}
	}
	return owner
}

// Owners returns the n names with the highest rendezvous weights for key, in
// descending order of weight.
func Owners(key string, names []string, n int) []string {
	remaining := append([]string(nil), names...)
	var owners []string
	for len(owners) < n && len(remaining) > 0 {
		owner := Owner(key, remaining)
		owners = append(owners, owner)
		remaining = remove(remaining, owner)
	}
	return owners
}

func remove(names []string, removed string) []string {
	kept := names[:0]
	for _, name := range names {
		if name != removed {
			kept = append(kept, name)
		}
	}
	return kept
}
