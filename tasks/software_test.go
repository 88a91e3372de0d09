package tasks_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalpier/tasks"
)

func newEngineOf(software, id string) *tasks.Engine {
	e := newEngine(id, 2, 2)
	e.VM.Software, e.VM.Incarnation = software, 1
	return e
}

// interruptedTask returns a task with events of the engine, whose run broke off.
func interruptedTask(t *testing.T, engine *tasks.Engine, events int) (*tasks.Scheduler, *tasks.Task) {
	t.Helper()
	scheduler := tasks.NewScheduler()
	scheduler.Add(newSpec("j", 1, 1, 200), nil, start)
	launches := scheduler.Plan([]*tasks.Engine{engine}, start)
	require.Len(t, launches, 1)
	task := launches[0].Task
	for i := range events {
		task.Text.Add(fmt.Sprint("event ", i), 2)
	}
	task.Phase = tasks.Waiting
	engine.Running--
	return scheduler, task
}

// Load pattern: the engines of a pool are replaced by ones with newer software, both
// serve for a while, and runs break off.
func TestSoftwareOfText(t *testing.T) {
	old, next := newEngineOf("v1", "a"), newEngineOf("v2", "b")
	requirePlaced := func(t *testing.T, s *tasks.Scheduler, engines []*tasks.Engine, now time.Time, want string, events int) {
		t.Helper()
		launches := s.Plan(engines, now)
		if want == "" {
			require.Empty(t, launches)
			return
		}
		require.Len(t, launches, 1)
		require.Equal(t, want, launches[0].Engine.VM.ID)
		require.Len(t, launches[0].Task.Text.Events.List(), events)
	}
	full := func(e *tasks.Engine) *tasks.Engine {
		busy := *e
		busy.Running = busy.VM.Slots
		return &busy
	}
	t.Run("it goes on at an engine of its version, also if others are faster", func(t *testing.T) {
		scheduler, _ := interruptedTask(t, old, 5)
		other, fast := newEngineOf("v1", "c"), newEngineOf("v2", "b")
		other.Running = 1
		requirePlaced(t, scheduler, []*tasks.Engine{fast, other}, start.Add(time.Second), "c", 5)
	})
	t.Run("it starts over if no engine of its version is left", func(t *testing.T) {
		scheduler, _ := interruptedTask(t, old, 150)
		requirePlaced(t, scheduler, []*tasks.Engine{next}, start.Add(time.Second), "b", 0)
	})
	t.Run("a long text waits for a slot at its version, but no longer than it takes to generate again", func(t *testing.T) {
		scheduler, _ := interruptedTask(t, old, 100)
		engines := []*tasks.Engine{full(old), newEngineOf("v2", "b")}
		now := start.Add(time.Second)
		requirePlaced(t, scheduler, engines, now, "", 0)
		requirePlaced(t, scheduler, engines, now.Add(3*time.Second), "", 0)
		requirePlaced(t, scheduler, engines, now.Add(4*time.Second), "b", 0)
	})
	t.Run("a short text starts over at once", func(t *testing.T) {
		scheduler, _ := interruptedTask(t, old, 5)
		requirePlaced(t, scheduler, []*tasks.Engine{full(old), newEngineOf("v2", "b")}, start.Add(time.Second), "b", 0)
	})
	t.Run("a text of unknown version goes on only at the same process", func(t *testing.T) {
		unknown := newEngineOf("", "a")
		scheduler, _ := interruptedTask(t, unknown, 5)
		requirePlaced(t, scheduler, []*tasks.Engine{unknown}, start.Add(time.Second), "a", 5)
		scheduler, _ = interruptedTask(t, unknown, 5)
		requirePlaced(t, scheduler, []*tasks.Engine{newEngineOf("", "c")}, start.Add(time.Second), "c", 0)
	})
	t.Run("an engine that is listed with another version later may have generated events of it", func(t *testing.T) {
		scheduler, _ := interruptedTask(t, old, 5)
		restarted := newEngineOf("v2", "a")
		restarted.VM.Incarnation = 2
		requirePlaced(t, scheduler, []*tasks.Engine{restarted, newEngineOf("v1", "c")}, start.Add(time.Second), restarted.VM.ID, 0)
	})
	t.Run("a text keeps its version in a later job", func(t *testing.T) {
		scheduler, task := interruptedTask(t, old, 5)
		scheduler.End("j", start.Add(time.Second))
		later := newSpec("k", 1, 1, 200)
		later.Tasks[0].ID = task.Spec.ID
		scheduler.Add(later, nil, start.Add(2*time.Second))
		requirePlaced(t, scheduler, []*tasks.Engine{next, newEngineOf("v1", "c")}, start.Add(2*time.Second), "c", 5)
	})
	t.Run("a run moves off a slow engine to one of its version", func(t *testing.T) {
		scheduler, task := interruptedTask(t, old, 30)
		slow := newEngineOf("v1", "a")
		require.Len(t, scheduler.Plan([]*tasks.Engine{slow}, start), 1)
		slow.EventTime = 400 * time.Millisecond
		now := start.Add(time.Second)
		task.LastEventAt = now
		fast := func(software, id string) *tasks.Engine {
			e := newEngineOf(software, id)
			e.EventTime = 30 * time.Millisecond
			return e
		}
		require.Empty(t, scheduler.TasksToMove([]*tasks.Engine{slow, fast("v2", "b"), fast("v2", "d"), full(fast("v1", "c"))}, now), "30 events would be lost")
		require.Len(t, scheduler.TasksToMove([]*tasks.Engine{slow, fast("v2", "b"), fast("v2", "d"), fast("v1", "c")}, now), 1)
	})
}
