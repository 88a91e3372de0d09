package fleet

import (
	"slices"

	"github.com/rs/zerolog"

	"quetzalpier"
	"quetzalpier/board"
)

// upstreamChange is what a log line says of upstreams that changed alike.
type upstreamChange struct{ pool, state, software, before string }

// upstreamChanges holds the upstreams of one update of the list by their change.
type upstreamChanges map[upstreamChange][]quetzalpier.VM

// add adds an upstream whose entry was old, if its state or software version changed.
func (c upstreamChanges) add(old, latest quetzalpier.VM) {
	if old.State == latest.State && old.Software == latest.Software {
		return
	}
	change := upstreamChange{latest.Pool, latest.State, latest.Software, old.Software}
	c[change] = append(c[change], latest)
}

// log logs the changes, a line for all upstreams that changed alike. Nodes that read the
// list from another node, which logs it, do so at the debug level only.
//
// Load pattern: hundreds of nodes start, each with a list of a hundred upstreams.
func (c upstreamChanges) log(log zerolog.Logger, quiet bool) {
	for change, vms := range c {
		ids := make([]string, len(vms))
		for i, vm := range vms {
			ids[i] = vm.ID
		}
		line := idLine(changeLine(log, quiet), "upstream", ids)
		if len(vms) == 1 {
			line = line.Int64("born", vms[0].Incarnation)
		}
		line.Str("pool", change.pool).Str("state", change.state).Str("software", change.software).Str("before", change.before).Msg("upstream added or its state changed")
	}
}

// logMemberChanges logs the nodes that were listed, changed their state or are no longer
// listed, a line for all that changed alike. The first list is logged as a whole.
func logMemberChanges(log zerolog.Logger, before, after map[string]board.Member) {
	changed := map[board.MemberState][]string{}
	for id, m := range after {
		if old, known := before[id]; len(before) > 0 && (!known || old.State != m.State) {
			changed[m.State] = append(changed[m.State], id)
		}
	}
	for state, ids := range changed {
		idLine(log.Info(), "member", ids).Stringer("state", state).Msg("node listed or its state changed")
	}
	var missing []string
	for id := range before {
		if _, listed := after[id]; !listed {
			missing = append(missing, id)
		}
	}
	if len(missing) > 0 {
		idLine(log.Info(), "member", missing).Msg("entry of a node is missing")
	}
}

// changeLine begins a log line, at the debug level if another node logs the same.
func changeLine(log zerolog.Logger, quiet bool) *zerolog.Event {
	if quiet {
		return log.Debug()
	}
	return log.Info()
}

// maxLoggedIDs is the maximum number of IDs in a log line, which then has their count also.
const maxLoggedIDs = 512

// idLine adds the ID of one entry to a log line, or the IDs of several under the plural of
// the key.
func idLine(line *zerolog.Event, key string, ids []string) *zerolog.Event {
	if len(ids) == 1 {
		return line.Str(key, ids[0])
	}
	slices.Sort(ids)
	return line.Int("count", len(ids)).Strs(key+"s", ids[:min(len(ids), maxLoggedIDs)])
}
