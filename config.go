package quetzalpier

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"
)

// KeptIDs is how many patch ids the configuration document keeps, so that a
// lost answer can be settled by reading back.
const KeptIDs = 64

// Config is the operators' configuration. Number rises by one with each
// accepted patch; IDs names the last patches, newest last.
type Config struct {
	Number  uint64            `json:"number"`
	IDs     []string          `json:"ids,omitempty"`
	Pools   map[string]Pool   `json:"pools,omitempty"`
	Callers map[string]Caller `json:"callers,omitempty"`
	// Routes lead requests to pools by host and path.
	Routes []Route `json:"routes,omitempty"`
	// Input bounds what a caller may send.
	Input Input `json:"input,omitzero"`
}

// Input bounds what a caller may send, and how long it may take. Zero fields
// set no bound.
type Input struct {
	Header int           `json:"header,omitempty"`
	Body   int           `json:"body,omitempty"`
	Wait   time.Duration `json:"wait,omitempty"`
	Idle   time.Duration `json:"idle,omitempty"`
}

// Route leads the requests of one host whose path starts with Prefix.
type Route struct {
	Name   string `json:"name"`
	Host   string `json:"host"`
	Prefix string `json:"prefix"`
	// Repeat allows a request to run more than once.
	Repeat bool `json:"repeat,omitempty"`
	// Stream routes answer with events; Resume lets another upstream go on
	// where a stream was cut.
	Stream bool `json:"stream,omitempty"`
	Resume bool `json:"resume,omitempty"`
	// Batch routes take jobs of a trainer.
	Batch bool `json:"batch,omitempty"`
	// Single demands that one weight version makes the whole of a task.
	Single   bool     `json:"single,omitempty"`
	Targets  []Target `json:"targets"`
	Attempts int      `json:"attempts,omitempty"`
	// Priority is the route's rank; zero goes first.
	Priority int `json:"priority,omitempty"`
	// Timeout is the longest that a request may be kept waiting, and Aim the
	// latency objective.
	Timeout time.Duration `json:"timeout,omitempty"`
	Aim     time.Duration `json:"aim,omitempty"`
	// Due is the time from a job's submission to its last result, and Life
	// the time after which its tasks may be given up.
	Due  time.Duration `json:"due,omitempty"`
	Life time.Duration `json:"life,omitempty"`
}

// Target is a pool that takes a share of a route's requests.
type Target struct {
	Pool   string  `json:"pool"`
	Weight float64 `json:"weight"`
}

// Choose returns the pool that a draw from 0 to 1 falls on, by the targets'
// weights.
func (r Route) Choose(draw float64) string {
	total := 0.0
	for _, target := range r.Targets {
		total += target.Weight
	}
	at := draw * total
	for _, target := range r.Targets {
		if at -= target.Weight; at < 0 {
			return target.Pool
		}
	}
	return r.Targets[len(r.Targets)-1].Pool
}

// Match returns the route with the longest prefix of the host that begins the
// path; false if there is none.
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

// Pool binds upstreams to a model name.
type Pool struct {
	// Kind is KindEngine or KindPlain.
	Kind string `json:"kind"`
	// Trainer owns the pool's weights; empty for pools that no trainer feeds.
	Trainer string `json:"trainer,omitempty"`
	// Serving is the least share of the pool's engines that stay up while
	// versions are swapped, 0 to 1. A lower share brings fresher samples, a
	// higher one steadier answers.
	Serving float64 `json:"serving,omitempty"`
	// Once lists "METHOD /path-prefix" of calls that are not idempotent.
	Once []string `json:"once,omitempty"`
	// Slots is how many requests one upstream runs at a time.
	Slots int `json:"slots,omitempty"`
	// Conns is how many connections one upstream takes from all callers.
	Conns int `json:"conns,omitempty"`
	// Models names the models that the pool's engines serve.
	Models []string `json:"models,omitempty"`
}

// DefaultSlots is used for a pool that sets none.
const DefaultSlots = 32

// Concurrent is how many requests one upstream of the pool runs at a time.
func (p Pool) Concurrent() int {
	if p.Slots == 0 {
		return DefaultSlots
	}
	return p.Slots
}

// NonIdempotent tells whether the pool marks the call as one that must run at
// most once.
func (p Pool) NonIdempotent(method, path string) bool {
	for _, rule := range p.Once {
		verb, prefix, _ := strings.Cut(rule, " ")
		if verb == method && strings.HasPrefix(path, prefix) {
			return true
		}
	}
	return false
}

// Caller binds a caller's name to its class.
type Caller struct {
	Class Class `json:"class"`
	// Weight is the caller's share among callers of its class.
	Weight float64 `json:"weight,omitempty"`
}

// Class orders callers; a lower number goes first.
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

// MarshalText writes the class's name.
func (c Class) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// UnmarshalText reads a class's name.
func (c *Class) UnmarshalText(text []byte) error {
	for i, name := range classNames {
		if name == string(text) {
			*c = Class(i)
			return nil
		}
	}
	return &FieldError{"class", "must be one of " + strings.Join(classNames, ", ")}
}

// UnmarshalJSON decodes a configuration and checks it.
func (c *Config) UnmarshalJSON(data []byte) error {
	type bare Config
	if err := json.Unmarshal(data, (*bare)(c)); err != nil {
		return err
	}
	return c.Check()
}

// StrictConfig decodes a configuration in which every field must be known. It
// is for what operators submit; nodes read what newer ones have accepted.
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

// Check reports the first fault of the configuration.
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

// Applied tells whether the patch with this id is part of the configuration,
// as far back as its ids go.
func (c *Config) Applied(id string) bool {
	return slices.Contains(c.IDs, id)
}
