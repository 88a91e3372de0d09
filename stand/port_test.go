package stand_test

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"quetzalpier/stand"
)

func TestPort(t *testing.T) {
	const timeout = 150 * time.Millisecond
	port, err := stand.OpenPort()
	require.NoError(t, err)
	var accepts conc.WaitGroup
	defer accepts.Wait()
	defer port.Close()
	accepts.Go(func() {
		for {
			conn, err := port.Accept()
			if err != nil {
				return
			}
			_ = conn.Close()
		}
	})
	requireOpen := func(t *testing.T) {
		t.Helper()
		conn, err := net.DialTimeout("tcp", port.Addr, timeout)
		require.NoError(t, err)
		_ = conn.Close()
	}
	requireOpen(t)
	t.Run("new connections hang until it is open again", func(t *testing.T) {
		require.NoError(t, port.Hang())
		for range 3 {
			_, err := net.DialTimeout("tcp", port.Addr, timeout)
			require.ErrorContains(t, err, "i/o timeout")
		}
		require.NoError(t, port.Open())
		requireOpen(t)
	})
	t.Run("new connections are refused until it is open again", func(t *testing.T) {
		require.NoError(t, port.Refuse())
		_, err := net.DialTimeout("tcp", port.Addr, timeout)
		require.ErrorIs(t, err, syscall.ECONNREFUSED)
		require.NoError(t, port.Open())
		requireOpen(t)
	})
}
