// Package origin remembers which software version of a pool's upstreams began the streams
// of clients, so that a client can take a stream up at any node: what two versions
// generate doesn't fit together.
package origin

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/hash"
	"quetzalpier/sleep"
	"quetzalpier/wire"
)

const (
	// Retention is how long an origin is kept after an attempt began: longer than a
	// stream lasts over all attempts of its client, also of one that is refused for a while.
	Retention = 5 * time.Minute
	// keepers and others are the numbers of nodes of keeperRole and of any role that are asked
	// for an origin. One of each is told it: one more is asked, since the nodes' lists may
	// differ by one. Without keepers, two others are told.
	keepers    = 2
	others     = 2
	copies     = 2
	askTimeout = 250 * time.Millisecond
	// maxOrigins limits the origins in memory, about 200 bytes each.
	maxOrigins    = 100_000
	expireEvery   = 5 * time.Second
	tellTimeout   = time.Second
	maxConcurrent = 256
	// keeperRole is the role of nodes to which clients don't connect. They still know an
	// origin when all fronts are lost at once.
	keeperRole = "store"
	// listLatency is the longest time by which a list of upstreams may be older than its
	// arrival, and maxListWait how long a request waits for one that is new enough.
	listLatency  = time.Second
	maxListWait  = 3 * time.Second
	listInterval = 50 * time.Millisecond
	// maxAskWait is how long a request waits for an answer of the nodes that may hold an origin,
	// and askInterval the pause between two questions.
	maxAskWait  = 3 * time.Second
	askInterval = 50 * time.Millisecond
	// tellPeriod is how long other nodes are told an origin until one of them has answered.
	tellPeriod   = 5 * time.Second
	tellInterval = 200 * time.Millisecond
)

// Origin is the pool and the software version that began a stream, and its upstream.
type Origin struct {
	Pool     string
	Software string
	Upstream string
}

// fits reports whether the texts of two origins fit together.
func (o Origin) fits(other Origin) bool {
	return o.Pool == other.Pool && o.Software == other.Software
}

// Stream identifies a stream of a client.
type Stream struct {
	// Attempt is the ID of the attempt that brought the first event; empty if the client
	// does not name it.
	Attempt string
	// Request is a hash of the client's request, which is the same in all attempts.
	Request uint64
}

type entry struct {
	Origin
	request uint64
	at      time.Time
}

// Store holds the origins of streams. Its methods may be called concurrently.
type Store struct {
	Board *board.Board
	// Call makes a call to another node.
	Call func(ctx context.Context, addr string, call *wire.Call) (*wire.Reply, error)
	// ListedUntil returns when the list of upstreams was last known to be complete; nil means
	// that it always is.
	ListedUntil func() time.Time
	Log         zerolog.Logger

	// calls are the calls in progress; telling has an element for each that tells an origin.
	calls   conc.WaitGroup
	telling chan struct{}
	mu      sync.Mutex
	// entries holds the origins by attempt, and attempts the attempts by request.
	entries  map[string]entry
	attempts map[uint64][]string
	unnamed  uint64
}

// New returns a Store of a node without other nodes.
func New(b *board.Board, log zerolog.Logger) *Store {
	return &Store{
		Board: b, Log: log, entries: map[string]entry{}, attempts: map[uint64][]string{}, telling: make(chan struct{}, maxConcurrent),
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
		if now.Sub(e.at) <= Retention {
			continue
		}
		delete(s.entries, attempt)
		rest := slices.DeleteFunc(s.attempts[e.request], func(other string) bool { return other == attempt })
		if s.attempts[e.request] = rest; len(rest) == 0 {
			delete(s.attempts, e.request)
		}
	}
}

// Record remembers the origin of a stream and tells other nodes. The returned channel is
// closed once one of them has answered or none will. An unknown software version is not
// recorded.
func (s *Store) Record(stream Stream, began Origin, now time.Time) (told <-chan struct{}) {
	done := make(chan struct{})
	finish := sync.OnceFunc(func() { close(done) })
	if stream.Attempt == "" {
		stream.Attempt = s.newName()
	}
	if began.Software == "" || !s.put(stream, began, now) {
		finish()
		return done
	}
	select {
	case s.telling <- struct{}{}:
	default:
		s.Log.Warn().Str("request", stream.Attempt).Msg("origin of a stream was not told to other nodes: too many calls are in progress")
		finish()
		return done
	}
	s.calls.Go(func() {
		defer func() { <-s.telling }()
		defer finish()
		ctx, cancel := context.WithTimeout(context.Background(), tellPeriod)
		defer cancel()
		for !s.tell(ctx, stream, began, finish) {
			if !sleep.For(ctx, tellInterval) {
				return
			}
		}
	})
	return done
}

