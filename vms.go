package quetzalpier

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

// Bounds of what other programs write.
const (
	// MaxSlots is the maximum number of requests that an upstream runs concurrently: an
	// address has no more ports. Products with times fit in a time.Duration.
	MaxSlots = 1 << 16
	// MaxDuration is the longest valid duration. Sums and small multiples fit in a
	// time.Duration.
	MaxDuration = 10 * 365 * 24 * time.Hour
	// MaxNameBytes is the maximum length of a name, which headers and keys contain.
	MaxNameBytes = 256
)

// VM states in the platform's list.
const (
	VMLive    = "live"
	VMLeaving = "leaving"
)

// VM kinds: a model engine, or any other upstream.
const (
	KindEngine = "engine"
	KindPlain  = "plain"
)

// VM is one upstream's entry in the platform's list.
type VM struct {
	ID     string `json:"id"`
	Addr   string `json:"addr"`
	Domain string `json:"domain"`
	Kind   string `json:"kind"`
	Pool   string `json:"pool"`
	State  string `json:"state"`
	// ChecksFence reports whether the engine checks fencing tokens.
	ChecksFence bool `json:"fenced,omitempty"`
	// Slots is the number of requests that the upstream runs concurrently; zero
	// if unknown.
	Slots int `json:"slots,omitempty"`
	// Models maps models to the weight versions that the engine reports.
	Models map[string]Version `json:"models,omitempty"`
	// Incarnation differs after each restart of the upstream, which may keep its
	// ID.
	Incarnation int64 `json:"born,omitempty"`
	// Software is the version of the upstream's software; empty if unknown. What two
	// versions generate doesn't fit together.
	Software string `json:"software,omitempty"`
	// Spot reports whether the upstream may be reclaimed at short notice, and LeavesIn is
	// how long a leaving one still runs, if it says so.
	Spot     bool          `json:"spot,omitempty"`
	LeavesIn time.Duration `json:"leaves,omitempty"`
}

// Process returns the upstream's process.
func (v VM) Process() Process { return Process{VM: v.ID, Incarnation: v.Incarnation} }

// VMList is the platform's list of VMs; Number increases with each change.
type VMList struct {
	Number uint64 `json:"number"`
	VMs    []VM   `json:"vms"`
	// Invalid holds why entries of a decoded list were left out.
	Invalid []error `json:"-"`
}

// UnmarshalJSON decodes a list. Entries that are invalid, or repeat an ID, are left out.
func (l *VMList) UnmarshalJSON(data []byte) error {
	var list struct {
		Number uint64            `json:"number"`
		VMs    []json.RawMessage `json:"vms"`
	}
	if err := json.Unmarshal(data, &list); err != nil {
		return err
	}
	*l = VMList{Number: list.Number}
	seen := make(map[string]bool, len(list.VMs))
	for i, entry := range list.VMs {
		var vm VM
		err := DecodeJSON(entry, &vm)
		if err == nil {
			err = vm.Validate()
		}
		if err == nil && seen[vm.ID] {
			err = &FieldError{"id", vm.ID + ": must stand once"}
		}
		if err != nil {
			l.Invalid = append(l.Invalid, errors.Wrapf(err, "vms[%d]", i))
			continue
		}
		seen[vm.ID] = true
		l.VMs = append(l.VMs, vm)
	}
	return nil
}

// Validate validates the entry and returns the first error found.
func (v VM) Validate() error {
	if v.ID == "" {
		return &FieldError{"id", "must not be empty"}
	}
	if err := v.validateNames(); err != nil {
		return err
	}
	if !isAddr(v.Addr) {
		return &FieldError{"addr", v.ID + ": must be an IP address and port"}
	}
	if v.Kind != KindEngine && v.Kind != KindPlain {
		return &FieldError{"kind", v.ID + `: must be "engine" or "plain"`}
	}
	if v.State != VMLive && v.State != VMLeaving {
		return &FieldError{"state", v.ID + `: must be "live" or "leaving"`}
	}
	if v.Slots < 0 || v.Slots > MaxSlots {
		return &FieldError{"slots", fmt.Sprintf("%s: must be 0 to %d, not %d", v.ID, MaxSlots, v.Slots)}
	}
	if v.LeavesIn < 0 || v.LeavesIn > MaxDuration {
		return &FieldError{"leaves", fmt.Sprintf("%s: must be 0 to %s, not %s", v.ID, MaxDuration, v.LeavesIn)}
	}
	return nil
}

// validateNames returns an error that names the field if a name is too long.
func (v VM) validateNames() error {
	for _, name := range []struct{ field, text string }{{"id", v.ID}, {"domain", v.Domain}, {"pool", v.Pool}, {"software", v.Software}} {
		if len(name.text) > MaxNameBytes {
			return &FieldError{name.field, fmt.Sprintf("must have at most %d bytes", MaxNameBytes)}
		}
	}
	for model := range v.Models {
		if len(model) > MaxNameBytes {
			return &FieldError{"models", fmt.Sprintf("%s: names must have at most %d bytes", v.ID, MaxNameBytes)}
		}
	}
	return nil
}

// isAddr reports whether the text is an IP address and port to connect to. The unspecified
// address is not: a connection to it stays on this VM.
func isAddr(text string) bool {
	addr, err := netip.ParseAddrPort(text)
	return err == nil && addr.Port() != 0 && !addr.Addr().IsUnspecified()
}
