package meter

import (
	"sync"
	"time"
)

// maxNames limits the values of a label, whose series are kept for as long as the process
// runs.
const maxNames = 1000

// otherName is the label of all names beyond maxNames.
const otherName = "other"

// nameLimit bounds the values of a label.
type nameLimit struct {
	mu   sync.Mutex
	seen map[string]bool
}

// label returns the value of the label for a name: the name itself if it is one of the
// first maxNames.
func (l *nameLimit) label(name string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.seen[name]:
		return name
	case len(l.seen) >= maxNames:
		return otherName
	}
	if l.seen == nil {
		l.seen = map[string]bool{}
	}
	l.seen[name] = true
	return name
}

// CountCustomer counts an answered request of a customer.
func (m *Meter) CountCustomer(customer, status string) {
	m.Customers.WithLabelValues(m.customers.label(customer), status).Inc()
}

// CountGrant counts a request of a customer that got a slot after a wait.
func (m *Meter) CountGrant(customer string, wait time.Duration) {
	label := m.customers.label(customer)
	m.CustomerGrants.WithLabelValues(label).Inc()
	m.CustomerWaits.WithLabelValues(label).Add(wait.Seconds())
}

// CountShortage counts a request of a customer that was refused for lack of capacity.
func (m *Meter) CountShortage(customer, reason string) {
	m.CustomerRefusals.WithLabelValues(m.customers.label(customer), reason).Inc()
}
