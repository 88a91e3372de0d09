// Package access decides which customer a request belongs to, from the configuration, the
// request's API key and its route.
package access

import (
	"bytes"
	"time"

	"quetzalpier"
)

// Index finds customers by the hashes of their API keys. It is built once for each
// configuration, and look-ups don't depend on the number of keys.
type Index struct {
	customers map[quetzalpier.KeyHash]*quetzalpier.Customer
	enabled   bool
	// publicJobs is set if a batch route is public, so that jobs may have no customer.
	publicJobs bool
}

// NewIndex returns the index of a configuration's customers.
func NewIndex(config *quetzalpier.Config) *Index {
	index := &Index{customers: map[quetzalpier.KeyHash]*quetzalpier.Customer{}, enabled: len(config.Customers) > 0}
	for i := range config.Customers {
		for _, key := range config.Customers[i].Keys {
			index.customers[key] = &config.Customers[i]
		}
	}
	for _, route := range config.Routes {
		index.publicJobs = index.publicJobs || route.Batch && route.Public
	}
	return index
}

// Enabled reports whether requests need a key.
func (x *Index) Enabled() bool { return x != nil && x.enabled }

const (
	// maxKnownAge is the age of the configuration up to which an unknown key is taken for
	// invalid. A change must be in force within 3 s, so that a node whose configuration is
	// younger knows all keys that are. 0.3 s of that is the latency of a slow key-value
	// service, and 0.1 s that of a message between nodes.
	maxKnownAge = 2600 * time.Millisecond
	// maxKeyBytes limits the length of a key: longer ones are not hashed.
	maxKeyBytes = 4 << 10
	// retryAfter is the retry delay of a request whose key could not be verified: another
	// node may be able to.
	retryAfter = 250 * time.Millisecond
)

// Credentials are the API key of a request. Without a key, Reason states why there is none.
type Credentials struct {
	Key    []byte
	Reason string
}

// ReasonNoKey is the reason of a request that carries no key at all.
const ReasonNoKey = "the request carries no API key"

// ParseCredentials returns the key in the values of a request's Authorization headers.
func ParseCredentials(values [][]byte) Credentials {
	switch {
	case len(values) == 0:
		return Credentials{Reason: ReasonNoKey}
	case len(values) > 1:
		return Credentials{Reason: "the request carries several Authorization headers"}
	}
	scheme, key, _ := bytes.Cut(values[0], []byte(" "))
	key = bytes.Trim(key, " \t")
	switch {
	case !bytes.EqualFold(scheme, []byte("Bearer")):
		return Credentials{Reason: "the authorization scheme is not Bearer"}
	case len(key) == 0:
		return Credentials{Reason: "the API key is empty"}
	case len(key) > maxKeyBytes:
		return Credentials{Reason: "the API key is too long"}
	}
	return Credentials{Key: key}
}

// Freshness is the age of a node's configuration since it was last confirmed to be current.
// RefuseAfter is the age beyond which no key is trusted; zero for none.
type Freshness struct {
	Age         time.Duration
	RefuseAfter time.Duration
}

// Check returns the customer of a request, nil if the request needs none, or the refusal of
// the request.
func (x *Index) Check(credentials Credentials, route *quetzalpier.Route, freshness Freshness) (*quetzalpier.Customer, error) {
	if !x.Enabled() || route != nil && route.Public {
		return nil, nil
	}
	if len(credentials.Key) == 0 {
		return nil, quetzalpier.Unauthorized(credentials.Reason)
	}
	if freshness.RefuseAfter > 0 && freshness.Age > freshness.RefuseAfter {
		return nil, quetzalpier.Unavailable("key", "the configuration is too old to verify API keys", quetzalpier.RanNo, retryAfter)
	}
	if customer := x.customers[quetzalpier.HashKey(credentials.Key)]; customer != nil {
		return customer, nil
	}
	if freshness.Age > maxKnownAge {
		return nil, quetzalpier.Unavailable("key", "the API key is unknown to a configuration that may be old", quetzalpier.RanNo, retryAfter)
	}
	return nil, quetzalpier.Unauthorized("the API key is unknown")
}

// CheckJobCall is Check for a call about a job, which has no route. If a batch route is
// public, a call without a key is accepted: it finds the jobs without a customer.
func (x *Index) CheckJobCall(credentials Credentials, freshness Freshness) (*quetzalpier.Customer, error) {
	if x.Enabled() && x.publicJobs && credentials.Reason == ReasonNoKey {
		return nil, nil
	}
	return x.Check(credentials, nil, freshness)
}
