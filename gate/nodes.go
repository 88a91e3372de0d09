package gate

import (
	"sort"
	"time"

	"github.com/gofiber/fiber/v3"

	"quetzalpier/board"
	"quetzalpier/conf"
	"quetzalpier/hash"
	"quetzalpier/peer"
	"quetzalpier/setup"
)

// nodesShown bounds the addresses in one answer.
const nodesShown = 6

type nodesAnswer struct {
	Nodes []string `json:"nodes"`
	// Keep is how long to use the answer, in milliseconds.
	Keep int64 `json:"keep"`
}

// nodes answers which addresses to use. Each caller gets its own order, so
// that callers spread evenly, and its own time to keep the answer, so that
// they don't ask together.
func (g *Gate) nodes(c fiber.Ctx) error {
	caller := c.Query("caller", c.IP())
	answer := nodesAnswer{Keep: g.keep(caller).Milliseconds()}
	now := time.Now()
	g.Board.Do(func(s *board.State) { answer.Nodes = Addresses(s, caller, g.Bound, now) })
	return c.JSON(answer)
}

// keep varies the time by caller, up to the full time: a node that drains
// waits the full time out.
func (g *Gate) keep(caller string) time.Duration {
	share := float64(hash.Text("keep/"+caller)%1000) / 1000
	return time.Duration(float64(g.Keep) * (0.5 + share/2))
}

// Addresses returns the gates that a caller should use, best first. A node
// that does not know whether its configuration is current leaves itself out.
func Addresses(s *board.State, caller string, bound time.Duration, now time.Time) []string {
	ids := peer.Usable(s, setup.RoleGate)
	sum := hash.Text(caller)
	sort.Slice(ids, func(i, j int) bool { return hash.Pair(sum, ids[i]) > hash.Pair(sum, ids[j]) })
	var addrs []string
	for _, id := range ids {
		m := s.Members[id]
		if id == s.Self.ID {
			m = s.Self
			if len(ids) > 1 && !conf.Confirmed(s, bound, now) {
				continue
			}
		}
		addrs = append(addrs, m.HTTP)
	}
	return addrs[:min(nodesShown, len(addrs))]
}
