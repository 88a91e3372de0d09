package stand_test

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"quetzalpier/stand"
)

func TestFreeAddr(t *testing.T) {
	hosts := map[string]bool{"127.0.0.1": true}
	for range 100 {
		addr, err := stand.FreeAddr()
		require.NoError(t, err)
		host, _, err := net.SplitHostPort(addr)
		require.NoError(t, err)
		require.False(t, hosts[host], "%s was allocated before, or outgoing connections use it", host)
		hosts[host] = true
		listener, err := net.Listen("tcp", addr)
		require.NoError(t, err)
		require.NoError(t, listener.Close())
	}
}
