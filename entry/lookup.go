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
	// maxAddrs is how many addresses clients use of an answer.
	maxAddrs = 64
	// seenTime is how long a node whose entry lapsed is still named while the
	// key-value service is not steady: entries lapse then without reason.
	seenTime = 30 * time.Second
)

// seenNode is a node that clients may be sent to.
type seenNode struct {
	addr string
	at   time.Time
}

// lookup tells a client which addresses to connect to.
func (e *Entry) lookup(c *fasthttp.RequestCtx) {
	if string(c.Request.Header.RequestURI()) == "" || string(c.Path()) != platform.PathLookup {
		c.SetStatusCode(http.StatusNotFound)
		return
	}
	addrs := e.addrs(time.Now())
	if len(addrs) == 0 {
		c.SetStatusCode(http.StatusServiceUnavailable)
		return
	}
	body, err := platform.EncodeLookup(addrs, e.Keep)
	if err != nil {
		c.Error(err.Error(), http.StatusInternalServerError)
		return
	}
	c.SetContentType("application/json")
	c.SetBody(body)
}

// addrs are the addresses that clients are sent to: those of the fronts in use,
// or if there are none those of the ones that drain, which serve on for a while.
//
// Load pattern: all fronts are restarted within a second.
func (e *Entry) addrs(now time.Time) []string {
	steady := e.Steady(now)
	e.mu.Lock()
	defer e.mu.Unlock()
	var draining []string
	e.Board.Do(func(s *board.State) {
		for id, m := range s.Members {
			switch {
			case m.HTTP == "":
			case m.Usable():
				e.seen[id] = seenNode{m.HTTP, now}
			default:
				delete(e.seen, id)
				draining = append(draining, m.HTTP)
			}
		}
		for id, node := range e.seen {
			if _, listed := s.Members[id]; !listed && (steady || now.Sub(node.at) > seenTime) {
				delete(e.seen, id)
			}
		}
	})
	addrs := make([]string, 0, len(e.seen))
	for _, node := range e.seen {
		addrs = append(addrs, node.addr)
	}
	if len(addrs) == 0 {
		addrs = draining
	}
	sort.Strings(addrs)
	return addrs[:min(len(addrs), maxAddrs)]
}
