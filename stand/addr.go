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

// FreeAddr returns an address to listen on, on a loopback IP that no one else
// uses. A port of 127.0.0.1 that was free a moment ago may be taken by an
// outgoing connection of any process.
func FreeAddr() (string, error) {
	pid := os.Getpid()
	host := fmt.Sprintf("127.%d.%d.%d", 16+pid%224, (pid/224)%256, 1+given.Add(1)%254)
	listener, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", errors.Wrap(err, "free address")
	}
	addr := listener.Addr().String()
	return addr, errors.Wrap(listener.Close(), "free address")
}
