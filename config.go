package quetzalpier

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"
)

// KeptIDs is the number of patch IDs that the configuration document keeps, so
// that reading it shows whether a patch with an unknown outcome was applied.
const KeptIDs = 64

// Config is the operators' configuration. Number increases by one with each
// accepted patch; IDs are those of the last patches, newest last.
type Config struct {
	Number  uint64            `json:"number"`
	IDs     []string          `json:"ids,omitempty"`
	Pools   map[string]Pool   `json:"pools,omitempty"`
	Callers map[string]Caller `json:"callers,omitempty"`
	// Routes map requests to pools by host and path.
	Routes []Route `json:"routes,omitempty"`
	// Input limits the requests of callers.
	Input Input `json:"input,omitzero"`
}

// Input limits the size and duration of the requests of callers. Zero fields set
// no limit.
type Input struct {
	Header int           `json:"header,omitempty"`
	Body   int           `json:"body,omitempty"`
	Wait   time.Duration `json:"wait,omitempty"`
	Idle   time.Duration `json:"idle,omitempty"`
}

// Route maps the requests for one host whose path starts with Prefix to pools.
type Route struct {
	Name   string `json:"name"`
	Host   string `json:"host"`
	Prefix string `json:"prefix"`
	// Repeat marks requests that may run more than once.
	Repeat bool `json:"repeat,omitempty"`
	// Stream marks routes that respond with an event stream. Resume allows another
	// upstream to continue an interrupted stream.
	Stream bool `json:"stream,omitempty"`
	Resume bool `json:"resume,omitempty"`
	// Batch marks routes that accept jobs of trainers.
	Batch bool `json:"batch,omitempty"`
	// Single requires that a task is generated with one weight version.
	Single   bool     `json:"single,omitempty"`
	Targets  []Target `json:"targets"`
	Attempts int      `json:"attempts,omitempty"`
	// Priority is the route's rank; zero is the highest.
	Priority int `json:"priority,omitempty"`
	// Timeout is the maximum time that a request may wait for its response, and
	// Aim the latency objective.
	Timeout time.Duration `json:"timeout,omitempty"`
	Aim     time.Duration `json:"aim,omitempty"`
	// Due is the time from a job's submission until its last result is due, and
	// Life the time after which unfinished tasks may be abandoned.
	Due  time.Duration `json:"due,omitempty"`
	Life time.Duration `json:"life,omitempty"`
}

// Target is a pool that receives a share of a route's requests.
type Target struct {
	Pool   string  `json:"pool"`
	Weight float64 `json:"weight"`
}

// Choose returns a pool by the targets' weights. draw is a random number from 0
// to 1.
func (r Route) Choose(draw float64) string {
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

// Match returns the route for a host and path, the one with the longest matching
// prefix. It returns false if there is none.
func (c *Config) Match(host, path string) (Route, bool) {
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

// Pool is the configuration of a group of upstreams.
type Pool struct {
	// Kind is KindEngine or KindPlain.
	Kind string `json:"kind"`
	// Trainer is the name of the trainer that publishes the pool's weights; empty
	// if there is none.
	Trainer string `json:"trainer,omitempty"`
	// Serving is the minimum share of the pool's engines that keep serving while
	// others load a new weight version, 0 to 1. A lower share gives fresher
	// samples, a higher one more stable latencies.
	Serving float64 `json:"serving,omitempty"`
	// Once lists the calls that are not idempotent, as "METHOD /path-prefix".
	Once []string `json:"once,omitempty"`
	// Slots is the number of requests that one upstream runs concurrently; zero
	// means DefaultSlots.
	Slots int `json:"slots,omitempty"`
	// Conns is the number of connections that one upstream accepts from all
	// callers.
	Conns int `json:"conns,omitempty"`
	// Models are the names of the models that the pool's engines serve.
	Models []string `json:"models,omitempty"`
}

// DefaultSlots is the number of slots of a pool that doesn't set it.
const DefaultSlots = 32

// Concurrent returns the number of requests that one upstream of the pool runs
// concurrently.
func (p Pool) Concurrent() int {
	if p.Slots == 0 {
		return DefaultSlots
	}
	return p.Slots
}

// NonIdempotent reports whether the pool's rules mark the call as not idempotent,
// so that it must run at most once.
func (p Pool) NonIdempotent(method, path string) bool {
	for _, rule := range p.Once {
		verb, prefix, _ := strings.Cut(rule, " ")
		if verb == method && strings.HasPrefix(path, prefix) {
			return true
		}
	}
	return false
}

// Caller is the configuration of a caller.
type Caller struct {
	Class Class `json:"class"`
	// Weight is the caller's relative share among the callers of its class.
	Weight float64 `json:"weight,omitempty"`
}

// Class is a caller's scheduling class; a lower number has priority.
type Class int

// The classes.
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

// MarshalText returns the class's name.
func (c Class) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// UnmarshalText decodes a class's name.
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
	return c.Check()
}

// StrictConfig decodes a configuration and rejects unknown fields. It is meant
// for input of operators. Nodes use UnmarshalJSON instead, because newer nodes may
// have accepted fields that they don't know.
func StrictConfig(data []byte) (Config, error) {
	type bare Config
	var c Config
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode((*bare)(&c)); err != nil {
		return c, err
	}
	return c, c.Check()
}

// Check validates the configuration and returns the first error.
func (c *Config) Check() error {
	for name, p := range c.Pools {
		if p.Kind != KindEngine && p.Kind != KindPlain {
			return &FieldError{"pools." + name + ".kind", `must be "engine" or "plain"`}
		}
		if p.Serving < 0 || p.Serving > 1 {
			return &FieldError{"pools." + name + ".serving", "must be 0 to 1"}
		}
		if p.Slots < 0 {
			return &FieldError{"pools." + name + ".slots", "must not be negative"}
		}
		for i, rule := range p.Once {
			if _, path, ok := strings.Cut(rule, " "); !ok || !strings.HasPrefix(path, "/") {
				return &FieldError{fmt.Sprintf("pools.%s.once[%d]", name, i), `must be "METHOD /path"`}
			}
		}
	}
	for i, route := range c.Routes {
		if route.Host == "" || !strings.HasPrefix(route.Prefix, "/") || len(route.Targets) == 0 {
			return &FieldError{fmt.Sprintf("routes[%d]", i), "must have a host, a prefix that starts with a slash, and a target"}
		}
	}
	for name, caller := range c.Callers {
		if caller.Weight < 0 {
			return &FieldError{"callers." + name + ".weight", "must not be negative"}
		}
	}
	return nil
}

// Applied reports whether the patch with this ID is among the last KeptIDs patches
// of the configuration.
func (c *Config) Applied(id string) bool {
	return slices.Contains(c.IDs, id)
}
