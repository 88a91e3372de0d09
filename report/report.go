// Package report explains from the logs of any number of processes where time and
// calls went: what each step waited for, which calls were made to the platform,
// which connections were opened, and which requests failed.
package report

import "time"

// Report is the result of reading logs. Times are in seconds.
type Report struct {
	// Lines counts the lines read, and Broken those that are no valid JSON; the
	// first ones are named in BrokenLines.
	Lines       int          `json:"lines"`
	Broken      int          `json:"broken"`
	BrokenLines []BrokenLine `json:"named,omitempty"`
	// Pace is the median time per event of complete runs.
	Pace  float64 `json:"pace"`
	Steps []Step  `json:"steps"`
	// Calls are the calls to the key-value service, and Connections those opened to
	// upstreams. Both are sums over the processes of a class.
	Calls       []Usage `json:"calls"`
	Connections []Usage `json:"connections"`
	Routes      []Route `json:"routes"`
	Ends        Ends    `json:"ends"`
}

// Usage is a total of one class of nodes.
type Usage struct {
	Class string `json:"class"`
	// Kind is the call or the purpose of a connection, and Reason the purpose of a
	// call or the cause of a connection.
	Kind   string  `json:"kind"`
	Reason string  `json:"reason"`
	Total  float64 `json:"total"`
	// Rate is per second of the time between the first and the last line.
	Rate float64 `json:"rate"`
}

// Read reads the sources together, in order of the lines' times.
func Read(sources []Source) (*Report, error) {
	r := &Report{}
	steps, usage, requests, ends := newStepReader(), newUsageReader(), newRequestReader(), newEndReader()
	var first, last time.Time
	err := merge(sources, r, func(l *line) {
		if first.IsZero() {
			first = l.Time
		}
		last = l.Time
		switch l.Message {
		case messageStarted, messageUsage:
			usage.add(l)
		case messageRefused, messageServedLate:
			requests.add(l)
		case messageEndStoredLater, messageRewardFailed, messageRewardClosed:
			ends.add(l)
		default:
			steps.add(l)
			ends.add(l)
		}
	})
	if err != nil {
		return nil, err
	}
	steps.closeAll()
	r.Steps, r.Pace = steps.done, steps.paces.median().Seconds()
	r.Calls, r.Connections = usage.totals(last.Sub(first).Seconds())
	r.Routes = requests.routes()
	r.Ends = ends.ends()
	return r, nil
}

func (r *Report) addBroken(source string, number int) {
	r.Broken++
	if len(r.BrokenLines) < maxNamedBroken {
		r.BrokenLines = append(r.BrokenLines, BrokenLine{source, number})
	}
}
