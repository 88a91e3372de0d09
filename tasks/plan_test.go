package tasks_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalpier"
	"quetzalpier/tasks"
)

func newEngine(id string, slots int, version quetzalpier.Version) *tasks.Engine {
	return &tasks.Engine{
		VM:       quetzalpier.VM{ID: id, State: quetzalpier.VMLive, Slots: slots, Software: "v1"},
		Versions: map[string]quetzalpier.Version{"m": version},
	}
}

func TestPlan(t *testing.T) {
	t.Run("the longest tasks start first", func(t *testing.T) {
		scheduler := tasks.NewScheduler()
		scheduler.Add(newSpec("j", 1, 3, 5, 100, 20), nil, start)
		launches := scheduler.Plan([]*tasks.Engine{newEngine("e", 2, 2)}, start)
		require.Len(t, launches, 2)
		require.Equal(t, "j-1", launches[0].Task.Spec.ID)
		require.Equal(t, "j-2", launches[1].Task.Spec.ID)
	})
	t.Run("a task is placed on the engine that finishes it first", func(t *testing.T) {
		scheduler := tasks.NewScheduler()
		scheduler.Add(newSpec("j", 1, 1), nil, start)
		slow, fast := newEngine("a", 8, 2), newEngine("b", 8, 2)
		slow.EventTime, fast.EventTime = 100*time.Millisecond, 30*time.Millisecond
		fast.Running = 4
		require.Equal(t, "b", scheduler.Plan([]*tasks.Engine{slow, fast}, start)[0].Engine.VM.ID)
	})
	t.Run("an unsuitable engine gets no task", func(t *testing.T) {
		cases := map[string]func(*tasks.Engine){
			"old weights": func(e *tasks.Engine) { e.Versions["m"] = 1 },
			"leaving":     func(e *tasks.Engine) { e.VM.State = quetzalpier.VMLeaving },
			"full":        func(e *tasks.Engine) { e.Running = 8 },
			"loading":     func(e *tasks.Engine) { e.Loading = "m" },
			"failed":      func(e *tasks.Engine) { e.NotUntil = start.Add(time.Second) },
		}
		for name, disable := range cases {
			t.Run(name, func(t *testing.T) {
				scheduler := tasks.NewScheduler()
				scheduler.Add(newSpec("j", 1, 1), nil, start)
				engine := newEngine("e", 8, 2)
				disable(engine)
				require.Empty(t, scheduler.Plan([]*tasks.Engine{engine}, start))
			})
		}
	})
	t.Run("an engine with a limit gets as many tasks as it allows, the most urgent ones", func(t *testing.T) {
		scheduler := tasks.NewScheduler()
		scheduler.Add(newSpec("j", 1, 3, 5, 100, 20), nil, start)
		limited := newEngine("e", 8, 2)
		limited.Limited, limited.Permits = true, 1
		launches := scheduler.Plan([]*tasks.Engine{limited}, start)
		require.Len(t, launches, 1)
		require.Equal(t, "j-1", launches[0].Task.Spec.ID)
		require.Len(t, scheduler.Plan([]*tasks.Engine{limited, newEngine("f", 8, 2)}, start), 2, "the others go elsewhere")
	})
	t.Run("a long task avoids engines that are about to load new weights", func(t *testing.T) {
		scheduler := tasks.NewScheduler()
		scheduler.Add(newSpec("j", 1, 1, 150), nil, start)
		oldest, fresh := newEngine("a", 8, 2), newEngine("b", 8, 3)
		fresh.Running = 2
		require.Equal(t, "b", scheduler.Plan([]*tasks.Engine{oldest, fresh}, start)[0].Engine.VM.ID)
	})
	t.Run("a satisfied job is scheduled last", func(t *testing.T) {
		scheduler := tasks.NewScheduler()
		satisfied := newSpec("a", 2, 1)
		satisfied.WantGroups = 1
		job := scheduler.Add(satisfied, nil, start)
		finish(scheduler, job.Tasks[0], start)
		later := newSpec("b", 1, 1)
		later.DueAt = start.Add(20 * time.Second)
		scheduler.Add(later, nil, start)
		require.Equal(t, "b-0", scheduler.Plan([]*tasks.Engine{newEngine("e", 1, 2)}, start)[0].Task.Spec.ID)
	})
}

