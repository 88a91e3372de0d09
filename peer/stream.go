package peer

import (
	"bufio"
	"context"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"quetzalpier/wire"
)

// Stream is the stream of a call that goes on after the reply.
type Stream struct {
	stream *yamux.Stream
	reader *bufio.Reader
	conn   *muxConn

	closeOnce sync.Once
	onClose   func()
}

func newStream(mux *muxSession, stream *yamux.Stream, reader *bufio.Reader, onClose func()) *Stream {
	mux.conn.add(stream)
	return &Stream{stream: stream, reader: reader, conn: mux.conn, onClose: onClose}
}

// Send sends a message.
func (s *Stream) Send(message proto.Message) error {
	return sendMessage(s.stream, message)
}

// Receive receives a message. It returns io.EOF if the other side closed the stream.
func (s *Stream) Receive(message proto.Message) error {
	return protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}.UnmarshalFrom(s.reader, message)
}

// Quiet reports whether the stream is open and nothing was received that has not been read.
func (s *Stream) Quiet() bool {
	s.setDeadline(s.stream.SetReadDeadline, time.Unix(1, 0))
	_, err := s.reader.Peek(1)
	s.setDeadline(s.stream.SetReadDeadline, time.Time{})
	return errors.Is(err, yamux.ErrTimeout) && s.conn.isOpen()
}

// Open reports whether the session of the stream is open.
func (s *Stream) Open() bool { return s.conn.isOpen() }

// SetReadDeadline sets the deadline of Receive.
func (s *Stream) SetReadDeadline(t time.Time) { s.setDeadline(s.stream.SetReadDeadline, t) }

// SetWriteDeadline sets the deadline of Send.
func (s *Stream) SetWriteDeadline(t time.Time) { s.setDeadline(s.stream.SetWriteDeadline, t) }

// setDeadline sets a deadline, unless the session has ended and the stream must end too.
func (s *Stream) setDeadline(set func(time.Time) error, t time.Time) {
	s.conn.mu.Lock()
	defer s.conn.mu.Unlock()
	if s.conn.closed {
		t = time.Unix(1, 0)
	}
	// A stream accepts each deadline.
	_ = set(t)
}

// Close closes the stream.
func (s *Stream) Close() {
	s.closeOnce.Do(func() {
		// A stream of a closed session is closed already.
		_ = s.stream.Close()
		s.conn.remove(s.stream)
		s.onClose()
	})
}

// openStream makes a call whose stream goes on after the reply. ctx bounds the call only.
func (c *conns) openStream(ctx context.Context, addr string, call *wire.Call) (*Stream, *wire.Reply, error) {
	key := sessionKey{addr, tunnel}
	session, err := c.session(ctx, key)
	if err != nil {
		return nil, nil, err
	}
	opened, reply, err := startStream(ctx, session.mux, call, func() { c.release(session) })
	switch {
	case err == nil:
		return opened, reply, nil
	case ctx.Err() == nil:
		c.discard(key, session)
	default:
		c.retire(key, session)
	}
	c.release(session)
	return nil, nil, errors.Wrapf(err, "open a stream to %s", addr)
}

func startStream(ctx context.Context, mux *muxSession, call *wire.Call, onClose func()) (*Stream, *wire.Reply, error) {
	inner, err := mux.OpenStream()
	if err != nil {
		return nil, nil, err
	}
	s := newStream(mux, inner, bufio.NewReaderSize(inner, streamBufferBytes), onClose)
	stop := context.AfterFunc(ctx, func() { expire(inner) })
	reply := &wire.Reply{}
	err = s.Send(call)
	if err == nil {
		err = s.Receive(reply)
	}
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		s.onClose = func() {}
		s.Close()
		return nil, nil, err
	}
	return s, reply, nil
}
