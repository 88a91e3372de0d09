package entry

import (
	"net/http"
	"sort"
	"time"

	"github.com/valyala/fasthttp"

	"quetzalpier/board"
	"quetzalpier/platform"
)

const (
	// maxAddrs is the number of addresses of an answer that clients use.
	maxAddrs = 64
	// lapsedNodeTTL is how long a node whose entry expired stays in answers while
	// the key-value service is unstable: entries of live nodes expire then.
	lapsedNodeTTL = 30 * time.Second
)

// seenNode is a node that was usable at the time seenAt.
type seenNode struct {
	addr   string
	seenAt time.Time
}

// handleLookup responds with the addresses that a client should connect to.
func (e *Entry) handleLookup(c *fasthttp.RequestCtx) {
	if string(c.Request.Header.RequestURI()) == "" || string(c.Path()) != platform.PathLookup {
		c.SetStatusCode(http.StatusNotFound)
		return
	}
	addrs := e.frontAddrs(time.Now())
	if len(addrs) == 0 {
		c.SetStatusCode(http.StatusServiceUnavailable)
		return
	}
	body, err := platform.EncodeLookup(addrs, e.LookupTTL)
	if err != nil {
		c.Error(err.Error(), http.StatusInternalServerError)
		return
	}
	c.SetContentType("application/json")
	c.SetBody(body)
}

// frontAddrs returns the addresses for clients: those of usable fronts or, if
// there are none, of draining ones, which still serve requests for a while.
//
// Load pattern: all fronts are restarted within a second.
func (e *Entry) frontAddrs(now time.Time) []string {
	kvStable := e.KVStable(now)
	e.mu.Lock()
	defer e.mu.Unlock()
	var draining []string
	first := len(e.seenNodes) == 0
	e.Board.Do(func(s *board.State) {
		for id, m := range s.Members {
			switch {
			case m.HTTP == "":
			case m.Usable():
				if _, known := e.seenNodes[id]; !known && !first {
					e.Log.Info().Str("member", id).Str("front", m.HTTP).Msg("lookups name a front")
				}
				e.seenNodes[id] = seenNode{m.HTTP, now}
			default:
				e.withdraw(id, "draining", now)
				draining = append(draining, m.HTTP)
			}
		}
		for id, node := range e.seenNodes {
			if _, listed := s.Members[id]; listed {
				continue
			}
			if kvStable {
				e.withdraw(id, "entry missing", now)
			} else if now.Sub(node.seenAt) > lapsedNodeTTL {
				e.withdraw(id, "entry missing for too long", now)
			}
		}
	})
	addrs := make([]string, 0, len(e.seenNodes))
	for _, node := range e.seenNodes {
		addrs = append(addrs, node.addr)
	}
	if len(addrs) == 0 {
		addrs = draining
	}
	sort.Strings(addrs)
	return addrs[:min(len(addrs), maxAddrs)]
}

// withdraw takes a front out of the answers, if it is in them; the caller holds the
// lock.
func (e *Entry) withdraw(id, reason string, now time.Time) {
	node, named := e.seenNodes[id]
	if !named {
		return
	}
	delete(e.seenNodes, id)
	e.Log.Info().Str("member", id).Str("front", node.addr).Str("reason", reason).Dur("unlisted_ms", now.Sub(node.seenAt)).
		Msg("lookups no longer name a front")
}
