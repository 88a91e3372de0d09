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

// writeError writes an error as an RFC 9457 problem response.
func (g *Gate) writeError(c fiber.Ctx, err error) error {
	var status *engine.StatusError
	if errors.As(err, &status) {
		// The upstream's own response is forwarded unchanged.
		c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
		return c.Status(status.Status).Send(status.Body)
	}
	refusal := correctKeyedRefusal(c, g.asRefusal(err))
	g.Meter.Refusals.WithLabelValues(refusal.Type, string(refusal.Ran)).Inc()
	body, err := json.Marshal(refusal)
	if err != nil {
		return errors.Wrap(err, "encode problem")
	}
	setRetryAfter(c, refusal.RetryAfter)
	c.Set(fiber.HeaderContentType, "application/problem+json")
	return c.Status(refusal.Status).Send(body)
}

func (g *Gate) asRefusal(err error) *quetzalpier.Refusal {
	var refusal *quetzalpier.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	var httpError *fiber.Error
	if errors.As(err, &httpError) {
		return &quetzalpier.Refusal{Type: "request", Title: httpError.Message, Status: httpError.Code, Ran: quetzalpier.RanNo}
	}
	g.Log.Error().Err(err).Msg("request failed with an internal error")
	return &quetzalpier.Refusal{Type: "internal", Title: "internal error", Status: fasthttp.StatusInternalServerError, Detail: err.Error(), Ran: quetzalpier.RanUnknown}
}

// claimedKey is the fiber local that marks a request that held its claim.
const claimedKey = "claimed"

// correctKeyedRefusal sets Ran to unknown in a 503 refusal of a request with an
// idempotency key that did not hold its claim: an earlier copy may have run, even
// if this one did not.
func correctKeyedRefusal(c fiber.Ctx, r *quetzalpier.Refusal) *quetzalpier.Refusal {
	certain := c.Locals(claimedKey) != nil || r.Status != fasthttp.StatusServiceUnavailable
	if c.Get(keyHeader) == "" || certain || r.Ran != quetzalpier.RanNo {
		return r
	}
	corrected := *r
	corrected.Ran = quetzalpier.RanUnknown
	return &corrected
}

// setRetryAfter sets the retry delay in whole seconds in the standard header, and
// in milliseconds in one of its own.
func setRetryAfter(c fiber.Ctx, after time.Duration) {
	if after <= 0 {
		return
	}
	c.Set(fiber.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(after.Seconds()))))
	c.Set("Retry-After-Ms", strconv.FormatInt(after.Milliseconds(), 10))
}
