package stand

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"github.com/pkg/errors"
)

// addrCount counts the addresses that FreeAddr has allocated in this process.
var addrCount atomic.Uint32

// Host returns a loopback IP that is derived from the process ID and number.
// Outgoing connections use 127.0.0.1, so they take no ports of this IP.
func Host(number int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 16+pid%224, (pid/224)%256, 1+number%254)
}

// FreeAddr returns a free address to listen on, with a loopback IP that nothing
// else uses. On 127.0.0.1, an outgoing connection of any process could take the
// port before the caller listens on it.
func FreeAddr() (string, error) {
	listener, err := net.Listen("tcp", Host(int(addrCount.Add(1)))+":0")
	if err != nil {
		return "", errors.Wrap(err, "find a free address")
	}
	addr := listener.Addr().String()
	return addr, errors.Wrap(listener.Close(), "find a free address")
}
