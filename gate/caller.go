package gate

import (
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"

	"quetzalpier"
	"quetzalpier/board"
)

// identity is the sender of a request, with its settings in the configuration.
type identity struct {
	name   string
	tenant string
	class  quetzalpier.Class
	weight float64
}

const (
	callerHeader  = "Quetzalpier-Caller"
	timeoutHeader = "Quetzalpier-Timeout"
	// otherTenant is the tenant label of callers that aren't in the configuration.
	otherTenant = "other"
)

// caller identifies the sender of the request by the caller header, or by the
// API key that OpenAI clients send.
func (g *Gate) caller(c fiber.Ctx) identity {
	name := c.Get(callerHeader)
	if name == "" {
		name = strings.TrimPrefix(c.Get(fiber.HeaderAuthorization), "Bearer ")
	}
	caller := identity{name: name, tenant: otherTenant, class: quetzalpier.ClassInternal}
	g.Board.Do(func(s *board.State) {
		if known, ok := s.Config.Callers[name]; ok {
			caller.tenant, caller.class, caller.weight = name, known.Class, known.Weight
		}
	})
	return caller
}

// deadline returns the deadline from the request's timeout header, or the
// default one.
func (g *Gate) deadline(c fiber.Ctx, now time.Time) (time.Time, error) {
	text := c.Get(timeoutHeader)
	if text == "" {
		return now.Add(g.MaxWait), nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		return now, quetzalpier.Invalid(timeoutHeader, `must be a duration as "2s"`)
	}
	return now.Add(d), nil
}

// findPool returns the pool of the given name and kind from the configuration.
func (g *Gate) findPool(name, kind string) (quetzalpier.Pool, error) {
	var p quetzalpier.Pool
	ok := false
	g.Board.Do(func(s *board.State) { p, ok = s.Config.Pools[name] })
	if !ok || p.Kind != kind {
		return p, quetzalpier.NotFound("pool", "there is no "+kind+" pool "+name)
	}
	return p, nil
}
