package gate

import (
	"encoding/json"
	"math"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"quetzalpier"
	"quetzalpier/engine"
)

// fail writes an error as an RFC 9457 problem body.
func (g *Gate) fail(c fiber.Ctx, err error) error {
	var status *engine.StatusError
	if errors.As(err, &status) {
		// The upstream's own answer is passed on as it is.
		c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
		return c.Status(status.Status).Send(status.Body)
	}
	refusal := keyed(c, g.refusal(err))
	g.Meter.Refusals.WithLabelValues(refusal.Type, string(refusal.Ran)).Inc()
	body, err := json.Marshal(refusal)
	if err != nil {
		return errors.Wrap(err, "encode problem")
	}
	setAfter(c, refusal.After)
	c.Set(fiber.HeaderContentType, "application/problem+json")
	return c.Status(refusal.Status).Send(body)
}

func (g *Gate) refusal(err error) *quetzalpier.Refusal {
	var refusal *quetzalpier.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	var web *fiber.Error
	if errors.As(err, &web) {
		return &quetzalpier.Refusal{Type: "request", Title: web.Message, Status: web.Code, Ran: quetzalpier.RanNo}
	}
	g.Log.Error().Err(err).Msg("request failed")
	return &quetzalpier.Refusal{Type: "internal", Title: "internal error", Status: fasthttp.StatusInternalServerError, Detail: err.Error(), Ran: quetzalpier.RanUnknown}
}

// claimed marks a request whose refusal was decided under its claim.
const claimed = "claimed"

// keyed corrects a refusal of a keyed request that was decided without its
// claim: an earlier copy may have run, whatever is known of this one.
func keyed(c fiber.Ctx, r *quetzalpier.Refusal) *quetzalpier.Refusal {
	proved := c.Locals(claimed) != nil || r.Status != fasthttp.StatusServiceUnavailable
	if c.Get(keyHeader) == "" || proved || r.Ran != quetzalpier.RanNo {
		return r
	}
	corrected := *r
	corrected.Ran = quetzalpier.RanUnknown
	return &corrected
}

// setAfter tells when to come back, in whole seconds as the header wants, and
// in milliseconds for callers that know the finer one.
func setAfter(c fiber.Ctx, after time.Duration) {
	if after <= 0 {
		return
	}
	c.Set(fiber.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(after.Seconds()))))
	c.Set("Retry-After-Ms", strconv.FormatInt(after.Milliseconds(), 10))
}
