// Package find gets the addresses of the service's nodes from the service, caches
// them for as long as the response allows, and fails over to the next address.
package find

import (
	"encoding/json"
	"net/http"
	"net/url"
	"sync"
	"time"

	"quetzalpier/client"
)

var httpClient = client.NewRepeating()

// maxCacheTime bounds how long a list of addresses is used before a new one is
// requested.
const maxCacheTime = 10 * time.Second

// Resolver caches the addresses of the nodes that one caller uses. It is safe for
// concurrent use.
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
	Nodes     []string `json:"nodes"`
	TTLMillis int64    `json:"keep"`
}

// Addr returns the current address; it first requests the list if there is none
// or it has expired at now. If no node returns a list, the old list stays in use,
// or the seeds if there is none.
func (r *Resolver) Addr(now time.Time) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.addrs) == 0 || now.After(r.expiresAt) {
		r.refresh(now)
	}
	if len(r.addrs) == 0 {
		return r.Seeds[r.current%len(r.Seeds)]
	}
	return r.addrs[r.current%len(r.addrs)]
}

// MarkFailed switches to the next address if addr is the current one. After the
// last address of the list, the list is requested again.
func (r *Resolver) MarkFailed(addr string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.addrs) > 0 && r.addrs[r.current%len(r.addrs)] != addr {
		return
	}
	r.current++
	if len(r.addrs) > 0 && r.current%len(r.addrs) == 0 {
		r.expiresAt = time.Time{}
	}
}

func (r *Resolver) refresh(now time.Time) {
	for _, addr := range append(append([]string(nil), r.addrs...), r.Seeds...) {
		status, body, err := httpClient.GetTimeout(nil, "http://"+addr+"/v1/nodes?caller="+url.QueryEscape(r.Caller), time.Second)
		var response nodesResponse
		if err != nil || status != http.StatusOK || json.Unmarshal(body, &response) != nil || len(response.Nodes) == 0 {
			continue
		}
		r.addrs = response.Nodes
		r.current = 0
		r.expiresAt = now.Add(min(maxCacheTime, time.Duration(response.TTLMillis)*time.Millisecond))
		return
	}
}
