package report

import (
	"cmp"
	"slices"
	"time"
)

// Ends tells how long after the ends of their jobs runs and reward calls were sent.
type Ends struct {
	// OverOne and OverThree count the jobs of which something was sent more than one, and
	// three, seconds after their end.
	OverOne   int `json:"over1"`
	OverThree int `json:"over3"`
	// Jobs are the jobs whose end was stored, the worst first.
	Jobs []End `json:"jobs"`
}

// End is the end of a job. Its times are in seconds since a front stored the end; zero if
// nothing followed it.
type End struct {
	Job string `json:"job"`
	// StoredAt is when the end was stored.
	StoredAt time.Time `json:"stored"`
	// Known is when the last node logged that the job ended.
	Known float64 `json:"known"`
	// Run and Reward are when the last run and the last reward call were sent, RunNode and
	// RewardNode by which nodes. Logs without the time of a send count a run from when it
	// was planned, and a reward call from its outcome.
	Run        float64 `json:"run"`
	RunNode    string  `json:"runnode,omitempty"`
	Reward     float64 `json:"reward"`
	RewardNode string  `json:"rewardnode,omitempty"`
}

// last is how long after the end anything was sent.
func (e End) last() float64 { return max(e.Run, e.Reward) }

// event is the latest event of a kind and its node.
type event struct {
	at   time.Time
	node string
}

func (e *event) add(at time.Time, node string) {
	if at.After(e.at) {
		*e = event{at, node}
	}
}

// since returns the seconds from a time to the event, and its node, if it came later.
func (e event) since(at time.Time) (seconds float64, node string) {
	if !e.at.After(at) {
		return 0, ""
	}
	return e.at.Sub(at).Seconds(), e.node
}

type endLog struct {
	storedAt           time.Time
	known, run, reward event
}

// endReader collects the lines about the ends of jobs.
type endReader struct {
	jobs map[string]*endLog
	// logsSent are the nodes whose lines have the time of a send. A run without it was not
	// sent.
	logsSent map[string]bool
}

func newEndReader() *endReader {
	return &endReader{jobs: map[string]*endLog{}, logsSent: map[string]bool{}}
}

func (r *endReader) add(l *line) {
	if l.Job == "" {
		return
	}
	j := r.jobs[l.Job]
	if j == nil {
		j = &endLog{}
		r.jobs[l.Job] = j
	}
	if !l.Sent.IsZero() {
		r.logsSent[l.Node] = true
	}
	switch l.Message {
	case messageEndStored, messageEndStoredLater:
		setFirst(&j.storedAt, l.Time)
	case messageEnded:
		j.known.add(l.Time, l.Node)
	case messageRun:
		r.addSent(&j.run, l, l.Time.Add(-milliseconds(l.Took)))
	case messageScored, messageRewardFailed, messageRewardClosed:
		r.addSent(&j.reward, l, l.Time)
	}
}

// addSent adds a send, which without its time was at unknown in the logs of nodes that do
// not log it.
func (r *endReader) addSent(e *event, l *line, unknown time.Time) {
	switch {
	case !l.Sent.IsZero():
		e.add(l.Sent, l.Node)
	case !r.logsSent[l.Node]:
		e.add(unknown, l.Node)
	}
}

func (r *endReader) ends() Ends {
	var ends Ends
	for id, j := range r.jobs {
		if j.storedAt.IsZero() {
			continue
		}
		end := End{Job: id, StoredAt: j.storedAt}
		end.Known, _ = j.known.since(j.storedAt)
		end.Run, end.RunNode = j.run.since(j.storedAt)
		end.Reward, end.RewardNode = j.reward.since(j.storedAt)
		ends.Jobs = append(ends.Jobs, end)
		if end.last() > 1 {
			ends.OverOne++
		}
		if end.last() > 3 {
			ends.OverThree++
		}
	}
	slices.SortFunc(ends.Jobs, func(a, b End) int {
		return cmp.Or(cmp.Compare(b.last(), a.last()), cmp.Compare(b.Known, a.Known), cmp.Compare(a.Job, b.Job))
	})
	return ends
}
