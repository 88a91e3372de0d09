package quetzalpier

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
	"unicode"

	"quetzalpier/hash"
)

// MaxPatchIDs is the number of recent patch IDs kept in the configuration
// document, where an operator whose response was lost can check whether the
// patch was applied.
const MaxPatchIDs = 64

// Config is the operators' configuration. Number increases by one with each
// accepted patch; PatchIDs lists the most recent patches, newest last.
type Config struct {
	Number   uint64            `json:"number"`
	PatchIDs []string          `json:"ids,omitempty"`
	Pools    map[string]Pool   `json:"pools,omitempty"`
	Callers  map[string]Caller `json:"callers,omitempty"`
	// Routes map requests to pools by host and path prefix.
	Routes []Route `json:"routes,omitempty"`
	// Customers hold the API keys that requests must carry, except on public routes. Without
	// customers, no request needs a key.
	Customers []Customer `json:"customers,omitempty"`
	// InputLimits limits what a client may send.
	InputLimits Input `json:"input,omitzero"`
}

// KeyHash is the SHA-256 digest of an API key.
type KeyHash [sha256.Size]byte

// HashKey returns the digest of an API key.
func HashKey(key []byte) KeyHash { return sha256.Sum256(key) }

// Customer is a holder of API keys. Priority replaces that of the route of its requests;
// zero is the highest priority.
type Customer struct {
	Name     string    `json:"name"`
	Keys     []KeyHash `json:"keys,omitempty"`
	Priority int       `json:"priority,omitempty"`
}

// Input limits the size of a client's requests in bytes, the time to receive
// a request's headers (HeaderTimeout) and a connection's idle time. Zero means no
// limit.
type Input struct {
	MaxHeaderBytes int           `json:"header,omitempty"`
	MaxBodyBytes   int           `json:"body,omitempty"`
	HeaderTimeout  time.Duration `json:"wait,omitempty"`
	IdleTimeout    time.Duration `json:"idle,omitempty"`
}

// Route maps the requests for one host whose path starts with Prefix to pools.
type Route struct {
	Name   string `json:"name"`
	Host   string `json:"host"`
	Prefix string `json:"prefix"`
	// Idempotent requests may run more than once.
	Idempotent bool `json:"repeat,omitempty"`
	// Stream routes respond with an event stream; CanResume allows another
	// upstream to continue an interrupted stream.
	Stream    bool `json:"stream,omitempty"`
	CanResume bool `json:"resume,omitempty"`
	// Batch routes accept a trainer's jobs.
	Batch bool `json:"batch,omitempty"`
	// Public routes accept requests without an API key.
	Public bool `json:"public,omitempty"`
	// SingleVersion requires all tokens of a task to come from one weight version.
	SingleVersion bool     `json:"single,omitempty"`
	Targets       []Target `json:"targets"`
	MaxAttempts   int      `json:"attempts,omitempty"`
	// Priority orders routes; zero is the highest priority.
	Priority int `json:"priority,omitempty"`
	// Timeout is the maximum duration of a request, and LatencyObjective the
	// duration within which it should complete.
	Timeout          time.Duration `json:"timeout,omitempty"`
	LatencyObjective time.Duration `json:"aim,omitempty"`
	// JobObjective is the time after a job's submission by which its last result
	// should be ready, and TaskTTL the time after which its unfinished tasks may be
	// dropped.
	JobObjective time.Duration `json:"due,omitempty"`
	TaskTTL      time.Duration `json:"life,omitempty"`
}

// Target is a pool that receives a share of a route's requests.
type Target struct {
	Pool   string  `json:"pool"`
	Weight float64 `json:"weight"`
}

// PickPool returns the pool that a random number in [0, 1) selects, in proportion
// to the targets' weights.
func (r Route) PickPool(draw float64) string {
	total := 0.0
	for _, target := range r.Targets {
		total += target.Weight
	}
	remaining := draw * total
	for _, target := range r.Targets {
		if remaining -= target.Weight; remaining < 0 {
			return target.Pool
		}
	}
	return r.Targets[len(r.Targets)-1].Pool
}

// PoolOf returns the pool for a job, by its ID: all nodes with the same targets agree on it. If
// the targets change, a job keeps its pool unless another one gained weight. Over many IDs, the
// pools are chosen in proportion to the weights.
func (r Route) PoolOf(id string) string {
	best, pool := math.Inf(1), ""
	for _, target := range r.Targets {
		// The least of exponentially distributed numbers with the weights as rates.
		draw := (float64(hash.Pair(hash.Text(id), target.Pool)>>11) + 0.5) / (1 << 53)
		if wait := -math.Log(draw) / target.Weight; pool == "" || wait < best {
			best, pool = wait, target.Pool
		}
	}
	return pool
}

