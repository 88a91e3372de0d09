package stand

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"quetzalpier"
)

// Flaky is a faulty view of a key-value service: its calls fail by chance, in
// each of the ways that the platform's do.
type Flaky struct {
	quetzalpier.KV
	// Lose is the share of writes whose answer is lost after they took effect,
	// Late of those that take effect only after their caller was told that
	// nothing is known, and Drop of calls that never arrive.
	Lose, Late, Drop float64
	// Lateness is how long a late write takes.
	Lateness time.Duration

	mu  sync.Mutex
	rnd *rand.Rand
}

// NewFlaky returns a faulty view of kv; seed starts its chances.
func NewFlaky(kv quetzalpier.KV, seed uint64) *Flaky {
	return &Flaky{KV: kv, rnd: rand.New(rand.NewPCG(seed, seed))}
}

type chance int

const (
	sound chance = iota
	dropped
	late
	lost
)

func (f *Flaky) draw() chance {
	f.mu.Lock()
	defer f.mu.Unlock()
	x := f.rnd.Float64()
	switch {
	case x < f.Drop:
		return dropped
	case x < f.Drop+f.Late:
		return late
	case x < f.Drop+f.Late+f.Lose:
		return lost
	default:
		return sound
	}
}

func unsure(call string) error {
	return &quetzalpier.OutcomeUnknownError{Call: call, Reason: "no answer"}
}

// Get implements quetzalpier.KV.
func (f *Flaky) Get(ctx context.Context, key string) (quetzalpier.Entry, error) {
	if f.draw() != sound {
		return quetzalpier.Entry{}, unsure("get")
	}
	return f.KV.Get(ctx, key)
}

// CompareAndSwap implements quetzalpier.KV.
func (f *Flaky) CompareAndSwap(ctx context.Context, key string, value []byte, rev uint64, lease string) (uint64, error) {
	switch f.draw() {
	case dropped:
		return 0, unsure("swap")
	case late:
		body := append([]byte(nil), value...)
		time.AfterFunc(f.Lateness, func() { _, _ = f.KV.CompareAndSwap(context.Background(), key, body, rev, lease) })
		return 0, unsure("swap")
	case lost:
		_, _ = f.KV.CompareAndSwap(ctx, key, value, rev, lease)
		return 0, unsure("swap")
	default:
		return f.KV.CompareAndSwap(ctx, key, value, rev, lease)
	}
}
