// Package find asks the service which of its addresses to use, keeps the
// answer for as long as it says, and goes on to the next address when one
// fails.
package find

import (
	"encoding/json"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// maxKeep bounds how long an answer is used.
const maxKeep = 10 * time.Second

// Nodes are the addresses that one caller uses. It is safe for concurrent use.
type Nodes struct {
	// Caller is the caller's name.
	Caller string
	// Seeds are addresses to ask first.
	Seeds []string

	mu    sync.Mutex
	addrs []string
	until time.Time
	next  int
}

type answer struct {
	Nodes []string `json:"nodes"`
	Keep  int64    `json:"keep"`
}

// Addr returns the address to use at now.
func (n *Nodes) Addr(now time.Time) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.addrs) == 0 || now.After(n.until) {
		n.ask(now)
	}
	if len(n.addrs) == 0 {
		return n.Seeds[n.next%len(n.Seeds)]
	}
	return n.addrs[n.next%len(n.addrs)]
}

// Failed goes on to the next address if addr is the one in use. After the
// last one the service is asked again.
func (n *Nodes) Failed(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.addrs) > 0 && n.addrs[n.next%len(n.addrs)] != addr {
		return
	}
	n.next++
	if len(n.addrs) > 0 && n.next%len(n.addrs) == 0 {
		n.until = time.Time{}
	}
}

func (n *Nodes) ask(now time.Time) {
	for _, addr := range append(append([]string(nil), n.addrs...), n.Seeds...) {
		status, body, err := fasthttp.GetTimeout(nil, "http://"+addr+"/v1/nodes?caller="+url.QueryEscape(n.Caller), time.Second)
		var a answer
		if err != nil || status != http.StatusOK || json.Unmarshal(body, &a) != nil || len(a.Nodes) == 0 {
			continue
		}
		n.addrs = a.Nodes
		n.next = 0
		n.until = now.Add(min(maxKeep, time.Duration(a.Keep)*time.Millisecond))
		return
	}
}