// tell tells other nodes an origin, and calls onAnswer for each that has answered. It reports
// whether one has, or there is none to tell.
func (s *Store) tell(ctx context.Context, stream Stream, began Origin, onAnswer func()) bool {
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	h := s.holders(stream)
	var answered atomic.Bool
	var calls conc.WaitGroup
	for _, addr := range h.told {
		calls.Go(func() {
			if _, err := s.Call(ctx, addr, message(stream, began)); err != nil {
				s.Log.Info().Str("request", stream.Attempt).Str("peer", addr).Err(err).Msg("origin of a stream could not be told to another node")
				return
			}
			answered.Store(true)
			onAnswer()
		})
	}
	calls.Wait()
	return answered.Load() || h.alone
}

// newName returns a name for an attempt of a client that sends none.
func (s *Store) newName() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unnamed++
	self := ""
	s.Board.Do(func(st *board.State) { self = st.Self.ID })
	return self + " " + strconv.FormatUint(s.unnamed, 10)
}

func message(stream Stream, began Origin) *wire.Call {
	return &wire.Call{Kind: &wire.Call_Origin{Origin: &wire.Origin{
		Attempt: stream.Attempt, Request: stream.Request, Pool: began.Pool, Software: began.Software, Upstream: began.Upstream,
	}}}
}

// put stores an origin and reports whether there was room.
func (s *Store) put(stream Stream, began Origin, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, known := s.entries[stream.Attempt]
	if !known && len(s.entries) >= maxOrigins {
		s.Log.Warn().Str("request", stream.Attempt).Int("origins", len(s.entries)).Msg("origin of a stream was not kept: too many are")
		return false
	}
	s.entries[stream.Attempt] = entry{began, stream.Request, now}
	if !known || old.request != stream.Request {
		s.attempts[stream.Request] = append(s.attempts[stream.Request], stream.Attempt)
	}
	return true
}

// answer is what a node knows of a stream. named is set if it knows the attempt that the
// client names, and several if the request began streams that don't fit together.
type answer struct {
	Origin
	known, named, several bool
}

// add adds what another node knows.
func (a *answer) add(other answer) {
	switch {
	case a.named || !other.known && !other.several:
	case other.named || !a.known && !a.several:
		*a = other
	default:
		a.several = a.several || other.several || !a.fits(other.Origin)
	}
}

func (s *Store) get(stream Stream) (found answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, known := s.entries[stream.Attempt]; known && stream.Attempt != "" {
		return answer{Origin: e.Origin, known: true, named: true}
	}
	if stream.Request == 0 {
		return answer{}
	}
	for _, attempt := range s.attempts[stream.Request] {
		found.add(answer{Origin: s.entries[attempt].Origin, known: true})
	}
	return found
}

// Find returns the origin of a stream that a client takes up. The attempt that a client names
// decides alone. A client that names none is known by its request, unless the same request began
// streams of several origins. If no node that is asked knows it, the origin is that of all
// upstreams to which the targets have led for as long as origins are kept.
//
// A node that does not answer may know the origin: Find waits for an answer, and returns false if
// none comes in time.
func (s *Store) Find(ctx context.Context, stream Stream, targets []quetzalpier.Target, now time.Time) (Origin, bool) {
	found, complete := s.search(ctx, stream, now)
	line := s.Log.Info().Str("request", stream.Attempt).Uint64("hash", stream.Request)
	switch {
	case !found.named && !complete:
		line.Msg("the nodes that may know the origin of a stream do not answer")
		return Origin{}, false
	case !found.named && stream.Attempt != "":
		// Other streams of the same request say nothing about the one that the client names.
	case found.several && !found.named:
		line.Msg("the same request began streams of several origins")
		return Origin{}, false
	case found.known && s.MayBeMixed(found.Origin):
		line.Str("upstream", found.Upstream).Str("software", found.Software).Msg("the upstream that began a stream has other software by now")
		return Origin{}, false
	case found.known:
		return found.Origin, true
	}
	began, known := s.sole(targets, now)
	if known && s.awaitList(ctx, now) {
		began, known = s.sole(targets, now)
	} else {
		known = false
	}
	line.Str("pool", began.Pool).Str("software", began.Software).Bool("sole", known).Msg("no node knows the origin of a stream")
	return began, known
}

// search asks other nodes for an origin until enough of them have answered. complete is false if
// they have not within maxAskWait, so that one of them may know more.
func (s *Store) search(ctx context.Context, stream Stream, now time.Time) (found answer, complete bool) {
	for end := now.Add(maxAskWait); ; {
		found = s.get(stream)
		if found.named {
			return found, true
		}
		var others answer
		others, complete = s.ask(ctx, stream)
		found.add(others)
		if found.named || complete || !time.Now().Before(end) || !sleep.For(ctx, askInterval) {
			return found, complete
		}
	}
}

// sole returns the only origin that a stream of the targets can have by this node's list.
func (s *Store) sole(targets []quetzalpier.Target, now time.Time) (began Origin, known bool) {
	s.Board.Do(func(st *board.State) { began.Pool, began.Software, known = st.SoleOrigin(targets, Retention, now) })
	return began, known
}

