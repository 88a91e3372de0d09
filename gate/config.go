package gate

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/conf"
)

const (
	patchTimeout = 8 * time.Second
	patchHeader  = "Quetzalpier-Patch"
)

// getConfig returns the configuration that is active on this node.
func (g *Gate) getConfig(c fiber.Ctx) error {
	var config quetzalpier.Config
	g.Board.Do(func(s *board.State) { config = s.Config })
	return sendConfig(c, config)
}

func sendConfig(c fiber.Ctx, config quetzalpier.Config) error {
	c.Set(fiber.HeaderETag, strconv.Quote(strconv.FormatUint(config.Number, 10)))
	return c.JSON(config)
}

// patchConfig applies a JSON merge patch to the configuration number in
// If-Match. The patch's id comes from the caller or is generated here; a caller
// that lost the response can send the same patch again under it.
func (g *Gate) patchConfig(c fiber.Ctx) error {
	number, err := strconv.ParseUint(strings.Trim(c.Get(fiber.HeaderIfMatch), `"`), 10, 64)
	if err != nil {
		return quetzalpier.Invalid(fiber.HeaderIfMatch, "must be the number that the patch was written against")
	}
	id := c.Get(patchHeader)
	if id == "" {
		id = uuid.NewString()
	}
	c.Set(patchHeader, id)
	body := append([]byte(nil), c.Body()...)
	if !json.Valid(body) {
		return quetzalpier.Invalid("body", "must be a JSON merge patch")
	}
	ctx, cancel := context.WithTimeout(context.Background(), patchTimeout)
	defer cancel()
	config, err := conf.Patch(ctx, g.KV, number, id, body)
	if err != nil {
		return patchRefusal(err)
	}
	g.applyConfig(config)
	return sendConfig(c, config)
}

// applyConfig activates an accepted configuration on this node and broadcasts it
// to the others.
func (g *Gate) applyConfig(config quetzalpier.Config) {
	changed := false
	g.Board.Update(func(s *board.State) { changed = s.SetConfig(config) })
	if changed {
		g.Broadcast()
	}
}

func patchRefusal(err error) error {
	const after = 2 * time.Second
	var stale *conf.StaleError
	var invalid *conf.PatchError
	var unknown *quetzalpier.OutcomeUnknownError
	switch {
	case errors.As(err, &stale):
		return &quetzalpier.Refusal{
			Type: "number", Title: "patch against an outdated number", Status: fasthttp.StatusPreconditionFailed,
			Detail: stale.Error(), Number: stale.Number, Ran: quetzalpier.RanNo,
		}
	case errors.As(err, &invalid):
		return quetzalpier.Malformed(invalid.Err)
	case errors.As(err, &unknown):
		return quetzalpier.Unavailable("platform", "whether the patch was accepted is not known; send it again with the same "+patchHeader, quetzalpier.RanUnknown, after)
	default:
		return quetzalpier.Unavailable("platform", "the configuration can't be changed now: "+err.Error(), quetzalpier.RanNo, after)
	}
}
