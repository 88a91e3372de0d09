package setup

import (
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Serve holds the settings of a node on the users' platform. The platform renders
// them from the template in deploy/.
type Serve struct {
	Name   string `toml:"name" validate:"required"`
	Class  string `toml:"class" validate:"required"`
	Domain string `toml:"domain" validate:"required"`
	Region string `toml:"region"`
	// Peer is the address for calls from other nodes.
	Peer string `toml:"peer" validate:"required,hostport"`
	// Front is the address for clients' requests, Ready the one for the platform's
	// health checks and Lookup the one for clients' lookups of node addresses.
	// They are empty on VMs that clients can't reach.
	Front  string `toml:"front" validate:"omitempty,hostport"`
	Ready  string `toml:"ready" validate:"omitempty,hostport"`
	Lookup string `toml:"lookup" validate:"omitempty,hostport"`
	// Metrics is the address of the metrics page; empty for none.
	Metrics string `toml:"metrics" validate:"omitempty,hostport"`
	// KV is the address of the platform's key-value service.
	KV string `toml:"kv" validate:"required,hostport"`
	// MemoryMiB is the memory limit of the process, in MiB.
	MemoryMiB int `toml:"memory" validate:"min=64,max=65536"`
	// Files is the maximum number of open file descriptors of the process.
	Files int `toml:"files" validate:"min=512,max=1048576"`
	// HeadBytes is the maximum size of the head of a request, in bytes. The configuration may set
	// a lower one.
	HeadBytes int `toml:"head" validate:"min=4096,max=1048576"`
	// LookupTTL is the time for which clients may cache a lookup answer.
	LookupTTL Duration `toml:"keep" validate:"min=500000000,max=60000000000"`
	// StopTimeout is the time between a request to stop and the forced end of the
	// process.
	StopTimeout Duration `toml:"grace" validate:"min=1000000000,max=600000000000"`
	// OrderInterval is the minimum time between orders of two nodes to one engine.
	OrderInterval Duration `toml:"turn" validate:"min=0,max=600000000000"`
	// FencingEnforced states that engines refuse orders with an old fencing token.
	FencingEnforced bool `toml:"fenced"`
	// Retention is the time after submission for which a job and its results stay
	// readable.
	Retention Duration `toml:"history" validate:"min=1000000000,max=86400000000000"`
	// KVHistory is the time for which the key-value service keeps past changes, which
	// a watch needs to continue.
	KVHistory Duration `toml:"window" validate:"min=1000000000,max=86400000000000"`
	// ContactTime is how long the key-value service must have answered a node before the node
	// counts as in contact with it, and ApplyTime how long a change may then take to be in
	// force.
	ContactTime Duration `toml:"contact" validate:"min=0,max=600000000000"`
	ApplyTime   Duration `toml:"apply" validate:"min=100000000,max=600000000000"`
	// SettleTime is the time after the key-value service's recovery within which
	// entries that expired during the outage may still be missing.
	SettleTime Duration `toml:"settle" validate:"min=0,max=60000000000"`
	// DataDir is the directory on the VM's disk; empty on a VM without one.
	// MaxDiskLosses is the number of disks whose simultaneous loss must not lose
	// data.
	DataDir       string `toml:"data"`
	MaxDiskLosses int    `toml:"losses" validate:"min=0,max=16"`
	// StrictKeys makes the node refuse requests with an API key once its configuration has
	// not been confirmed for RevokeTime.
	StrictKeys bool     `toml:"strict"`
	RevokeTime Duration `toml:"revoke" validate:"min=0,max=600000000000"`
	// PlaceByNoise makes the scheduler judge engines that report a slowdown by their learnt
	// speed, so that a noisy moment moves no run. Steps end later where engines differ in
	// speed, since runs stay on slow engines.
	PlaceByNoise bool `toml:"noise"`
	// ReusePrompts makes tasks prefer engines that hold the prompt of their group. It saves
	// prefills and starts long tasks later, which pays only where prompts take long.
	ReusePrompts bool `toml:"reuse"`
	// ShareByPriority gives jobs of a higher priority most of the engines while they may end
	// late. Jobs of a lower one keep a tenth.
	ShareByPriority bool `toml:"ranks"`
	// BoundMemory bounds the tokens of the runs on an engine by the memory that its pool's
	// configuration gives, for engines that crash beyond that.
	BoundMemory bool `toml:"fit"`
	// LongPrompt is the number of tokens from which on a prompt is long: while a pool has
	// long and short ones, they are kept apart. Zero turns that off.
	LongPrompt int `toml:"long" validate:"min=0,max=100000000"`
	// Duty configures the platform's duties; without an address there are none.
	Duty Duty `toml:"duty"`
	// Log is the minimum log level.
	Log string `toml:"log" validate:"oneof=debug info warn error"`
}

// Duty holds the settings of the calls to the platform that one node at a time makes.
type Duty struct {
	Addr string `toml:"addr" validate:"omitempty,hostport"`
	// Names are the names of the duties, separated by commas; see DutyMetering and
	// DutyAutoscale.
	Names string `toml:"duties"`
	// Rate is the number of calls per second that the platform accepts from all nodes.
	Rate float64 `toml:"rate" validate:"min=0"`
	// Window is the length of a window of usage, and Late the time after its end until
	// which its report is due.
	Window Duration `toml:"window" validate:"min=0,max=86400000000000"`
	Late   Duration `toml:"late" validate:"min=0,max=86400000000000"`
}

// Names of duties.
const (
	DutyMetering  = "metering"
	DutyAutoscale = "autoscale"
)

// Has reports whether the platform requires a duty.
func (d Duty) Has(name string) bool {
	return d.Addr != "" && slices.Contains(strings.Split(d.Names, ","), name)
}

// ServeDefaults returns the defaults of the optional settings.
func ServeDefaults() Serve {
	return Serve{
		Log: "info", MemoryMiB: 256, Files: 4096, HeadBytes: 20 << 10, LongPrompt: 4096,
		LookupTTL: Duration(time.Second), StopTimeout: Duration(8 * time.Second), OrderInterval: Duration(3 * time.Second),
		Retention: Duration(2 * time.Minute), KVHistory: Duration(20 * time.Second),
		ContactTime: Duration(3 * time.Second), ApplyTime: Duration(2 * time.Second), SettleTime: Duration(2 * time.Second), RevokeTime: Duration(5 * time.Second),
		Duty: Duty{Rate: 50, Window: Duration(5 * time.Second), Late: Duration(10 * time.Second)},
	}
}

// ReadServe reads and validates the settings of a node on the users' platform.
func ReadServe(file string) (Serve, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Serve{}, errors.Wrap(err, "read settings")
	}
	return ParseServe(file, data)
}

// ParseServe decodes and validates settings. It returns an Error that lists all
// errors.
func ParseServe(file string, data []byte) (Serve, error) {
	return parse(file, data, ServeDefaults(), func(Serve) []string { return nil })
}
