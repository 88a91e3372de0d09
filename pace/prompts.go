package pace

import (
	"cmp"
	"math"
	"slices"
	"time"

	"quetzalpier/board"
	"quetzalpier/hash"
)

const (
	// splitMargin is by how much the engines for long prompts exceed their share of the work.
	splitMargin = 1.25
	// goneShare is the share of the work below which a kind of prompts counts as gone.
	goneShare = 0.01
	// spillShare is the share of the slots of another engine that may be in use when a long
	// prompt runs there. reserveShare is the share of the slots of a sole engine that long
	// prompts leave to short ones.
	spillShare   = 1.0 / 3
	reserveShare = 0.25
	// promptHalfLife is the half-life of the weight of a request in a node's load by kind.
	promptHalfLife = 5 * time.Second
)

// Classes of prompts, as labels.
const (
	LongPrompt  = "long"
	ShortPrompt = "short"
)

// PromptClass returns the class of a prompt, with the number of tokens from which on one is
// long; zero for none.
func PromptClass(tokens, long int) string {
	if long > 0 && tokens >= long {
		return LongPrompt
	}
	return ShortPrompt
}

// Split is the division of engines between long and short prompts. Without one, Long is nil.
type Split struct {
	// Long holds the engines for long prompts, and Sole reports whether there is no other.
	Long map[string]bool
	Sole bool
}

// Active reports whether the engines are divided.
func (s Split) Active() bool { return s.Long != nil }

// SplitEngines divides the live engines by the work with prompts of each kind, in any unit.
// Engines keep their places when others come or go, or the load changes.
//
// Load pattern: long prompts delay the short ones on the same engine, in changing shares of
// the work, and either kind comes in bursts or not at all.
func SplitEngines(long, short float64, engines []string) Split {
	total := long + short
	if len(engines) == 0 || long <= goneShare*total || short <= goneShare*total {
		return Split{}
	}
	type place struct {
		id     string
		weight uint64
	}
	places := make([]place, 0, len(engines))
	key := hash.Text(LongPrompt)
	for _, id := range engines {
		places = append(places, place{id, hash.Pair(key, id)})
	}
	slices.SortFunc(places, func(a, b place) int { return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.id, b.id)) })
	count := int(math.Ceil(splitMargin * float64(len(engines)) * long / total))
	count = max(1, min(count, len(engines)-1))
	split := Split{Long: make(map[string]bool, count), Sole: len(engines) == 1}
	for _, p := range places[:count] {
		split.Long[p.id] = true
	}
	return split
}

// Accepts reports whether an engine with running requests may get one of a class now.
func (s Split) Accepts(engine, class string, running, slots int) bool {
	switch {
	case !s.Active() || class == ShortPrompt:
		return true
	case s.Sole:
		return running < slots-max(1, int(reserveShare*float64(slots)))
	case s.Long[engine]:
		return true
	}
	return float64(running) < spillShare*float64(slots)
}

// Prefers reports whether requests of a class prefer the engine.
func (s Split) Prefers(engine, class string) bool {
	return !s.Active() || s.Long[engine] == (class == LongPrompt)
}

// ObservePrompt adds a request to a node's load of a pool by kind of prompt.
func ObservePrompt(s *board.State, pool string, tokens int, now time.Time) {
	if s.LongPrompt == 0 {
		return
	}
	load := decayed(s.Prompts[pool], now)
	if PromptClass(tokens, s.LongPrompt) == LongPrompt {
		load.Long++
	} else {
		load.Short++
	}
	if s.Prompts == nil {
		s.Prompts = map[string]board.PromptLoad{}
	}
	s.Prompts[pool] = load
}

func decayed(load board.PromptLoad, now time.Time) board.PromptLoad {
	weight := math.Exp2(-float64(max(0, now.Sub(load.At))) / float64(promptHalfLife))
	return board.PromptLoad{Long: load.Long * weight, Short: load.Short * weight, At: now}
}

// minPromptLoad is the weight of the requests of a kind below which it counts as gone: one
// request of a quarter of a minute ago.
const minPromptLoad = 0.125

// SplitPool divides the engines of a pool by the node's own load.
func SplitPool(s *board.State, pool string, now time.Time) Split {
	load := decayed(s.Prompts[pool], now)
	if s.LongPrompt == 0 || load.Long < minPromptLoad || load.Short < minPromptLoad {
		return Split{}
	}
	var engines []string
	for id, u := range s.Upstreams {
		if u.VM.Pool == pool && !u.Leaving() && !now.Before(u.Health.EjectedUntil) {
			engines = append(engines, id)
		}
	}
	return SplitEngines(load.Long, load.Short, engines)
}
