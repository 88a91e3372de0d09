// Package setup reads the settings files of nodes. All decoding, defaults and
// validation of settings are in this package.
package setup

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
)

// Roles of a node.
const (
	RoleGate  = "gate"
	RoleStep  = "step"
	RolePilot = "pilot"
	RoleStore = "store"
)

// Node holds a node's settings.
type Node struct {
	Name   string   `toml:"name" validate:"required,hostname_rfc1123"`
	Domain string   `toml:"domain" validate:"required"`
	Region string   `toml:"region"`
	Roles  []string `toml:"roles" validate:"required,min=1,unique,dive,oneof=gate step pilot store"`
	// HTTP is the address for callers, trainers and operators.
	HTTP string `toml:"http" validate:"required,hostport"`
	// Peer is the address for calls from other nodes.
	Peer  string   `toml:"peer" validate:"required,hostport"`
	Seeds []string `toml:"seeds" validate:"dive,hostport"`
	// DataDir is the directory for bulk data; empty on a VM without a disk.
	DataDir string `toml:"data"`
	// TokenFile is the file that holds the operators' token. Without one,
	// operators' calls are accepted only from the loopback interface.
	TokenFile string `toml:"token"`
	// Log is the minimum log level.
	Log string `toml:"log" validate:"oneof=debug info warn error"`
	// LookupTTL is the time for which callers may cache the list of addresses to
	// use.
	LookupTTL Duration `toml:"keep" validate:"min=1000000000,max=600000000000"`
	// ConfigMaxAge is the maximum time since the configuration was last confirmed
	// to be current.
	ConfigMaxAge Duration `toml:"bound" validate:"min=1000000000,max=600000000000"`
	// StalePolicy is how the node handles requests while its configuration has not
	// been confirmed within ConfigMaxAge: "refuse" or "serve".
	StalePolicy string   `toml:"stale" validate:"oneof=refuse serve"`
	Platform    Platform `toml:"platform"`
	Limits      Limits   `toml:"limits"`
}

// Platform holds the addresses and limits of the platform's services.
type Platform struct {
	KV  string `toml:"kv" validate:"required,hostport"`
	VMs string `toml:"vms" validate:"required,hostport"`
	// LoadRate is the number of loads per second that the weight store serves; zero
	// for no limit.
	LoadRate float64 `toml:"loads" validate:"min=0"`
}

// Limits restrict the requests that a node accepts and the duration of its stop.
type Limits struct {
	// MaxBodyBytes is the maximum size of a request body, in bytes.
	MaxBodyBytes int `toml:"body" validate:"min=1024,max=268435456"`
	// QueueTimeout is the time until the deadline of requests that set no timeout.
	// It includes the wait for a slot.
	QueueTimeout Duration `toml:"wait" validate:"min=100000000,max=600000000000"`
	// DrainTimeout is the maximum time that a planned stop waits for requests in
	// flight.
	DrainTimeout Duration `toml:"drain" validate:"min=1000000000,max=7200000000000"`
}

// Duration is a time.Duration that is encoded as text, such as "250ms" or "10s".
type Duration time.Duration

// UnmarshalText decodes a duration.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}

// MarshalText encodes the duration.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// D returns the duration as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// Error lists all errors of a settings file.
type Error struct {
	File     string
	Problems []string
}

// Error implements error.
func (e *Error) Error() string {
	return e.File + ":\n  " + strings.Join(e.Problems, "\n  ")
}

// Defaults returns the defaults of the optional settings.
func Defaults() Node {
	return Node{
		Log: "info", StalePolicy: "refuse",
		LookupTTL: Duration(30 * time.Second), ConfigMaxAge: Duration(12 * time.Second),
		Limits: Limits{MaxBodyBytes: 4 << 20, QueueTimeout: Duration(30 * time.Second), DrainTimeout: Duration(30 * time.Minute)},
	}
}

// Read reads and validates a settings file.
func Read(file string) (Node, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Node{}, errors.Wrap(err, "read settings")
	}
	return Parse(file, data)
}

// Parse decodes and validates settings. It returns an Error that lists all errors
// with their positions or setting names.
func Parse(file string, data []byte) (Node, error) {
	return parse(file, data, Defaults(), checkNode)
}

// checkNode validates the settings that depend on each other.
func checkNode(node Node) []string {
	if node.DataDir == "" && slices.Contains(node.Roles, RoleStore) {
		return []string{"data: the store role requires a data directory"}
	}
	return nil
}

// parse decodes data over the defaults and returns an Error that lists all errors.
func parse[T any](file string, data []byte, defaults T, check func(T) []string) (T, error) {
	settings := defaults
	decoder := toml.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&settings)
	problems := decodeErrors(err)
	// Decoding stops at the first syntax or type error, so values are validated
	// only without one. Unknown keys don't stop decoding.
	var strict *toml.StrictMissingError
	var decodeErr *toml.DecodeError
	if errors.As(err, &strict) || !errors.As(err, &decodeErr) {
		problems = append(problems, validationErrors(settings)...)
		problems = append(problems, check(settings)...)
	}
	if len(problems) > 0 {
		return settings, &Error{File: file, Problems: problems}
	}
	return settings, nil
}

func decodeErrors(err error) []string {
	var strict *toml.StrictMissingError
	var single *toml.DecodeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &strict):
		var problems []string
		for _, fault := range strict.Errors {
			row, col := fault.Position()
			problems = append(problems, fmt.Sprintf("%d:%d: unknown key %q", row, col, strings.Join(fault.Key(), ".")))
		}
		return problems
	case errors.As(err, &single):
		row, col := single.Position()
		return []string{fmt.Sprintf("%d:%d: %s", row, col, single.Error())}
	default:
		return []string{err.Error()}
	}
}

func validationErrors(settings any) []string {
	var problems []string
	var found validator.ValidationErrors
	if errors.As(newValidator().Struct(settings), &found) {
		for _, fault := range found {
			_, name, _ := strings.Cut(fault.Namespace(), ".")
			problems = append(problems, fmt.Sprintf("%s: %v does not meet %s", name, formatValue(fault.Value()), formatRule(fault)))
		}
	}
	return problems
}

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(field reflect.StructField) string {
		return strings.Split(field.Tag.Get("toml"), ",")[0]
	})
	_ = v.RegisterValidation("hostport", func(field validator.FieldLevel) bool {
		host, port, err := net.SplitHostPort(field.Field().String())
		return err == nil && net.ParseIP(host) != nil && port != ""
	})
	return v
}

func formatValue(value any) string {
	if d, ok := value.(Duration); ok {
		return d.D().String()
	}
	return fmt.Sprintf("%q", fmt.Sprint(value))
}

func formatRule(fault validator.FieldError) string {
	if fault.Tag() == "hostport" {
		return "IP:port"
	}
	if fault.Param() == "" {
		return fault.Tag()
	}
	if _, ok := fault.Value().(Duration); ok {
		if d, err := time.ParseDuration(fault.Param() + "ns"); err == nil {
			return fault.Tag() + "=" + d.String()
		}
	}
	return fault.Tag() + "=" + fault.Param()
}
