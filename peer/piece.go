package peer

import (
	"io"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// maxPieceBytes bounds each write to a stream. A session keeps a buffer of the size of its
// largest write until it is closed, and a node has sessions to hundreds of others.
const maxPieceBytes = 32 << 10

// pieceWriter writes in pieces of at most maxPieceBytes.
type pieceWriter struct{ to io.Writer }

// Write implements io.Writer.
func (w pieceWriter) Write(b []byte) (int, error) {
	written := 0
	for written < len(b) {
		n, err := w.to.Write(b[written:min(len(b), written+maxPieceBytes)])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// sendMessage writes a message to a stream.
func sendMessage(stream io.Writer, message proto.Message) error {
	_, err := protodelim.MarshalTo(pieceWriter{stream}, message)
	return err
}
