package peer

import (
	"bytes"
	"context"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"quetzalpier/wire"
)

// Each session kept a buffer of the size of its largest message, 256 KB, until it was closed.
func TestLargeMessageKeepsNoLargeBuffer(t *testing.T) {
	const textBytes = 1 << 20
	var mu sync.Mutex
	largest := 0
	count := func(_, sent int) {
		mu.Lock()
		defer mu.Unlock()
		largest = max(largest, sent-tcpOverhead)
	}
	handle := func(_ context.Context, call *wire.Call) *wire.Reply {
		return &wire.Reply{Kind: &wire.Reply_Kept{Kept: &wire.Kept{Job: call.GetKept().GetJob()}}}
	}
	server, err := listen("127.0.0.1:0", handle, nil, count)
	require.NoError(t, err)
	defer server.close()
	caller, err := listen("127.0.0.1:0", nil, nil, count)
	require.NoError(t, err)
	defer caller.close()
	text := string(bytes.Repeat([]byte("x"), textBytes))
	reply, err := caller.call(t.Context(), server.listener.Addr().String(), control, &wire.Call{Kind: &wire.Call_Kept{Kept: &wire.Kept{Job: text}}})
	require.NoError(t, err)
	require.Equal(t, text, reply.GetKept().GetJob())
	mu.Lock()
	defer mu.Unlock()
	require.LessOrEqual(t, largest, 32<<10)
}
