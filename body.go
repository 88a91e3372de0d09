package quetzalpier

import "io"

// Body is the body of a request that may be sent several times.
type Body interface {
	// Len returns the number of bytes.
	Len() int
	// Reader returns a reader of the body from its start.
	Reader() io.Reader
}
