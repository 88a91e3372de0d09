package sizing

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"quetzalpier"
	"quetzalpier/meter"
	"quetzalpier/sleep"
)

const (
	// decisionInterval is the least time between two decisions.
	decisionInterval = 500 * time.Millisecond
	// orderTimeout limits a call to the platform, which answers in 0.2 s when it is slow.
	orderTimeout = 1500 * time.Millisecond
)

// Outcomes of orders in metrics and logs.
const (
	outcomeAccepted    = "accepted"
	outcomeUnavailable = "unavailable"
	outcomeRefused     = "token refused"
	outcomeUnanswered  = "unanswered"
)

// Turns tells whether this node holds the platform's duties; see duty.Holder.
type Turns interface {
	Turn(now time.Time) (quetzalpier.Turn, bool)
	Token(now time.Time) (token uint64, since time.Time, ok bool)
	Observe(turn quetzalpier.Turn, err error, now time.Time)
}

// PoolState is what the node knows of a pool whose upstreams may be ordered.
type PoolState struct {
	View
	Pool string
	// Slots is the number of slots of an upstream. Work is known if Measured is set.
	Slots    int
	Work     Work
	Measured bool
}

// Orderer orders the upstreams of all pools while its node holds the duties.
type Orderer struct {
	Turns  Turns
	Duties quetzalpier.Duties
	// Look returns the pools, or false while this node's list of upstreams may be incomplete.
	Look  func(now time.Time) ([]PoolState, bool)
	Meter *meter.Meter
	Log   zerolog.Logger

	// plans are those of the tenure that began at since, and token is the last one in it.
	plans map[string]*Plan
	since time.Time
	token uint64
	// refused are the orders whose token was refused.
	refused []quetzalpier.ReplicaOrder
}

// Run decides until ctx ends.
func (o *Orderer) Run(ctx context.Context) {
	for sleep.For(ctx, decisionInterval) {
		o.Step(ctx, time.Now())
	}
}

// Step measures, decides and sends the orders that are due at now, if the node holds the
// duties.
func (o *Orderer) Step(ctx context.Context, now time.Time) {
	token, since, ok := o.Turns.Token(now)
	if !ok {
		o.Meter.Replicas.Reset()
		return
	}
	o.setToken(token, since, now)
	pools, known := o.Look(now)
	if !known {
		return
	}
	plans := make(map[string]*Plan, len(pools))
	for _, pool := range pools {
		plan := o.plans[pool.Pool]
		if plan == nil {
			plan = NewPlan(pool.Pool, now)
		}
		plans[pool.Pool] = plan
		if pool.Measured {
			plan.Efficiency.Observe(pool.Work)
			plan.Demand.Observe(Need(pool.Work.Steps, pool.Slots, pool.Replicas.BootTime, now)/plan.Efficiency.Share(), now)
		}
	}
	o.plans = plans
	for _, pool := range pools {
		if _, ok := o.Turns.Turn(now); ok {
			o.order(ctx, plans[pool.Pool], pool, now)
		}
		o.record(plans[pool.Pool])
	}
}

// setToken takes over the token. A newer one in the same tenure follows a refusal if no other
// node had written the key of the holder; then none of the ordered upstreams were available.
func (o *Orderer) setToken(token uint64, since, now time.Time) {
	if !since.Equal(o.since) {
		o.plans, o.since, o.refused = nil, since, nil
	}
	if token != o.token {
		for _, order := range o.refused {
			if plan := o.plans[order.Pool]; plan != nil {
				plan.Unavailable(order, now)
			}
		}
		o.token, o.refused = token, nil
	}
}

// order sends the orders of one decision and waits for their outcomes.
func (o *Orderer) order(ctx context.Context, plan *Plan, pool PoolState, now time.Time) {
	decisions := plan.Decide(pool.View, now)
	results := make([]error, len(decisions))
	began := time.Now()
	var calls conc.WaitGroup
	for i, d := range decisions {
		calls.Go(func() { results[i] = o.send(ctx, d.Order, now.Add(time.Since(began)), began) })
	}
	calls.Wait()
	now = now.Add(time.Since(began))
	for i, d := range decisions {
		outcome := o.apply(plan, d.Order, results[i], pool.Replicas.BootTime, now)
		o.Meter.ReplicaOrders.WithLabelValues(d.Order.Pool, d.Order.Domain, kindName(d.Order.Spot), outcome).Inc()
		o.logOrder(d, outcome, results[i])
	}
}

// send sends one order if it is this node's turn.
func (o *Orderer) send(ctx context.Context, order quetzalpier.ReplicaOrder, now, began time.Time) error {
	turn, ok := o.Turns.Turn(now)
	if !ok {
		return &quetzalpier.RefusedError{Call: "order of upstreams", Reason: "this node's turn is over"}
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := o.Duties.OrderReplicas(ctx, turn, order)
	o.Turns.Observe(turn, err, now.Add(time.Since(began)))
	return err
}

// apply records the outcome of an order.
func (o *Orderer) apply(plan *Plan, order quetzalpier.ReplicaOrder, err error, boot time.Duration, now time.Time) string {
	var unavailable *quetzalpier.UnavailableError
	var stale *quetzalpier.StaleFenceError
	switch {
	case err == nil:
		plan.Accepted(order, boot, now)
		return outcomeAccepted
	case errors.As(err, &unavailable):
		plan.Unavailable(order, now)
		return outcomeUnavailable
	case errors.As(err, &stale):
		o.refused = append(o.refused, order)
		return outcomeRefused
	}
	plan.Unanswered(order, now)
	return outcomeUnanswered
}

func (o *Orderer) logOrder(d Decision, outcome string, err error) {
	line := o.Log.Info()
	if err != nil {
		line = o.Log.Warn().Err(err)
	}
	line.Str("pool", d.Order.Pool).Str("domain", d.Order.Domain).Bool("spot", d.Order.Spot).Int("count", d.Order.Count).Int("before", d.Before).
		Str("reason", string(d.Reason)).Str("outcome", outcome).Float64("efficiency", d.Efficiency).Float64("peak", d.Peak).Int("target", d.Target).Int("ready", d.Ready).Int("leaving", d.Leaving).
		Dur("age_ms", d.Age).Uint64("token", o.token).Msg("upstreams ordered")
}

func (o *Orderer) record(plan *Plan) {
	for subject, count := range plan.Counts() {
		for state, value := range map[string]int{"ordered": count.Ordered, "ready": count.Ready, "leaving": count.Leaving} {
			o.Meter.Replicas.WithLabelValues(plan.Pool, subject.Domain, kindName(subject.Spot), state).Set(float64(value))
		}
	}
}

// kindName returns the name of a kind in metrics.
func kindName(spot bool) string {
	if spot {
		return "spot"
	}
	return "regular"
}
