package report

import (
	"sort"
	"strings"
)

// usageReader adds up the totals that processes log. A process counts from zero
// when it starts.
type usageReader struct {
	// last holds the latest totals of each node's present process.
	last        map[string]*line
	calls       map[usageKey]float64
	connections map[usageKey]float64
}

type usageKey struct{ class, name string }

func newUsageReader() *usageReader {
	return &usageReader{last: map[string]*line{}, calls: map[usageKey]float64{}, connections: map[usageKey]float64{}}
}

func (u *usageReader) add(l *line) {
	if l.Message == messageStarted {
		u.fold(l.Node)
		return
	}
	totals := *l
	u.last[l.Node] = &totals
}

// fold adds the latest totals of a node's process to the sums.
func (u *usageReader) fold(node string) {
	l := u.last[node]
	if l == nil {
		return
	}
	delete(u.last, node)
	for name, total := range l.Calls {
		u.calls[usageKey{l.Class, name}] += total
	}
	for name, total := range l.Connections {
		u.connections[usageKey{l.Class, name}] += total
	}
}

// totals returns the sums, the largest first, with rates over the given seconds.
func (u *usageReader) totals(seconds float64) (calls, connections []Usage) {
	for node := range u.last {
		u.fold(node)
	}
	return sortedUsage(u.calls, seconds), sortedUsage(u.connections, seconds)
}

func sortedUsage(sums map[usageKey]float64, seconds float64) []Usage {
	var rows []Usage
	for key, total := range sums {
		kind, reason, _ := strings.Cut(key.name, " ")
		row := Usage{Class: key.class, Kind: kind, Reason: reason, Total: total}
		if seconds > 0 {
			row.Rate = total / seconds
		}
		rows = append(rows, row)
	}
	sort.Slice(rows, func(i, j int) bool {
		if rows[i].Total != rows[j].Total {
			return rows[i].Total > rows[j].Total
		}
		return rows[i].Class+rows[i].Kind+rows[i].Reason < rows[j].Class+rows[j].Kind+rows[j].Reason
	})
	return rows
}
