package gate

import (
	"encoding/json"
	"regexp"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/wire"
)

var trainerName = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// trainer carries a trainer's call to the owner of its steps.
func (g *Gate) trainer(op wire.Trainer_Op) fiber.Handler {
	return func(c fiber.Ctx) error {
		call := &wire.Trainer{Op: op, Trainer: c.Params("trainer"), Body: append([]byte(nil), c.Body()...)}
		if !trainerName.MatchString(call.GetTrainer()) {
			return quetzalpier.Invalid("trainer", "must be 1 to 64 letters, digits, dots, dashes or underscores")
		}
		number, err := strconv.ParseUint(c.Params("step"), 10, 64)
		if err != nil {
			return quetzalpier.Invalid("step", "must be a whole number")
		}
		call.Step = number
		return g.pass(c, call)
	}
}

// publish notes a new version for the pilots, and tells the owner of the
// trainer's steps before it answers, so that pulls that wait are judged by it.
func (g *Gate) publish(c fiber.Ctx) error {
	var p quetzalpier.Publish
	body := append([]byte(nil), c.Body()...)
	if err := json.Unmarshal(body, &p); err != nil {
		return quetzalpier.Malformed(err)
	}
	trainer := c.Params("trainer")
	pool, err := g.pool(p.Pool, quetzalpier.KindEngine)
	if err != nil {
		return err
	}
	if pool.Trainer != trainer {
		return quetzalpier.Invalid("pool", "is not fed by trainer "+trainer)
	}
	news := false
	g.Board.Update(func(s *board.State) { news = s.Publish(p.Pool, p.Version) })
	if news {
		g.Tell()
	}
	return g.pass(c, &wire.Trainer{Op: wire.Trainer_PUBLISH, Trainer: trainer, Body: body})
}

func (g *Gate) pass(c fiber.Ctx, call *wire.Trainer) error {
	answer := g.Trainer(c.RequestCtx(), call)
	setAfter(c, time.Duration(answer.GetAfter())*time.Millisecond)
	kind := fiber.MIMEApplicationJSON
	if answer.GetStatus() != fasthttp.StatusOK {
		kind = "application/problem+json"
	}
	c.Set(fiber.HeaderContentType, kind)
	return c.Status(int(answer.GetStatus())).Send(answer.GetBody())
}
