package stand

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"quetzalpier"
)

// FlakyKV wraps a key-value service and makes its reads and writes of single keys
// fail at random, in the ways in which calls to the platform's service fail.
type FlakyKV struct {
	quetzalpier.KV
	// LostAnswerRate is the share of writes whose answer is lost after they took
	// effect, LateWriteRate the share of writes that take effect only after the
	// call has returned an unknown outcome, and DropRate the share of calls that
	// never arrive. Reads fail at the sum of the three rates.
	LostAnswerRate, LateWriteRate, DropRate float64
	// LateWriteDelay is the delay of a late write.
	LateWriteDelay time.Duration

	mu  sync.Mutex
	rnd *rand.Rand
}

// NewFlakyKV wraps kv; seed initializes the random choice of faults.
func NewFlakyKV(kv quetzalpier.KV, seed uint64) *FlakyKV {
	return &FlakyKV{KV: kv, rnd: rand.New(rand.NewPCG(seed, seed))}
}

type kvFault int

const (
	noFault kvFault = iota
	droppedCall
	lateWrite
	lostAnswer
)

func (f *FlakyKV) drawFault() kvFault {
	f.mu.Lock()
	defer f.mu.Unlock()
	x := f.rnd.Float64()
	switch {
	case x < f.DropRate:
		return droppedCall
	case x < f.DropRate+f.LateWriteRate:
		return lateWrite
	case x < f.DropRate+f.LateWriteRate+f.LostAnswerRate:
		return lostAnswer
	default:
		return noFault
	}
}

func outcomeUnknown(call string) error {
	return &quetzalpier.OutcomeUnknownError{Call: call, Reason: "no answer"}
}

// Get implements quetzalpier.KV.
func (f *FlakyKV) Get(ctx context.Context, key string) (quetzalpier.Entry, error) {
	if f.drawFault() != noFault {
		return quetzalpier.Entry{}, outcomeUnknown("get")
	}
	return f.KV.Get(ctx, key)
}

// CompareAndSwap implements quetzalpier.KV.
func (f *FlakyKV) CompareAndSwap(ctx context.Context, key string, value []byte, rev uint64, lease string) (uint64, error) {
	switch f.drawFault() {
	case droppedCall:
		return 0, outcomeUnknown("compare and swap")
	case lateWrite:
		body := append([]byte(nil), value...)
		time.AfterFunc(f.LateWriteDelay, func() { _, _ = f.KV.CompareAndSwap(context.Background(), key, body, rev, lease) })
		return 0, outcomeUnknown("compare and swap")
	case lostAnswer:
		_, _ = f.KV.CompareAndSwap(ctx, key, value, rev, lease)
		return 0, outcomeUnknown("compare and swap")
	default:
		return f.KV.CompareAndSwap(ctx, key, value, rev, lease)
	}
}
