package runner

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"quetzalpier"
	"quetzalpier/link"
	"quetzalpier/meter"
)

const (
	// maxCalmWait limits how long a task waits for a run once engines with room have
	// stopped crashing, and maxFirstWait how long it waits after their first failure.
	maxCalmWait  = 1100 * time.Millisecond
	maxFirstWait = 250 * time.Millisecond
)

var burstStart = time.Unix(1000, 0)

// burst is a pool whose engines crash, in virtual time.
type burst struct {
	pool *poolRunner
	now  time.Time
	// restarts counts the engine processes that were replaced.
	restarts int
}

// newBurst returns a pool with one open job.
func newBurst(t *testing.T, engines, slots, taskCount int) *burst {
	t.Helper()
	r := &Runner{Meter: meter.New(), Log: zerolog.Nop()}
	b := &burst{pool: newPoolRunner(context.Background(), r, "lm", 1), now: burstStart}
	for i := range engines {
		b.pool.setEngine(burstEngine(fmt.Sprint("e", i), slots))
	}
	job := &quetzalpier.Job{
		ID: "j", Model: "m", MinVersion: 1, WantGroups: 1, MaxAttempts: 3,
		SubmittedAt: b.now, DueAt: b.now.Add(time.Minute), ExpiresAt: b.now.Add(time.Hour),
	}
	for i := range taskCount {
		job.Tasks = append(job.Tasks, quetzalpier.Task{ID: fmt.Sprint("t", i), Group: "g"})
	}
	b.pool.scheduler.Add(job, nil, b.now)
	return b
}

func burstEngine(id string, slots int) quetzalpier.VM {
	return quetzalpier.VM{ID: id, Pool: "lm", State: quetzalpier.VMLive, Slots: slots, Models: map[string]quetzalpier.Version{"m": 1}}
}

// place plans until a run starts, and returns the runs and the wait for them.
func (b *burst) place(t *testing.T) ([]*run, time.Duration) {
	t.Helper()
	for from := b.now; b.now.Sub(from) <= time.Minute; b.now = b.now.Add(planInterval) {
		var runs []*run
		for _, l := range b.pool.scheduler.Plan(b.pool.engineList(), b.now) {
			runs = append(runs, &run{parent: b.pool, task: l.Task, engine: b.pool.engines[l.Engine.VM.ID], vm: l.Engine.VM, startedAt: b.now})
		}
		if len(runs) > 0 {
			return runs, b.now.Sub(from)
		}
	}
	require.Fail(t, "no run was started within a minute")
	return nil, 0
}

// breakOff ends a run like an engine that closed the connection after the request.
func (b *burst) breakOff(r *run) {
	err := &link.Error{Addr: r.vm.Addr, Stage: link.StageBody, Sent: 1, Err: errors.New("connection reset")}
	b.pool.finishRun(r, err, false, b.now)
}

// restart replaces the engine by a new process.
func (b *burst) restart(id string, slots int) {
	delete(b.pool.engines, id)
	b.restarts++
	b.pool.setEngine(burstEngine(fmt.Sprint("r", b.restarts), slots))
}

// Sound tasks under which engines had crashed were held back on all engines, for
// up to 32 s after the last crash.
func TestTaskOfCrashedEngines(t *testing.T) {
	for _, losses := range []int{1, 3, 7, 12} {
		t.Run(fmt.Sprintf("a task is placed soon after %d engines crashed and restarted", losses), func(t *testing.T) {
			b := newBurst(t, 4, 1, 1)
			for range losses {
				runs, _ := b.place(t)
				b.now = b.now.Add(50 * time.Millisecond)
				b.breakOff(runs[0])
				b.restart(runs[0].vm.ID, 1)
			}
			_, waited := b.place(t)
			require.LessOrEqual(t, waited, maxCalmWait)
		})
		t.Run(fmt.Sprintf("a task is placed soon after its connections broke %d times", losses), func(t *testing.T) {
			b := newBurst(t, 4, 1, 1)
			for range losses {
				runs, _ := b.place(t)
				b.now = b.now.Add(50 * time.Millisecond)
				b.breakOff(runs[0])
			}
			_, waited := b.place(t)
			require.LessOrEqual(t, waited, maxCalmWait)
		})
	}
	t.Run("tasks are placed soon after all engines broke off all their runs repeatedly", func(t *testing.T) {
		b := newBurst(t, 4, 8, 32)
		for end := b.now.Add(3 * time.Second); b.now.Before(end); {
			runs, _ := b.place(t)
			b.now = b.now.Add(50 * time.Millisecond)
			for _, r := range runs {
				b.breakOff(r)
			}
		}
		runs, waited := b.place(t)
		require.LessOrEqual(t, waited, maxCalmWait)
		require.NotEmpty(t, runs)
	})
	t.Run("a crash that breaks off many runs counts as one failure of the engine", func(t *testing.T) {
		b := newBurst(t, 1, 8, 8)
		runs, _ := b.place(t)
		require.Len(t, runs, 8)
		b.now = b.now.Add(50 * time.Millisecond)
		for _, r := range runs {
			b.breakOff(r)
		}
		_, waited := b.place(t)
		require.LessOrEqual(t, waited, maxFirstWait)
	})
}

// maxRunsPerSecond limits the runs of one task under which engines break off
// before any event.
const maxRunsPerSecond = 10

func TestRunStorm(t *testing.T) {
	const seconds = 10
	storm := func(t *testing.T, engines int, afterwards func(*burst, *run)) (runCount int) {
		t.Helper()
		b := newBurst(t, engines, 8, 1)
		for b.now.Before(burstStart.Add(seconds * time.Second)) {
			runs, _ := b.place(t)
			runCount++
			b.breakOff(runs[0])
			afterwards(b, runs[0])
		}
		return runCount
	}
	t.Run("a task under which all of many engines break off is run ten times a second at most", func(t *testing.T) {
		require.LessOrEqual(t, storm(t, 600, func(*burst, *run) {}), seconds*maxRunsPerSecond+1)
	})
	t.Run("a task under which all of many engines crash is run ten times a second at most", func(t *testing.T) {
		runCount := storm(t, 600, func(b *burst, r *run) { b.restart(r.vm.ID, 8) })
		require.LessOrEqual(t, runCount, seconds*maxRunsPerSecond+1)
	})
	t.Run("an engine that breaks off each run is used about once a second", func(t *testing.T) {
		require.LessOrEqual(t, storm(t, 1, func(*burst, *run) {}), seconds+3)
	})
}

// Engines were held back for responses that concerned one task, and for a weight
// version that they had been ordered to load.
func TestEnginesOfRefusedTask(t *testing.T) {
	cases := map[string]error{
		"status 404": &statusError{Engine: "e0", Status: http.StatusNotFound},
		"a second version of a task that needs one": &versionError{Engine: "e0", Version: 2},
	}
	for name, err := range cases {
		t.Run("other tasks run on engines whose runs of one task end with "+name, func(t *testing.T) {
			b := newBurst(t, 2, 8, 1)
			for range 12 {
				runs, _ := b.place(t)
				b.now = b.now.Add(50 * time.Millisecond)
				b.pool.finishRun(runs[0], err, false, b.now)
			}
			b.now = b.now.Add(refusedDelay)
			for _, e := range b.pool.engineList() {
				require.True(t, e.HasRoom(&quetzalpier.Job{Model: "m"}, b.now), "engine %s", e.VM.ID)
			}
		})
	}
}
