package stand

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"github.com/pkg/errors"
)

// given counts the addresses of this process.
var given atomic.Uint32

// Host returns a loopback IP of this process, the same for the same number.
// Outgoing connections use 127.0.0.1 and take no port of it.
func Host(number int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 16+pid%224, (pid/224)%256, 1+number%254)
}

// FreeAddr returns an address to listen on, on a loopback IP that no one else
// uses. A port of 127.0.0.1 that was free a moment ago may be taken by an
// outgoing connection of any process.
func FreeAddr() (string, error) {
	listener, err := net.Listen("tcp", Host(int(given.Add(1)))+":0")
	if err != nil {
		return "", errors.Wrap(err, "free address")
	}
	addr := listener.Addr().String()
	return addr, errors.Wrap(listener.Close(), "free address")
}
