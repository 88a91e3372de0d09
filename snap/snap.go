// Package snap holds what a node last read from the platform's key-value service,
// so that nodes that start while the service is unavailable can serve.
package snap

import (
	"bytes"
	"encoding/binary"
	"os"
	"slices"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"quetzalpier"
	"quetzalpier/disk"
	"quetzalpier/hash"
	"quetzalpier/wire"
)

// View is a copy of the entries of the nodes, the upstreams and the configuration.
type View struct {
	Nodes     quetzalpier.Changes
	Upstreams quetzalpier.Changes
	Config    quetzalpier.Changes
}

// Rev returns the newest revision in the view; zero if it is empty. Revisions rise
// across all keys, so that the view with the higher one was read later.
func (v View) Rev() uint64 { return max(v.Nodes.Rev, v.Upstreams.Rev, v.Config.Rev) }

// Pack converts the view to its message.
func (v View) Pack() *wire.View {
	return &wire.View{Rev: v.Rev(), Nodes: packPart(v.Nodes), Upstreams: packPart(v.Upstreams), Config: packPart(v.Config)}
}

func packPart(part quetzalpier.Changes) *wire.Stored {
	return &wire.Stored{Rev: part.Rev, Entries: wire.PackEntries(part.Entries)}
}

// Unpack converts a message to its view. It returns false for a question, which has
// no parts.
func Unpack(message *wire.View) (View, bool) {
	if message.GetConfig() == nil {
		return View{}, false
	}
	return View{unpackPart(message.GetNodes()), unpackPart(message.GetUpstreams()), unpackPart(message.GetConfig())}, true
}

func unpackPart(part *wire.Stored) quetzalpier.Changes {
	return quetzalpier.Changes{Rev: part.GetRev(), Entries: wire.UnpackEntries(part.GetEntries())}
}

// senders is how many nodes are responsible for each receiver.
const senders = 2

// Receivers returns the nodes to which self sends its view, of those that may need
// it. Each is assigned to a few of the nodes that can send, which share the work.
func Receivers(self string, canSend, mayNeed []string) []string {
	var receivers []string
	for _, id := range mayNeed {
		others := slices.DeleteFunc(slices.Clone(canSend), func(sender string) bool { return sender == id })
		if id != self && slices.Contains(hash.Owners(id, others, senders), self) {
			receivers = append(receivers, id)
		}
	}
	return receivers
}

// File stores a view on disk.
type File struct {
	Path string

	saved uint64
}

// checksumBytes is the size of the checksum before the view.
const checksumBytes = 8

// BrokenFileError reports that a file holds no complete view.
type BrokenFileError struct{ Path string }

// Error implements error.
func (e *BrokenFileError) Error() string { return e.Path + " holds no complete view" }

// Save writes the view unless its entries are those that were saved last: heartbeats
// raise the revision of the view without a change.
func (f *File) Save(view View) error {
	content := view.fingerprint()
	if content == f.saved {
		return nil
	}
	data, err := proto.Marshal(view.Pack())
	if err != nil {
		return errors.Wrap(err, "encode view")
	}
	checksum := binary.BigEndian.AppendUint64(nil, hash.Text(string(data)))
	if err := disk.Replace(f.Path, append(checksum, data...)); err != nil {
		return err
	}
	f.saved = content
	return nil
}

// fingerprint returns a hash of the keys and revisions of all entries.
func (v View) fingerprint() uint64 {
	var revs []byte
	for _, part := range []quetzalpier.Changes{v.Nodes, v.Upstreams, v.Config} {
		for _, entry := range part.Entries {
			revs = append(append(revs, entry.Key...), 0)
			revs = binary.BigEndian.AppendUint64(revs, entry.Rev)
		}
	}
	return hash.Text(string(revs))
}

// Load reads the view. It returns an empty one if there is no file.
func (f *File) Load() (View, error) {
	content, err := os.ReadFile(f.Path)
	if os.IsNotExist(err) {
		return View{}, nil
	}
	if err != nil {
		return View{}, errors.Wrap(err, "read view")
	}
	if len(content) < checksumBytes {
		return View{}, &BrokenFileError{f.Path}
	}
	data := content[checksumBytes:]
	message := &wire.View{}
	if !bytes.Equal(content[:checksumBytes], binary.BigEndian.AppendUint64(nil, hash.Text(string(data)))) || proto.Unmarshal(data, message) != nil {
		return View{}, &BrokenFileError{f.Path}
	}
	view, _ := Unpack(message)
	return view, nil
}
