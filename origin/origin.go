// Package origin remembers which software version of a pool's upstreams began the streams
// of clients, so that a client can take a stream up at any node: what two versions
// generate doesn't fit together.
package origin

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"quetzalpier/board"
	"quetzalpier/hash"
	"quetzalpier/sleep"
	"quetzalpier/wire"
)

const (
	// Retention is how long an origin is kept after an attempt began: longer than a
	// stream lasts over all attempts of its client.
	Retention = time.Minute
	// copies is the number of other nodes that are told an origin, and askedNodes the
	// number that is asked for one: one more, since the nodes' lists may differ by one.
	copies     = 2
	askedNodes = 3
	askTimeout = 250 * time.Millisecond
	// maxOrigins limits the origins in memory, about 100 bytes each.
	maxOrigins    = 100_000
	expireEvery   = 5 * time.Second
	tellTimeout   = time.Second
	maxConcurrent = 256
)

// Origin is the pool and the software version that began a stream.
type Origin struct {
	Pool     string
	Software string
}

type entry struct {
	Origin
	at time.Time
}

// Store holds the origins of streams. Its methods may be called concurrently.
type Store struct {
	Board *board.Board
	// Call makes a call to another node.
	Call func(ctx context.Context, addr string, call *wire.Call) (*wire.Reply, error)
	Log  zerolog.Logger

	// calls are the calls in progress; telling has an element for each that tells an origin.
	calls   conc.WaitGroup
	telling chan struct{}
	mu      sync.Mutex
	entries map[string]entry
}

// New returns a Store of a node without other nodes.
func New(b *board.Board, log zerolog.Logger) *Store {
	return &Store{
		Board: b, Log: log, entries: map[string]entry{}, telling: make(chan struct{}, maxConcurrent),
		Call: func(context.Context, string, *wire.Call) (*wire.Reply, error) {
			return nil, errors.New("no other nodes are known")
		},
	}
}

// Run drops old origins until ctx ends, and then waits for the calls in progress.
func (s *Store) Run(ctx context.Context) {
	for sleep.For(ctx, expireEvery) {
		s.expire(time.Now())
	}
	s.calls.Wait()
}

func (s *Store) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for attempt, e := range s.entries {
		if now.Sub(e.at) > Retention {
			delete(s.entries, attempt)
		}
	}
}

// Record remembers the origin of the stream that an attempt began, and tells other nodes
// without waiting for them. An unknown software version is not recorded.
func (s *Store) Record(attempt string, began Origin, now time.Time) {
	if attempt == "" || began.Software == "" || !s.put(attempt, began, now) {
		return
	}
	addrs := s.holders(attempt)
	select {
	case s.telling <- struct{}{}:
	default:
		s.Log.Warn().Str("request", attempt).Msg("origin of a stream was not told to other nodes: too many calls are in progress")
		return
	}
	s.calls.Go(func() {
		defer func() { <-s.telling }()
		ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
		defer cancel()
		var calls conc.WaitGroup
		for _, addr := range addrs[:min(copies, len(addrs))] {
			calls.Go(func() {
				if _, err := s.Call(ctx, addr, message(attempt, began)); err != nil {
					s.Log.Info().Str("request", attempt).Str("peer", addr).Err(err).Msg("origin of a stream could not be told to another node")
				}
			})
		}
		calls.Wait()
	})
}

func message(attempt string, began Origin) *wire.Call {
	return &wire.Call{Kind: &wire.Call_Origin{Origin: &wire.Origin{Attempt: attempt, Pool: began.Pool, Software: began.Software}}}
}

// put stores an origin and reports whether there was room.
func (s *Store) put(attempt string, began Origin, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.entries[attempt]; !known && len(s.entries) >= maxOrigins {
		s.Log.Warn().Str("request", attempt).Int("origins", len(s.entries)).Msg("origin of a stream was not kept: too many are")
		return false
	}
	s.entries[attempt] = entry{began, now}
	return true
}

func (s *Store) get(attempt string) (Origin, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, known := s.entries[attempt]
	return e.Origin, known
}

// Find returns the origin of the stream that an attempt began. If no node that is asked
// knows it, it is that of the pool if all upstreams there have had the same version for
// as long as origins are kept.
func (s *Store) Find(ctx context.Context, attempt, pool string, now time.Time) (Origin, bool) {
	if began, known := s.get(attempt); known {
		return began, true
	}
	if began, known := s.ask(ctx, attempt); known {
		return began, true
	}
	var software string
	known := false
	s.Board.Do(func(st *board.State) { software, known = st.SoleSoftware(pool, Retention, now) })
	s.Log.Info().Str("request", attempt).Str("pool", pool).Str("software", software).Bool("sole", known).Msg("no node knows the origin of a stream")
	return Origin{Pool: pool, Software: software}, known
}

// ask asks the nodes that may hold an origin, all at once.
func (s *Store) ask(ctx context.Context, attempt string) (Origin, bool) {
	addrs := s.holders(attempt)
	if attempt == "" || len(addrs) == 0 {
		return Origin{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	replies := make(chan *wire.Began, len(addrs))
	for _, addr := range addrs {
		s.calls.Go(func() {
			reply, err := s.Call(ctx, addr, message(attempt, Origin{}))
			if err != nil {
				s.Log.Info().Str("request", attempt).Str("peer", addr).Err(err).Msg("another node could not be asked for the origin of a stream")
			}
			replies <- reply.GetBegan()
		})
	}
	for range addrs {
		if reply := <-replies; reply.GetSoftware() != "" {
			return Origin{Pool: reply.GetPool(), Software: reply.GetSoftware()}, true
		}
	}
	return Origin{}, false
}

// holders returns the addresses of the other nodes that hold the origins of an attempt.
// All nodes choose them alike.
func (s *Store) holders(attempt string) []string {
	var addrs []string
	s.Board.Do(func(st *board.State) {
		var ids []string
		for id, m := range st.Members {
			if id != st.Self.ID && st.Answers(m) {
				ids = append(ids, id)
			}
		}
		for _, id := range hash.Owners("origin/"+attempt, ids, askedNodes) {
			addrs = append(addrs, st.Members[id].Peer)
		}
	})
	return addrs
}

// Serve answers the call of another node.
func (s *Store) Serve(call *wire.Origin, now time.Time) *wire.Began {
	if call.GetSoftware() != "" {
		s.put(call.GetAttempt(), Origin{Pool: call.GetPool(), Software: call.GetSoftware()}, now)
		return &wire.Began{}
	}
	began, _ := s.get(call.GetAttempt())
	return &wire.Began{Pool: began.Pool, Software: began.Software}
}