// TestSlow covers engines at a quarter of the others' speed: long tasks wait for
// a faster engine, and runs do not move back and forth.
func TestSlow(t *testing.T) {
	setup := func(hints ...int) (*tasks.Scheduler, []*tasks.Engine) {
		scheduler := tasks.NewScheduler()
		scheduler.Add(newSpec("j", 1, len(hints), hints...), nil, start)
		engines := []*tasks.Engine{newEngine("a", 1, 2), newEngine("b", 1, 2), newEngine("slow", 4, 2)}
		for _, e := range engines {
			e.EventTime = 35 * time.Millisecond
		}
		engines[2].EventTime = 140 * time.Millisecond
		return scheduler, engines
	}
	t.Run("long tasks wait for a faster engine, short ones don't", func(t *testing.T) {
		scheduler, engines := setup(100, 90, 80, 5)
		placed := map[string]string{}
		for _, launch := range scheduler.Plan(engines, start) {
			placed[launch.Task.Spec.ID] = launch.Engine.VM.ID
		}
		require.Equal(t, map[string]string{"j-0": "a", "j-1": "b", "j-3": "slow"}, placed)
	})
	// Long tasks waited for engines that were crashing while slow ones were idle.
	t.Run("no task waits for engines whose runs fail", func(t *testing.T) {
		scheduler, engines := setup(100)
		for _, e := range engines[:2] {
			e.RecordFailure(start, start)
		}
		launches := scheduler.Plan(engines, start)
		require.Len(t, launches, 1)
		require.Equal(t, "slow", launches[0].Engine.VM.ID)
	})
	t.Run("no task waits if all engines are slow", func(t *testing.T) {
		scheduler, engines := setup(100)
		require.Len(t, scheduler.Plan(engines[2:], start), 1)
	})
	t.Run("a run does not move while other tasks wait for the faster slots", func(t *testing.T) {
		scheduler, engines := setup(100, 90, 80)
		engines[0].Running, engines[1].Running = 1, 1
		engines[2].EventTime = 35 * time.Millisecond
		require.Len(t, scheduler.Plan(engines, start), 3)
		engines[2].EventTime = 140 * time.Millisecond
		engines[0].Running = 0
		scheduler.Add(newSpec("k", 1, 1, 100), nil, start)
		now := start.Add(200 * time.Millisecond)
		require.Empty(t, scheduler.TasksToMove(engines, now))
		require.Len(t, scheduler.Plan(engines, now), 1)
	})
}

func TestTasksToMove(t *testing.T) {
	running := func(t *testing.T, events int, sinceEvent time.Duration) (*tasks.Scheduler, []*tasks.Engine) {
		t.Helper()
		scheduler := tasks.NewScheduler()
		scheduler.Add(newSpec("j", 1, 1, 100), nil, start)
		engines := []*tasks.Engine{newEngine("a", 8, 2), newEngine("b", 8, 2), newEngine("c", 8, 2)}
		for _, e := range engines {
			e.EventTime = 35 * time.Millisecond
		}
		task := scheduler.Plan(engines, start)[0].Task
		for range events {
			task.Text.Add("e", 2)
		}
		task.LastEventAt = start.Add(5*time.Second - sinceEvent)
		return scheduler, engines
	}
	now := start.Add(5 * time.Second)
	t.Run("a run that makes progress does not move", func(t *testing.T) {
		scheduler, engines := running(t, 50, 30*time.Millisecond)
		require.Empty(t, scheduler.TasksToMove(engines, now))
	})
	t.Run("a silent run moves, and its engine gets no new runs for a while", func(t *testing.T) {
		scheduler, engines := running(t, 50, time.Second)
		require.Len(t, scheduler.TasksToMove(engines, now), 1)
		require.True(t, engines[0].NotUntil.After(now))
	})
	t.Run("a run with many events left moves away from a slow engine", func(t *testing.T) {
		scheduler, engines := running(t, 10, 30*time.Millisecond)
		engines[0].EventTime = 130 * time.Millisecond
		require.Len(t, scheduler.TasksToMove(engines, now), 1)
	})
	t.Run("a run beyond its hint moves away from a slow engine", func(t *testing.T) {
		scheduler, engines := running(t, 120, 30*time.Millisecond)
		engines[0].EventTime = 130 * time.Millisecond
		require.Len(t, scheduler.TasksToMove(engines, now), 1)
	})
	t.Run("no run moves if the other engines are full", func(t *testing.T) {
		scheduler, engines := running(t, 10, 30*time.Millisecond)
		engines[0].EventTime = 130 * time.Millisecond
		engines[1].Running, engines[2].Running = 8, 8
		require.Empty(t, scheduler.TasksToMove(engines, now))
	})
	t.Run("a run on an engine that loads weights does not move", func(t *testing.T) {
		scheduler, engines := running(t, 50, time.Second)
		engines[0].Loading = "m"
		require.Empty(t, scheduler.TasksToMove(engines, now))
	})
}

