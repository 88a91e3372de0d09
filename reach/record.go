package reach

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"quetzalpier"
	"quetzalpier/board"
)

// Recorder records on a node's board which upstreams it reaches, and logs and counts the
// paths that are lost and regained.
type Recorder struct {
	Board *board.Board
	Log   zerolog.Logger
	// Lost is the number of upstreams that the node does not reach, by pool.
	Lost *prometheus.GaugeVec
}

// Reached records that a connection to the upstream was established.
func (r *Recorder) Reached(id string, now time.Time) {
	var path board.Path
	var vm quetzalpier.VM
	regained, partitioned := false, false
	r.Board.Do(func(s *board.State) {
		u := s.Upstreams[id]
		if u == nil {
			return
		}
		path, vm = u.Path, u.VM
		partitioned = Partitioned(s, vm.Pool)
		regained = RecordReached(s, id, now)
	})
	if !regained {
		return
	}
	// The paths of other pools count as lost no longer either.
	r.Lost.Reset()
	upstreams, lost := r.count(vm.Pool)
	line := r.Log.Info()
	if partitioned {
		line = r.Log.Warn()
	}
	line.Str("upstream", id).Str("pool", vm.Pool).Dur("lost_ms", now.Sub(path.LostAt)).Int("lost", lost).Int("upstreams", upstreams).
		Bool("partitioned", partitioned).Msg("path to an upstream is back")
}

// Failed records that a connection to the upstream could not be established, for the
// given cause.
func (r *Recorder) Failed(id string, cause error, now time.Time) {
	var reachedAt time.Time
	var vm quetzalpier.VM
	found := false
	r.Board.Do(func(s *board.State) {
		u := s.Upstreams[id]
		if u == nil {
			return
		}
		reachedAt, vm = u.Path.ReachedAt, u.VM
		found = RecordLost(s, id, now)
	})
	if !found {
		return
	}
	upstreams, lost := r.count(vm.Pool)
	line := r.Log.Info()
	if lost == upstreams {
		line = r.Log.Warn()
	}
	line.Str("upstream", id).Str("pool", vm.Pool).Time("reached", reachedAt).Int("lost", lost).Int("upstreams", upstreams).
		Bool("partitioned", lost == upstreams).AnErr("cause", cause).Msg("path to an upstream is lost")
}

// count returns Count and sets the gauge.
func (r *Recorder) count(pool string) (upstreams, lost int) {
	r.Board.Do(func(s *board.State) { upstreams, lost = Count(s, pool) })
	r.Lost.WithLabelValues(pool).Set(float64(lost))
	return upstreams, lost
}
