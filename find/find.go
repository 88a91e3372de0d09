// Package find gets the addresses of the service's nodes from the service, caches
// them for as long as the response allows, and fails over to the next address.
package find

import (
	"encoding/json"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// maxCacheTime bounds how long a list of addresses is used.
const maxCacheTime = 10 * time.Second

// Resolver holds the addresses that one caller uses. It is safe for concurrent use.
type Resolver struct {
	// Caller is the caller's name, by which the service selects the addresses.
	Caller string
	// Seeds are the addresses from which the first list is requested.
	Seeds []string

	mu        sync.Mutex
	addrs     []string
	expiresAt time.Time
	current   int
}

type nodesResponse struct {
	Nodes      []string `json:"nodes"`
	KeepMillis int64    `json:"keep"`
}

// Addr returns the current address; it first requests the list if there is none
// or it has expired at now.
func (n *Resolver) Addr(now time.Time) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.addrs) == 0 || now.After(n.expiresAt) {
		n.refresh(now)
	}
	if len(n.addrs) == 0 {
		return n.Seeds[n.current%len(n.Seeds)]
	}
	return n.addrs[n.current%len(n.addrs)]
}

// MarkFailed switches to the next address if addr is the current one. After the last
// address of the list, the list is requested again.
func (n *Resolver) MarkFailed(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.addrs) > 0 && n.addrs[n.current%len(n.addrs)] != addr {
		return
	}
	n.current++
	if len(n.addrs) > 0 && n.current%len(n.addrs) == 0 {
		n.expiresAt = time.Time{}
	}
}

func (n *Resolver) refresh(now time.Time) {
	for _, addr := range append(append([]string(nil), n.addrs...), n.Seeds...) {
		status, body, err := fasthttp.GetTimeout(nil, "http://"+addr+"/v1/nodes?caller="+url.QueryEscape(n.Caller), time.Second)
		var response nodesResponse
		if err != nil || status != http.StatusOK || json.Unmarshal(body, &response) != nil || len(response.Nodes) == 0 {
			continue
		}
		n.addrs = response.Nodes
		n.current = 0
		n.expiresAt = now.Add(min(maxCacheTime, time.Duration(response.KeepMillis)*time.Millisecond))
		return
	}
}