// replay simulates a step in virtual time: every engine generates an event for
// each of its runs every 33 ms, and plan is called after each such interval. It
// returns the time until all tasks are finished.
func replay(lengths, hints []int, engines int, plan func(*tasks.Scheduler, []*tasks.Engine, time.Time) []tasks.Launch) time.Duration {
	const event = 33 * time.Millisecond
	scheduler := tasks.NewScheduler()
	job := scheduler.Add(newSpec("j", len(lengths)/8, 8, hints...), nil, start)
	var list []*tasks.Engine
	for i := range engines {
		e := newEngine(fmt.Sprintf("e%d", i), 8, 2)
		e.EventTime = event
		list = append(list, e)
	}
	index := map[*tasks.Task]int{}
	for i, task := range job.Tasks {
		index[task] = i
	}
	ends := map[*tasks.Task]time.Time{}
	on := map[*tasks.Task]*tasks.Engine{}
	for now := start; ; now = now.Add(event) {
		for task, end := range ends {
			if !end.After(now) {
				delete(ends, task)
				on[task].Running--
				finish(scheduler, task, now)
			}
		}
		if job.Unfinished() == 0 {
			return now.Sub(start)
		}
		for _, launch := range plan(scheduler, list, now) {
			ends[launch.Task] = now.Add(time.Duration(lengths[index[launch.Task]]) * event)
			on[launch.Task] = launch.Engine
		}
	}
}

// TestLongestFirst simulates a step of 96 tasks submitted at once to 32 slots,
// one in twelve five times as long as the others, with hints off by a factor of
// up to two. Plan must never finish more than 20 events later than NaivePlan,
// and more than 10 % earlier on average.
func TestLongestFirst(t *testing.T) {
	var ours, naive time.Duration
	for seed := range uint64(20) {
		rnd := rand.New(rand.NewPCG(seed, seed))
		var lengths, hints []int
		for range 96 {
			length := 5 + rnd.IntN(40)
			if rnd.IntN(12) == 0 {
				length = min(179, length*5)
			}
			lengths = append(lengths, length)
			hints = append(hints, max(1, int(float64(length)*(0.5+1.5*rnd.Float64()))))
		}
		a := replay(lengths, hints, 4, (*tasks.Scheduler).Plan)
		b := replay(lengths, hints, 4, (*tasks.Scheduler).NaivePlan)
		require.LessOrEqual(t, a, b+20*33*time.Millisecond, "seed %d", seed)
		ours += a
		naive += b
	}
	t.Logf("mean time of a step: %s, naive %s", ours/20, naive/20)
	require.Less(t, ours, naive*9/10)
}

// Load pattern: a deployment's engines send more tokens in an event than others. With
// an assumed number, all its tasks look longer than they are.
func TestHintedLength(t *testing.T) {
	const tokensPerEvent = 2 * tasks.EventTokens
	engines := []*tasks.Engine{newEngine("slow", 2, 2), newEngine("a", 2, 2), newEngine("b", 2, 2)}
	for _, e := range engines {
		e.EventTime = 35 * time.Millisecond
	}
	engines[0].EventTime = 80 * time.Millisecond
	movesShortTask := func(scheduler *tasks.Scheduler, id string) bool {
		spec := newSpec(id, 1, 1)
		spec.Tasks[0].LengthHint = 5 * tokensPerEvent
		task := scheduler.Add(spec, nil, start).Tasks[0]
		task.Phase, task.Engine, task.StartedAt, task.LastEventAt = tasks.Running, "slow", start.Add(-time.Second), start
		moved := len(scheduler.TasksToMove(engines, start)) == 1
		scheduler.End(id, start)
		return moved
	}
	scheduler := tasks.NewScheduler()
	require.True(t, movesShortTask(scheduler, "before"), "ten events are expected, and five are left")
	spec := newSpec("j", 1, 20)
	for i := range spec.Tasks {
		spec.Tasks[i].LengthHint = 10 * tokensPerEvent
	}
	for _, task := range scheduler.Add(spec, nil, start).Tasks {
		for range 10 {
			task.Text.Add("event", 2)
		}
		scheduler.Finish(task, "", start)
	}
	require.False(t, movesShortTask(scheduler, "after"), "five events don't pay for a move")
}
