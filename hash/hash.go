// Package hash gives the hashes that nodes must agree on.
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

// Owner returns the name with the highest rendezvous weight for key; empty
// if there are no names. Removing a name moves only the keys that it owned.
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

// Owners returns the n names with the highest rendezvous weights, best first.
func Owners(key string, names []string, n int) []string {
	left := append([]string(nil), names...)
	var owners []string
	for len(owners) < n && len(left) > 0 {
		owner := Owner(key, left)
		owners = append(owners, owner)
		left = remove(left, owner)
	}
	return owners
}

func remove(names []string, gone string) []string {
	kept := names[:0]
	for _, name := range names {
		if name != gone {
			kept = append(kept, name)
		}
	}
	return kept
}
