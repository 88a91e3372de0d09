package gate

import (
	"encoding/json"
	"regexp"
	"strconv"

	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/wire"
)

var trainerName = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// trainerHandler returns a handler that forwards a trainer's call to the owner of
// its steps.
func (g *Gate) trainerHandler(op wire.Trainer_Op) fiber.Handler {
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
		return g.forwardToOwner(c, call)
	}
}

// publish records a new weight version for the pilots. It responds only after the
// owner of the trainer's steps has the version, so that waiting pulls use it.
func (g *Gate) publish(c fiber.Ctx) error {
	var p quetzalpier.Publish
	body := append([]byte(nil), c.Body()...)
	if err := json.Unmarshal(body, &p); err != nil {
		return quetzalpier.Malformed(err)
	}
	trainer := c.Params("trainer")
	pool, err := g.findPool(p.Pool, quetzalpier.KindEngine)
	if err != nil {
		return err
	}
	if pool.Trainer != trainer {
		return quetzalpier.Invalid("pool", "is not fed by trainer "+trainer)
	}
	changed := false
	g.Board.Update(func(s *board.State) { changed = s.RaiseTarget(p.Pool, p.Version) })
	if changed {
		g.Broadcast()
	}
	return g.forwardToOwner(c, &wire.Trainer{Op: wire.Trainer_PUBLISH, Trainer: trainer, Body: body})
}

func (g *Gate) forwardToOwner(c fiber.Ctx, call *wire.Trainer) error {
	answer := g.CallOwner(c.RequestCtx(), call)
	setRetryAfter(c, wire.Millis(answer.GetAfter()))
	contentType := fiber.MIMEApplicationJSON
	if answer.GetStatus() != fasthttp.StatusOK {
		contentType = "application/problem+json"
	}
	c.Set(fiber.HeaderContentType, contentType)
	return c.Status(int(answer.GetStatus())).Send(answer.GetBody())
}
