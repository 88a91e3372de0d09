package gate

import (
	"sort"
	"time"

	"github.com/gofiber/fiber/v3"

	"quetzalpier"
	"quetzalpier/board"
)

// Status is the response of the status endpoint for operators.
type Status struct {
	Node      string                         `json:"node"`
	Version   string                         `json:"version"`
	State     string                         `json:"state"`
	Number    uint64                         `json:"number"`
	Confirmed string                         `json:"confirmed"`
	InFlight  int                            `json:"flight"`
	Members   []MemberStatus                 `json:"members"`
	Upstreams []UpstreamStatus               `json:"upstreams"`
	Targets   map[string]quetzalpier.Version `json:"targets"`
	Poison    int                            `json:"poison"`
}

// MemberStatus is one member in a Status.
type MemberStatus struct {
	ID     string `json:"id"`
	HTTP   string `json:"http"`
	Domain string `json:"domain"`
	State  string `json:"state"`
}

// UpstreamStatus is one upstream in a Status.
type UpstreamStatus struct {
	ID          string              `json:"id"`
	Pool        string              `json:"pool"`
	Domain      string              `json:"domain"`
	Version     quetzalpier.Version `json:"version"`
	Running     int                 `json:"running"`
	Outstanding int                 `json:"own"`
	Leaving     bool                `json:"leaving"`
	Ejected     bool                `json:"ejected"`
}

func (g *Gate) status(c fiber.Ctx) error {
	status := Status{Version: g.Options.Version, InFlight: g.InFlight()}
	now := time.Now()
	g.Board.Do(func(s *board.State) { status.fill(s, now) })
	return c.JSON(status)
}

func (status *Status) fill(s *board.State, now time.Time) {
	status.Node = s.Self.ID
	status.State = s.Self.State.String()
	status.Number = s.Config.Number
	status.Confirmed = "never"
	if !s.ConfirmedAt.IsZero() {
		status.Confirmed = now.Sub(s.ConfirmedAt).Round(time.Millisecond).String() + " ago"
	}
	status.Poison = len(s.Strikes)
	status.Targets = map[string]quetzalpier.Version{}
	for pool, version := range s.TargetVersions {
		status.Targets[pool] = version
	}
	for _, m := range s.Members {
		status.Members = append(status.Members, MemberStatus{m.ID, m.HTTP, m.Domain, m.State.String()})
	}
	sort.Slice(status.Members, func(i, j int) bool { return status.Members[i].ID < status.Members[j].ID })
	for id, u := range s.Upstreams {
		status.Upstreams = append(status.Upstreams, UpstreamStatus{
			ID: id, Pool: u.VM.Pool, Domain: u.VM.Domain, Version: u.EffectiveVersion(now),
			Running: u.Report.Running, Outstanding: u.Outstanding, Leaving: u.Leaving(), Ejected: now.Before(u.Health.EjectedUntil),
		})
	}
	sort.Slice(status.Upstreams, func(i, j int) bool { return status.Upstreams[i].ID < status.Upstreams[j].ID })
}

// drain starts to drain the node.
func (g *Gate) drain(c fiber.Ctx) error {
	g.Drain()
	return c.Status(fiber.StatusAccepted).JSON(map[string]string{"state": board.Draining.String()})
}