// MatchRoute returns the host's route with the longest prefix that matches the
// path, or false if no route matches.
func (c *Config) MatchRoute(host, path string) (Route, bool) {
	best := -1
	for i := range c.Routes {
		route := &c.Routes[i]
		if route.Host != host || !strings.HasPrefix(path, route.Prefix) {
			continue
		}
		if best < 0 || len(route.Prefix) > len(c.Routes[best].Prefix) {
			best = i
		}
	}
	if best < 0 {
		return Route{}, false
	}
	return c.Routes[best], true
}

// JobPools returns the names of the pools that may have jobs, in order: those of engines and those
// that batch routes lead to. A job stays with its pool when its route leads elsewhere or is removed.
func (c *Config) JobPools() []string {
	var names []string
	for name, pool := range c.Pools {
		if pool.Kind == KindEngine {
			names = append(names, name)
		}
	}
	for _, route := range c.Routes {
		for _, target := range route.Targets {
			if route.Batch {
				names = append(names, target.Pool)
			}
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// Pool configures a set of upstreams that serve the same requests.
type Pool struct {
	// Kind is KindEngine or KindPlain.
	Kind string `json:"kind"`
	// Trainer publishes the pool's weights; empty if no trainer does.
	Trainer string `json:"trainer,omitempty"`
	// MinServing is the minimum share of the pool's engines, 0 to 1, that keep
	// serving while others load a new version. A lower share updates weights
	// sooner, a higher one keeps more capacity.
	MinServing float64 `json:"serving,omitempty"`
	// NonIdempotentCalls lists the calls that are not idempotent, as
	// "METHOD /path-prefix".
	NonIdempotentCalls []string `json:"once,omitempty"`
	// Slots is the number of requests that one upstream runs concurrently.
	Slots int `json:"slots,omitempty"`
	// MemoryTokens is the number of tokens that the memory of one engine holds, over all
	// requests; zero if that is not known.
	MemoryTokens int `json:"tokens,omitempty"`
	// MaxConns is the maximum number of connections to one upstream, over all
	// callers.
	MaxConns int `json:"conns,omitempty"`
	// Models names the models that the pool's engines serve.
	Models []string `json:"models,omitempty"`
	// Replicas bounds the number of upstreams that may be ordered; nil if none may.
	Replicas *Replicas `json:"replicas,omitempty"`
}

// Replicas bounds and prices the upstreams of a pool that are ordered from the platform.
// Min and Max apply to each failure domain, for both kinds of upstreams together.
type Replicas struct {
	Min int `json:"min"`
	Max int `json:"max"`
	// BootTime is how long a new upstream takes until it serves.
	BootTime time.Duration `json:"boot"`
	// SpotPrice is the price of an upstream that may be reclaimed, as a share of that of
	// any other one in its failure domain. Prices are those of the failure domains.
	SpotPrice float64            `json:"spot"`
	Prices    map[string]float64 `json:"prices,omitempty"`
}

// DefaultSlots is the number of slots for a pool that sets none.
const DefaultSlots = 32

// SlotCount returns the number of requests that one upstream of the pool runs
// concurrently.
func (p Pool) SlotCount() int {
	if p.Slots == 0 {
		return DefaultSlots
	}
	return p.Slots
}

// NonIdempotent reports whether the pool lists the call as not idempotent, so
// that it must run at most once.
func (p Pool) NonIdempotent(method, path string) bool {
	for _, rule := range p.NonIdempotentCalls {
		verb, prefix, _ := strings.Cut(rule, " ")
		if verb == method && strings.HasPrefix(path, prefix) {
			return true
		}
	}
	return false
}

// Caller configures the priority of a caller's requests.
type Caller struct {
	Class Class `json:"class"`
	// Weight is the caller's share among callers of its class.
	Weight float64 `json:"weight,omitempty"`
}

// Class is a priority class; a lower number has precedence.
type Class int

// Priority classes, highest first.
const (
	ClassInteractive Class = iota
	ClassRollout
	ClassInternal
)

var classNames = []string{"interactive", "rollout", "internal"}

// String returns the class's name.
func (c Class) String() string {
	if c < 0 || int(c) >= len(classNames) {
		return fmt.Sprintf("class-%d", int(c))
	}
	return classNames[c]
}

// MarshalText encodes the class as its name.
func (c Class) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// UnmarshalText decodes the name of a class.
func (c *Class) UnmarshalText(text []byte) error {
	for i, name := range classNames {
		if name == string(text) {
			*c = Class(i)
			return nil
		}
	}
	return &FieldError{"class", "must be one of " + strings.Join(classNames, ", ")}
}

// UnmarshalJSON decodes and validates a configuration.
func (c *Config) UnmarshalJSON(data []byte) error {
	type bare Config
	if err := json.Unmarshal(data, (*bare)(c)); err != nil {
		return err
	}
	return c.Validate()
}

// DecodeStrict decodes and validates a configuration and rejects unknown fields.
// It is used for operators' input. Nodes decode without it, because a newer node
// may have stored fields that they don't know.
func DecodeStrict(data []byte) (Config, error) {
	type bare Config
	var c Config
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode((*bare)(&c)); err != nil {
		return c, err
	}
	return c, c.Validate()
}

// Validate validates the configuration and returns the first error found.
func (c *Config) Validate() error {
	for name, p := range c.Pools {
		if err := p.validate("pools." + name + "."); err != nil {
			return err
		}
	}
	for i, route := range c.Routes {
		if err := route.validate(fmt.Sprintf("routes[%d]", i)); err != nil {
			return err
		}
	}
	if err := validateCustomers(c.Customers); err != nil {
		return err
	}
	for name, caller := range c.Callers {
		if caller.Weight < 0 {
			return &FieldError{"callers." + name + ".weight", "must not be negative"}
		}
	}
	return nil
}

// validate returns an error whose field starts with the prefix.
func (p Pool) validate(prefix string) error {
	if p.Kind != KindEngine && p.Kind != KindPlain {
		return &FieldError{prefix + "kind", `must be "engine" or "plain"`}
	}
	if p.MinServing < 0 || p.MinServing > 1 {
		return &FieldError{prefix + "serving", "must be 0 to 1"}
	}
	for _, number := range []struct {
		field string
		value int
	}{{"slots", p.Slots}, {"tokens", p.MemoryTokens}} {
		if number.value < 0 {
			return &FieldError{prefix + number.field, "must not be negative"}
		}
	}
	for i, rule := range p.NonIdempotentCalls {
		if _, path, ok := strings.Cut(rule, " "); !ok || !strings.HasPrefix(path, "/") {
			return &FieldError{fmt.Sprintf("%sonce[%d]", prefix, i), `must be "METHOD /path"`}
		}
	}
	if p.Replicas == nil {
		return nil
	}
	return p.Replicas.validate(prefix + "replicas.")
}

func (r Replicas) validate(prefix string) error {
	for _, number := range []struct {
		field string
		value float64
	}{{"min", float64(r.Min)}, {"max", float64(r.Max)}, {"boot", float64(r.BootTime)}, {"spot", r.SpotPrice}} {
		if number.value < 0 {
			return &FieldError{prefix + number.field, "must not be negative"}
		}
	}
	for _, price := range r.Prices {
		if price < 0 {
			return &FieldError{prefix + "prices", "must not be negative"}
		}
	}
	return nil
}

// validate returns an error whose field starts with the prefix.
func (r Route) validate(prefix string) error {
	if r.Host == "" || !strings.HasPrefix(r.Prefix, "/") || len(r.Targets) == 0 {
		return &FieldError{prefix, "must have a host, a prefix that starts with a slash, and a target"}
	}
	for _, duration := range []struct {
		field string
		value time.Duration
	}{{"timeout", r.Timeout}, {"aim", r.LatencyObjective}, {"due", r.JobObjective}, {"life", r.TaskTTL}} {
		if duration.value < 0 {
			return &FieldError{prefix + "." + duration.field, "must not be negative"}
		}
	}
	total := 0.0
	for i, target := range r.Targets {
		if target.Weight < 0 {
			return &FieldError{fmt.Sprintf("%s.targets[%d].weight", prefix, i), "must not be negative"}
		}
		total += target.Weight
	}
	if math.IsInf(total, 0) {
		return &FieldError{prefix + ".targets", "must have weights with a finite sum"}
	}
	return nil
}

// validateCustomers returns an error if a customer has no name, or two have the same one
// or share a key.
func validateCustomers(customers []Customer) error {
	names := make(map[string]bool, len(customers))
	owners := map[KeyHash]string{}
	for i, customer := range customers {
		field := fmt.Sprintf("customers[%d].", i)
		if customer.Name == "" || names[customer.Name] {
			return &FieldError{field + "name", "must be given and stand once"}
		}
		if reason := validateCustomerName(customer.Name); reason != "" {
			return &FieldError{field + "name", reason}
		}
		names[customer.Name] = true
		for _, key := range customer.Keys {
			if owner, taken := owners[key]; taken && owner != customer.Name {
				return &FieldError{field + "keys", "a key of " + owner + " must not be another customer's"}
			}
			owners[key] = customer.Name
		}
	}
	return nil
}

// validateCustomerName returns why the name can't be sent in a header, or an empty string.
func validateCustomerName(name string) string {
	if len(name) > MaxNameBytes {
		return fmt.Sprintf("must have at most %d bytes", MaxNameBytes)
	}
	if strings.TrimSpace(name) != name || strings.ContainsFunc(name, unicode.IsControl) {
		return "must not start or end with a space, or contain control characters"
	}
	return ""
}

// HasPatch reports whether the patch with this ID is among the recent patches
// that the configuration lists.
func (c *Config) HasPatch(id string) bool {
	return slices.Contains(c.PatchIDs, id)
}
