package setup

import (
	"os"
	"time"

	"github.com/pkg/errors"
)

// Serve is the settings of a node on the users' platform. The platform renders
// them from the template in deploy/.
type Serve struct {
	Name   string `toml:"name" validate:"required"`
	Class  string `toml:"class" validate:"required"`
	Domain string `toml:"domain" validate:"required"`
	Region string `toml:"region"`
	// Peer is the address for other nodes.
	Peer string `toml:"peer" validate:"required,hostport"`
	// Front is the address for clients, Ready the one for the platform's health
	// checks and Lookup the one that tells clients where to connect. They are
	// empty on VMs that clients don't reach.
	Front  string `toml:"front" validate:"omitempty,hostport"`
	Ready  string `toml:"ready" validate:"omitempty,hostport"`
	Lookup string `toml:"lookup" validate:"omitempty,hostport"`
	// Metrics is the address of the metrics page; empty for none.
	Metrics string `toml:"metrics" validate:"omitempty,hostport"`
	// KV is the address of the platform's key-value service.
	KV string `toml:"kv" validate:"required,hostport"`
	// Memory is what the process may use, in MiB.
	Memory int `toml:"memory" validate:"min=64,max=65536"`
	// Keep is how long clients keep an answer to where to connect.
	Keep Duration `toml:"keep" validate:"min=500000000,max=60000000000"`
	// Grace is the time from a request to stop to the process's end by force.
	Grace Duration `toml:"grace" validate:"min=1000000000,max=600000000000"`
	// Turn is the least time between orders to one engine from two nodes.
	Turn Duration `toml:"turn" validate:"min=0,max=600000000000"`
	// Fenced tells that engines refuse orders with an old fencing token.
	Fenced bool `toml:"fenced"`
	// History is how long jobs and results stay readable after submission.
	History Duration `toml:"history" validate:"min=1000000000,max=86400000000000"`
	// Settle is how long after the key-value service's return entries that
	// lapsed meanwhile may still be missing.
	Settle Duration `toml:"settle" validate:"min=0,max=60000000000"`
	// Data is the folder on the VM's disk; empty on a VM without one. Losses is
	// how many disks may be lost at a time.
	Data   string `toml:"data"`
	Losses int    `toml:"losses" validate:"min=0,max=16"`
	// Log is the least level that is logged.
	Log string `toml:"log" validate:"oneof=debug info warn error"`
}

// ServeDefaults are the settings that a file need not give.
func ServeDefaults() Serve {
	return Serve{
		Log: "info", Memory: 256,
		Keep: Duration(time.Second), Grace: Duration(8 * time.Second), Turn: Duration(3 * time.Second),
		History: Duration(2 * time.Minute), Settle: Duration(2 * time.Second),
	}
}

// ReadServe reads and checks the settings of a node on the users' platform.
func ReadServe(file string) (Serve, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Serve{}, errors.Wrap(err, "read settings")
	}
	return ParseServe(file, data)
}

// ParseServe decodes and checks settings. An Error lists all faults at once.
func ParseServe(file string, data []byte) (Serve, error) {
	return parse(file, data, ServeDefaults(), func(Serve) []string { return nil })
}
