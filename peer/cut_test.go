package peer

import (
	"bytes"
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"quetzalpier/wire"
)

// encoded returns a message as it is sent.
func encoded(t *testing.T, message proto.Message) []byte {
	t.Helper()
	var out bytes.Buffer
	_, err := protodelim.MarshalTo(&out, message)
	require.NoError(t, err)
	return out.Bytes()
}

// TestCutMessage guards against calls and replies that end too soon and count as whole. The
// length of the messages takes two bytes.
func TestCutMessage(t *testing.T) {
	text := strings.Repeat("x", 200)
	t.Run("reply", func(t *testing.T) {
		reply := &wire.Reply{Kind: &wire.Reply_Opened{Opened: &wire.Opened{Text: text}}}
		data := encoded(t, reply)
		var cut atomic.Int32
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		var serving conc.WaitGroup
		defer serving.Wait()
		defer func() { _ = listener.Close() }()
		serving.Go(func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				serving.Go(func() { serveCut(conn, func() []byte { return data[:cut.Load()] }) })
			}
		})
		c, err := listen("127.0.0.1:0", nil, nil, func(int, int) {})
		require.NoError(t, err)
		defer c.close()
		call := func() (*wire.Reply, error) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			return c.call(ctx, listener.Addr().String(), control, &wire.Call{})
		}
		for n := range len(data) {
			cut.Store(int32(n))
			_, err := call()
			require.Error(t, err, "cut after %d of %d bytes", n, len(data))
		}
		cut.Store(int32(len(data)))
		got, err := call()
		require.NoError(t, err)
		require.True(t, proto.Equal(reply, got))
	})
	t.Run("call", func(t *testing.T) {
		data := encoded(t, &wire.Call{Kind: &wire.Call_Tunnel{Tunnel: &wire.Tunnel{Upstream: text}}})
		calls := make(chan *wire.Call, len(data)+1)
		server, err := listen("127.0.0.1:0", func(_ context.Context, call *wire.Call) *wire.Reply {
			calls <- call
			return &wire.Reply{}
		}, nil, func(int, int) {})
		require.NoError(t, err)
		defer server.close()
		conn, err := net.Dial("tcp", server.listener.Addr().String())
		require.NoError(t, err)
		_, err = conn.Write([]byte{byte(control)})
		require.NoError(t, err)
		mux, err := yamux.Client(conn, muxConfig())
		require.NoError(t, err)
		defer func() { _ = mux.Close() }()
		for n := range len(data) + 1 {
			stream, err := mux.OpenStream()
			require.NoError(t, err)
			_, err = stream.Write(data[:n])
			require.NoError(t, err)
			require.NoError(t, stream.Close())
			answer, _ := io.ReadAll(stream)
			if n < len(data) {
				require.Empty(t, answer, "cut after %d of %d bytes", n, len(data))
			}
		}
		require.Len(t, calls, 1)
		require.Equal(t, text, (<-calls).GetTunnel().GetUpstream())
	})
}

// serveCut answers each call of a session with the bytes that reply returns, and closes the
// stream.
func serveCut(conn net.Conn, reply func() []byte) {
	if _, err := io.ReadFull(conn, make([]byte, 1)); err != nil {
		return
	}
	mux, err := yamux.Server(conn, muxConfig())
	if err != nil {
		return
	}
	defer func() { _ = mux.Close() }()
	for {
		stream, err := mux.AcceptStream()
		if err != nil {
			return
		}
		_, _ = stream.Read(make([]byte, 64))
		_, _ = stream.Write(reply())
		_ = stream.Close()
	}
}
