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

// maxNodesInResponse is the maximum number of addresses in a response.
const maxNodesInResponse = 6

type nodesResponse struct {
	Nodes []string `json:"nodes"`
	// TTLMillis is how long the caller may cache the response.
	TTLMillis int64 `json:"keep"`
}

// nodes returns the node addresses to use. The order depends on the caller, which
// spreads callers evenly, and so does the cache time, which spreads their
// requests for a new list.
func (g *Gate) nodes(c fiber.Ctx) error {
	caller := c.Query("caller", c.IP())
	response := nodesResponse{TTLMillis: g.callerTTL(caller).Milliseconds()}
	now := time.Now()
	g.Board.Do(func(s *board.State) { response.Nodes = Addresses(s, caller, g.ConfigMaxAge, now) })
	return c.JSON(response)
}

// callerTTL returns the caller's cache time, between half of NodesTTL and all of
// it. It must not exceed NodesTTL, because a draining node waits only that long
// for callers to stop using its address.
func (g *Gate) callerTTL(caller string) time.Duration {
	share := float64(hash.Text("keep/"+caller)%1000) / 1000
	return time.Duration(float64(g.NodesTTL) * (0.5 + share/2))
}

// Addresses returns the HTTP addresses that a caller should use, in order of
// preference. A node whose own configuration is unconfirmed omits itself if there
// are others.
func Addresses(s *board.State, caller string, maxAge time.Duration, now time.Time) []string {
	ids := peer.Usable(s, setup.RoleGate)
	sum := hash.Text(caller)
	sort.Slice(ids, func(i, j int) bool { return hash.Pair(sum, ids[i]) > hash.Pair(sum, ids[j]) })
	var addrs []string
	for _, id := range ids {
		m := s.Members[id]
		if id == s.Self.ID {
			m = s.Self
			if len(ids) > 1 && !conf.ConfirmedWithin(s, maxAge, now) {
				continue
			}
		}
		addrs = append(addrs, m.HTTP)
	}
	return addrs[:min(maxNodesInResponse, len(addrs))]
}
