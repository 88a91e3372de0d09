package entry

import (
	"maps"
	"net/http"
	"slices"
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

// frontAddrs returns the addresses for clients: those of usable fronts that answer or,
// if there are none, of draining ones, which still serve requests for a while.
//
// Load pattern: all fronts are restarted within a second.
func (e *Entry) frontAddrs(now time.Time) []string {
	kvStable := e.KVStable(now)
	e.mu.Lock()
	defer e.mu.Unlock()
	named, draining := map[string]string{}, map[string]string{}
	reasons := map[string]string{}
	e.Board.Do(func(s *board.State) {
		for id, m := range s.Members {
			switch {
			case m.HTTP == "":
			case !m.Usable():
				reasons[id] = "draining"
				delete(e.seenNodes, id)
				if s.Responsive(id) {
					draining[id] = m.HTTP
				}
			default:
				e.seenNodes[id] = seenNode{m.HTTP, now}
			}
		}
		for id, node := range e.seenNodes {
			_, listed := s.Members[id]
			switch {
			case !listed && (kvStable || now.Sub(node.seenAt) > lapsedNodeTTL):
				reasons[id] = "entry missing"
				delete(e.seenNodes, id)
			case !s.Responsive(id):
				reasons[id] = "unreachable"
			default:
				named[id] = node.addr
			}
		}
	})
	e.logNamed(named, reasons)
	if len(named) == 0 {
		named = draining
	}
	addrs := slices.Sorted(maps.Values(named))
	return addrs[:min(len(addrs), maxAddrs)]
}

// logNamed logs the fronts that answers begin or cease to name, those of the first
// answer excepted; the caller holds the lock.
func (e *Entry) logNamed(named, reasons map[string]string) {
	for id, addr := range named {
		if _, before := e.named[id]; !before && len(e.named) > 0 {
			e.Log.Info().Str("member", id).Str("front", addr).Msg("lookups name a front")
		}
	}
	for id, addr := range e.named {
		if _, still := named[id]; !still {
			e.Log.Info().Str("member", id).Str("front", addr).Str("reason", reasons[id]).Msg("lookups no longer name a front")
		}
	}
	e.named = named
}