// MayBeMixed reports whether events may come from another software version than that of the
// origin: the upstream has started again under its ID with other software, and its entry is
// written after that.
func (s *Store) MayBeMixed(began Origin) (mixed bool) {
	s.Board.Do(func(st *board.State) {
		u := st.Upstreams[began.Upstream]
		mixed = u != nil && u.VM.Software != began.Software
	})
	return mixed
}

// awaitList waits until the list of upstreams shows all those that were listed anywhere
// when the request arrived. It reports whether it does.
//
// Load pattern: the first upstream of a new software version is listed. A front that knows
// it begins a stream there and is killed, and the client comes back within 100 ms to one
// whose list is a second old.
func (s *Store) awaitList(ctx context.Context, arrived time.Time) bool {
	if s.ListedUntil == nil {
		return true
	}
	for end := arrived.Add(maxListWait); !s.ListedUntil().After(arrived.Add(listLatency)); {
		if !time.Now().Before(end) || !sleep.For(ctx, listInterval) {
			return false
		}
	}
	return true
}

// ask asks the nodes that may hold an origin, all at once. It waits for all of them unless
// one knows the named attempt. complete reports whether those have answered that were told, as
// far as this node can tell: all of them if the client names an attempt, which then is unknown,
// and else one, since each is told all streams of the request.
func (s *Store) ask(ctx context.Context, stream Stream) (found answer, complete bool) {
	h := s.holders(stream)
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	type reply struct {
		answer
		addr     string
		answered bool
	}
	replies := make(chan reply, len(h.asked))
	for _, addr := range h.asked {
		s.calls.Go(func() {
			response, err := s.Call(ctx, addr, message(stream, Origin{}))
			if err != nil {
				s.Log.Info().Str("request", stream.Attempt).Str("peer", addr).Err(err).Msg("another node could not be asked for the origin of a stream")
			}
			began := response.GetBegan()
			replies <- reply{answer{
				Origin: Origin{Pool: began.GetPool(), Software: began.GetSoftware(), Upstream: began.GetUpstream()},
				known:  began.GetSoftware() != "", named: began.GetNamed(), several: began.GetSeveral(),
			}, addr, err == nil}
		})
	}
	told := 0
	for range h.asked {
		r := <-replies
		if r.answered && slices.Contains(h.told, r.addr) {
			told++
		}
		if found.add(r.answer); found.named {
			break
		}
	}
	needed := min(1, len(h.told))
	if stream.Attempt != "" {
		needed = len(h.told)
	}
	return found, h.alone || told > 0 && told >= needed
}

// holders are the addresses of the other nodes that are told the origin of a stream, and of
// those that are asked for it. alone is set if no other node is listed.
type holders struct {
	told, asked []string
	alone       bool
}

// holders returns the holders of a stream. All nodes choose them alike.
func (s *Store) holders(stream Stream) (h holders) {
	key := "origin/" + strconv.FormatUint(stream.Request, 16)
	if stream.Request == 0 {
		key = "origin/" + stream.Attempt
	}
	s.Board.Do(func(st *board.State) {
		var ids, keeperIDs []string
		h.alone = true
		for id, m := range st.Members {
			if id == st.Self.ID {
				continue
			}
			h.alone = false
			if !st.Answers(m) {
				continue
			}
			ids = append(ids, id)
			if m.HasRole(keeperRole) {
				keeperIDs = append(keeperIDs, id)
			}
		}
		first, rest := hash.Owners(key, keeperIDs, keepers), hash.Owners(key, ids, keepers+others)
		chosen := first[:min(1, len(first))]
		for _, id := range rest {
			if len(chosen) < copies && !slices.Contains(chosen, id) {
				chosen = append(slices.Clip(chosen), id)
			}
		}
		all := slices.Clone(first)
		for _, id := range rest {
			if len(all) < keepers+others && !slices.Contains(all, id) {
				all = append(all, id)
			}
		}
		h.told, h.asked = addrsOf(st, chosen), addrsOf(st, all)
	})
	return h
}

func addrsOf(st *board.State, ids []string) (addrs []string) {
	for _, id := range ids {
		addrs = append(addrs, st.Members[id].Peer)
	}
	return addrs
}

// Serve answers the call of another node.
func (s *Store) Serve(call *wire.Origin, now time.Time) *wire.Began {
	stream := Stream{Attempt: call.GetAttempt(), Request: call.GetRequest()}
	if call.GetSoftware() != "" {
		s.put(stream, Origin{Pool: call.GetPool(), Software: call.GetSoftware(), Upstream: call.GetUpstream()}, now)
		return &wire.Began{}
	}
	found := s.get(stream)
	return &wire.Began{Pool: found.Pool, Software: found.Software, Upstream: found.Upstream, Named: found.named, Several: found.several}
}
