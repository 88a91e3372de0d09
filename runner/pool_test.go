package runner

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/meter"
	"quetzalpier/pace"
	"quetzalpier/platform"
	"quetzalpier/tasks"
	"quetzalpier/wire"
)

// Guards against prompts that are lost with the job's way through the store.
func TestOpenJobPrompt(t *testing.T) {
	p := newPoolRunner(t.Context(), &Runner{Meter: meter.New(), Log: zerolog.Nop()}, "lm", 1)
	job := &quetzalpier.Job{ID: "j", Model: "m", ExpiresAt: burstStart.Add(time.Hour), Tasks: []quetzalpier.Task{
		{ID: "t", Path: "/t", Headers: map[string]string{platform.HeaderPromptPrefix: "9f:260"}},
	}}
	data, err := wire.EncodeJob(job)
	require.NoError(t, err)
	stored, err := wire.DecodeJob(data)
	require.NoError(t, err)
	p.openJob(stored, false, burstStart)
	require.Equal(t, []quetzalpier.PromptPart{{ID: "9f", Tokens: 260}}, p.scheduler.Jobs["j"].Tasks[0].Spec.Prompt)
}

// TestOpenJobTwice guards against a job that its sender shares being changed while it is opened:
// one that is kept back and sent again is opened by two goroutines.
func TestOpenJobTwice(t *testing.T) {
	job := &quetzalpier.Job{ID: "j", Model: "m", ExpiresAt: burstStart.Add(time.Hour), Tasks: []quetzalpier.Task{
		{ID: "t", Path: "/t", Headers: map[string]string{platform.HeaderPromptPrefix: "9f:260"}},
	}}
	for range 2 {
		p := newPoolRunner(t.Context(), &Runner{Meter: meter.New(), Log: zerolog.Nop()}, "lm", 1)
		p.openJob(job, false, burstStart)
		require.Equal(t, burstStart.Add(time.Hour+expireMargin), p.scheduler.Jobs["j"].Spec.ExpiresAt)
		require.Equal(t, burstStart.Add(time.Hour), job.ExpiresAt)
		require.Empty(t, job.Tasks[0].Prompt)
	}
}

// Guards against priorities that come from the job's submission: the configuration decides.
func TestPriorities(t *testing.T) {
	b := board.New(board.Member{ID: "n"})
	p := newPoolRunner(t.Context(), &Runner{Board: b, Meter: meter.New(), Log: zerolog.Nop()}, "lm", 1)
	priorityOf := func(job quetzalpier.Job, config quetzalpier.Config) int {
		b.Do(func(s *board.State) { s.Config = config })
		p.scheduler = tasks.NewScheduler()
		p.scheduler.Add(&job, nil, burstStart)
		p.refreshPriorities()
		return p.scheduler.Priority(job.Model)
	}
	routes := []quetzalpier.Route{{Name: "r", Priority: 1}}
	customers := []quetzalpier.Customer{{Name: "c", Priority: 2}}
	require.Equal(t, 1, priorityOf(quetzalpier.Job{ID: "j", Model: "m", Route: "r"}, quetzalpier.Config{Routes: routes}))
	require.Equal(t, 2, priorityOf(quetzalpier.Job{ID: "j", Model: "m", Route: "r", Customer: "c"}, quetzalpier.Config{Routes: routes, Customers: customers}))
	require.Equal(t, 1, priorityOf(quetzalpier.Job{ID: "j", Model: "m", Route: "r", Customer: "d"}, quetzalpier.Config{Routes: routes, Customers: customers}))
	require.Zero(t, priorityOf(quetzalpier.Job{ID: "j", Model: "m", Route: "gone"}, quetzalpier.Config{Routes: routes}))
}

// Guards against a header of the task that is replaced, and against one without need.
func TestRunUrgency(t *testing.T) {
	urgency := func(class string, mixed bool, headers map[string]string) string {
		task := &tasks.Task{Spec: &quetzalpier.Task{ID: "t", Path: "/t", Headers: headers}, Job: &tasks.Job{Spec: &quetzalpier.Job{ID: "j"}}}
		r := &run{parent: &poolRunner{runner: &Runner{Board: board.New(board.Member{})}}, task: task, class: class, mixed: mixed}
		return string(r.request(burstStart).Header.Peek(platform.HeaderUrgency))
	}
	require.Equal(t, platform.UrgencyLongPrompt, urgency(pace.LongPrompt, true, nil))
	require.Empty(t, urgency(pace.ShortPrompt, true, nil))
	require.Empty(t, urgency(pace.LongPrompt, false, nil))
	require.Equal(t, "2", urgency(pace.LongPrompt, true, map[string]string{platform.HeaderUrgency: "2"}))
}

// TestDeparture guards against runs that stay too long because the time left was read late.
func TestDeparture(t *testing.T) {
	now := time.Unix(1000, 0)
	leaving := quetzalpier.VM{State: quetzalpier.VMLeaving, LeavesIn: 2 * time.Second}
	at := departure(time.Time{}, leaving, now)
	require.Equal(t, now.Add(2*time.Second), at)
	require.Equal(t, at, departure(at, leaving, now.Add(time.Second)), "the same entry later")
	require.Zero(t, departure(at, quetzalpier.VM{State: quetzalpier.VMLive}, now))
	require.Zero(t, departure(time.Time{}, quetzalpier.VM{State: quetzalpier.VMLeaving}, now), "no time given")
}

func TestPlanPause(t *testing.T) {
	require.Zero(t, planPause(0))
	require.Equal(t, 4*time.Millisecond, planPause(time.Millisecond))
	require.Equal(t, maxPlanPause, planPause(time.Second))
}
