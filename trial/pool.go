package trial

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/pool"

	"quetzalpier"
	"quetzalpier/tasks"
)

// Pool is a load pattern for a pool whose trainers submit a step every few
// seconds, with all of its tasks at once. Weight updates are not modelled.
type Pool struct {
	Name    string
	Engines int
	Slots   int
	// EventTime is the time that a run needs for an event, without overhead; each
	// run on the engine adds the share RunOverhead of it.
	EventTime   time.Duration
	RunOverhead float64
	// Trainers submit a step every StepInterval; a step is late if it takes longer
	// than Deadline.
	Trainers     []PoolTrainer
	StepInterval time.Duration
	Deadline     time.Duration
	Steps        int
	// SlowShare is the share of the engines that take SlowFactor times as long from
	// SlowAt for SlowFor.
	SlowShare  float64
	SlowFactor float64
	SlowAt     time.Duration
	SlowFor    time.Duration
	// SpeedSpread is the difference between the time per event of the slowest engine and
	// that of the fastest, as a share of EventTime, their mean. NoiseShare of the engines
	// take NoiseFactor times as long, others every NoiseInterval; they report that with
	// each run.
	SpeedSpread   float64
	NoiseShare    float64
	NoiseFactor   float64
	NoiseInterval time.Duration
	// PromptTokens is the number of tokens that the prompts of a group share; zero for none.
	PromptTokens int
	// CrashShare is the share of the engines that is down from CrashAt for CrashFor.
	CrashShare float64
	CrashAt    time.Duration
	CrashFor   time.Duration
	// OwnerLostAt is when the owner fails and all runs end; another node starts
	// them again after TakeoverTime. Zero means never.
	OwnerLostAt  time.Duration
	TakeoverTime time.Duration
}

// PoolTrainer is a trainer of a pool. Its steps have Groups groups of GroupSize
// tasks, with MeanEvents events on average and MaxEvents at most.
type PoolTrainer struct {
	Groups, GroupSize     int
	MeanEvents, MaxEvents float64
	// RewardEvery gives every n-th task a reward; zero gives none.
	RewardEvery int
	// Priority is that of its jobs; zero is the highest.
	Priority int
}

// PoolPolicy selects the scheduling decisions in use; the others are made naively.
type PoolPolicy struct {
	tasks.Heuristics
	// Move moves runs away from slow and unresponsive engines.
	Move bool
	// Resume continues an interrupted run after its last event, or after the last
	// saved one if its owner was lost, instead of starting it again.
	Resume bool
}

const (
	// poolTick is the increment of virtual time, a third of the shortest event.
	poolTick = 10 * time.Millisecond
	// rewardTime is how long a reward call takes.
	rewardTime = 60 * time.Millisecond
	// moveInterval is the time between two checks for stuck runs, as in the runner.
	moveInterval = 50 * time.Millisecond
	// unsavedTime is how much of a run is lost with its owner: the runner saves
	// every 0.6 s.
	unsavedTime = 600 * time.Millisecond
	// lengthSigma is the standard deviation of a length's logarithm, and hintSigma
	// that of the error of a length hint, as in the logs of simulated days.
	lengthSigma = 1.0
	hintSigma   = 0.6
	// stepTimeout is the time after which a trainer abandons a step.
	stepTimeout = 12 * time.Second
)

// Pools returns the load patterns at the sizes of the users' sites. TakeoverTime
// is the TTL of an owner's lease plus the time to read the stored steps.
func Pools() []Pool {
	small := Pool{
		Engines: 9, Slots: 8, EventTime: 30 * time.Millisecond, RunOverhead: 0.02, StepInterval: 4 * time.Second, Deadline: 8 * time.Second, Steps: 9, TakeoverTime: 1400 * time.Millisecond,
		Trainers: []PoolTrainer{{13, 4, 14, 73, 1, 0}, {8, 8, 28, 179, 2, 0}},
	}
	grown := Pool{
		Engines: 36, Slots: 6, EventTime: 40 * time.Millisecond, RunOverhead: 0.02, StepInterval: 4 * time.Second, Deadline: 7500 * time.Millisecond, Steps: 9, TakeoverTime: 1400 * time.Millisecond,
		Trainers: []PoolTrainer{{12, 8, 9, 66, 0, 0}, {7, 16, 18, 133, 1, 0}, {8, 16, 19, 135, 2, 0}, {14, 8, 9, 66, 0, 0}},
	}
	return append(poolPatterns("grown", grown), poolPatterns("small", small)...)
}

// Uneven returns the load of three trainers on engines of different speeds with noisy
// moments: 0.55 to 1.2 of the normal speed, and 15% of them 2.5 times slower, others every
// 0.6 s.
func Uneven() Pool {
	return Pool{
		Name: "uneven", Engines: 36, Slots: 6, EventTime: 43 * time.Millisecond, RunOverhead: 0.02, StepInterval: 4 * time.Second, Deadline: 7500 * time.Millisecond, Steps: 25, TakeoverTime: 1400 * time.Millisecond,
		Trainers:    []PoolTrainer{{12, 8, 9, 66, 0, 0}, {17, 8, 18, 133, 1, 0}, {18, 8, 19, 135, 2, 0}},
		SpeedSpread: 0.7, NoiseShare: 0.15, NoiseFactor: 2.5, NoiseInterval: 600 * time.Millisecond,
	}
}

// poolPatterns returns the patterns of a pool of one size: without faults, with
// crashed engines, with a lost owner and with slow engines.
func poolPatterns(name string, base Pool) []Pool {
	calm, crash, owner, slow := base, base, base, base
	calm.Name = name + "/calm"
	crash.Name, crash.CrashShare, crash.CrashAt, crash.CrashFor = name+"/crash", 0.2, 14*time.Second, 4*time.Second
	owner.Name, owner.OwnerLostAt = name+"/owner", 15*time.Second
	slow.Name, slow.SlowShare, slow.SlowFactor, slow.SlowAt, slow.SlowFor = name+"/slow", 0.2, 3.5, 9*time.Second, 8*time.Second
	return []Pool{calm, crash, owner, slow}
}

// PoolResult is the result of one run: the time of each step, and the number of
// submitted ones.
type PoolResult struct {
	StepTimes []time.Duration
	Submitted int
	// Generated is the number of events that the engines generated, Needed the sum of
	// the tasks' full lengths in events.
	Generated, Needed float64
	// Moved counts the runs that were moved to another engine.
	Moved int
	// Prefilled counts the prompt tokens that the engines processed, and Repeated those that
	// another engine, or the same one, had processed before.
	Prefilled, Repeated int
	// InTime is the share of the steps that ended by their deadline, by trainer.
	InTime []float64
}

type poolRun struct {
	task   *tasks.Task
	events float64
	// recorded is how many events were added to the task's text and reported to the
	// engine.
	recorded int
}

// scoredTask is a task whose text is complete and whose reward arrives at scoredAt.
type scoredTask struct {
	task     *tasks.Task
	scoredAt time.Time
}

type poolStep struct {
	job         *tasks.Job
	submittedAt time.Time
}

type poolSim struct {
	Pool
	policy    PoolPolicy
	rnd       *rand.Rand
	scheduler *tasks.Scheduler
	engines   []*tasks.Engine
	// runs are in the order of their start.
	runs []*poolRun
	// scoring holds the tasks that wait for their reward, the oldest first.
	scoring []scoredTask
	lengths map[*tasks.Task]float64
	// nextStepAt is when each trainer submits its next step, and openSteps holds
	// its open ones.
	nextStepAt  []time.Time
	stepNumbers []int
	openSteps   map[int][]poolStep
	pausedUntil time.Time
	// ended counts the steps that ended, by trainer, and inTime those that did by their
	// deadline.
	ended, inTime []float64
	// speeds is the time per event of each engine and noise its momentary slowdown, both as
	// factors.
	speeds, noise []float64
	noiseRnd      *rand.Rand
	// prompts holds the prompts that were processed, and by which engines.
	prompts map[string]map[string]bool
	// changed reports whether runs or tasks changed since the last plan.
	changed bool
	result  PoolResult
}

// RunPool simulates a pattern in virtual time. The same seed draws the same
// lengths and hints under every policy.
func RunPool(p Pool, policy PoolPolicy, seed uint64) PoolResult {
	start := time.Unix(0, 0)
	m := &poolSim{
		Pool: p, policy: policy, rnd: rand.New(rand.NewPCG(seed, 1)), scheduler: tasks.NewScheduler(),
		lengths: map[*tasks.Task]float64{}, prompts: map[string]map[string]bool{}, openSteps: map[int][]poolStep{},
		nextStepAt: make([]time.Time, len(p.Trainers)), ended: make([]float64, len(p.Trainers)), inTime: make([]float64, len(p.Trainers)), stepNumbers: make([]int, len(p.Trainers)),
	}
	for i := range p.Engines {
		m.engines = append(m.engines, &tasks.Engine{
			VM:       quetzalpier.VM{ID: fmt.Sprintf("e%02d", i), State: quetzalpier.VMLive, Software: "v1", Slots: p.Slots},
			Versions: map[string]quetzalpier.Version{},
		})
	}
	for i := range m.nextStepAt {
		m.nextStepAt[i] = start
	}
	m.drawSpeeds(seed)
	end := start.Add(time.Duration(p.Steps) * p.StepInterval)
	for now := start; now.Before(end); now = now.Add(poolTick) {
		m.applyFaults(now, now.Sub(start))
		m.drawNoise(now.Sub(start))
		m.submitSteps(now)
		m.startRuns(now, now.Sub(start)%moveInterval == 0)
		m.advanceRuns(now, now.Sub(start))
		m.closeSteps(now)
	}
	for i, count := range m.ended {
		m.result.InTime = append(m.result.InTime, m.inTime[i]/max(1, count))
	}
	return m.result
}

// drawSpeeds draws the usual speed of each engine.
func (m *poolSim) drawSpeeds(seed uint64) {
	m.noiseRnd = rand.New(rand.NewPCG(seed, 2))
	m.speeds, m.noise = make([]float64, m.Engines), make([]float64, m.Engines)
	for i := range m.speeds {
		m.speeds[i], m.noise[i] = 1+m.SpeedSpread*(m.noiseRnd.Float64()-0.5), 1
	}
}

// drawNoise draws the engines that are slow for the next interval.
func (m *poolSim) drawNoise(since time.Duration) {
	if m.NoiseShare == 0 || since%m.NoiseInterval != 0 {
		return
	}
	for i := range m.noise {
		m.noise[i] = 1
		if m.noiseRnd.Float64() < m.NoiseShare {
			m.noise[i] = m.NoiseFactor
		}
	}
}

// prefill processes the prompt of a new run.
func (m *poolSim) prefill(launch tasks.Launch) {
	for _, part := range launch.Task.Spec.Prompt {
		engines := m.prompts[part.ID]
		if engines == nil {
			engines = map[string]bool{}
			m.prompts[part.ID] = engines
		}
		if engines[launch.Engine.VM.ID] {
			continue
		}
		m.result.Prefilled += part.Tokens
		if len(engines) > 0 {
			m.result.Repeated += part.Tokens
		}
		engines[launch.Engine.VM.ID] = true
	}
}

// reportNoise makes the engine of a new run report its slowdown, as its response does.
func (m *poolSim) reportNoise(engine *tasks.Engine, now time.Time) {
	if m.NoiseShare > 0 {
		i := slices.Index(m.engines, engine)
		engine.Slowdown, engine.SlowdownAt = int(100*m.noise[i]), now
	}
}

func (m *poolSim) applyFaults(now time.Time, since time.Duration) {
	if m.CrashShare > 0 && since == m.CrashAt {
		for _, e := range m.engines[:countOf(m.CrashShare, m.Engines)] {
			e.VM.State = quetzalpier.VMLeaving
			m.interrupt(func(r *poolRun) bool { return r.task.Engine == e.VM.ID }, 0, now)
		}
	}
	if m.CrashShare > 0 && since == m.CrashAt+m.CrashFor {
		for _, e := range m.engines {
			e.VM.State = quetzalpier.VMLive
		}
	}
	if m.OwnerLostAt > 0 && since == m.OwnerLostAt {
		m.pausedUntil = now.Add(m.TakeoverTime)
		m.interrupt(func(*poolRun) bool { return true }, unsavedTime, now)
	}
}

func countOf(share float64, n int) int { return int(math.Ceil(share * float64(n))) }

// interrupt stops the runs that match and drops the events that they generated
// within the duration unsaved before the stop.
func (m *poolSim) interrupt(match func(*poolRun) bool, unsaved time.Duration, now time.Time) {
	for _, r := range slices.Clone(m.runs) {
		if !match(r) {
			continue
		}
		kept := max(0, int(r.events-float64(unsaved)/float64(m.EventTime)))
		if !m.policy.Resume {
			kept = 0
		}
		r.task.Text.Events = r.task.Text.Events.First(kept)
		m.stopRun(r.task, now)
	}
}

// stopRun ends a task's run, if it has one, and returns the task to the queue.
func (m *poolSim) stopRun(task *tasks.Task, now time.Time) {
	i := slices.IndexFunc(m.runs, func(r *poolRun) bool { return r.task == task })
	if i < 0 {
		return
	}
	m.runs = slices.Delete(m.runs, i, i+1)
	m.changed = true
	task.Phase = tasks.Waiting
	task.LastEventAt = now
	for _, e := range m.engines {
		if e.VM.ID == task.Engine {
			e.Running--
		}
	}
}

// submitSteps submits the steps that are due; a trainer has at most two open.
func (m *poolSim) submitSteps(now time.Time) {
	for i, trainer := range m.Trainers {
		if now.Before(m.nextStepAt[i]) || len(m.openSteps[i]) > 1 {
			continue
		}
		spec, lengths := m.newJob(i, trainer, now)
		job := m.scheduler.Add(spec, nil, now)
		m.scheduler.SetPriority(job, trainer.Priority)
		for n, task := range job.Tasks {
			m.lengths[task] = lengths[n]
			m.result.Needed += lengths[n]
		}
		m.openSteps[i] = append(m.openSteps[i], poolStep{job, now})
		m.nextStepAt[i] = now.Add(m.StepInterval)
		m.result.Submitted++
		m.changed = true
	}
}

// newJob draws a step's job and the lengths of its tasks. A hint is the length
// times a log-normal error with median 1.
func (m *poolSim) newJob(trainer int, t PoolTrainer, now time.Time) (*quetzalpier.Job, []float64) {
	m.stepNumbers[trainer]++
	job := &quetzalpier.Job{
		ID: fmt.Sprintf("t%d-%02d", trainer, m.stepNumbers[trainer]), Model: fmt.Sprint("m", trainer), WantGroups: countOf(0.9, t.Groups), MaxAttempts: 3,
		SubmittedAt: now, DueAt: now.Add(m.Deadline), ExpiresAt: now.Add(time.Minute),
	}
	lengths := make([]float64, t.Groups*t.GroupSize)
	for i := range lengths {
		lengths[i] = math.Min(t.MaxEvents, math.Max(1, math.Round(t.MeanEvents*math.Exp(lengthSigma*m.rnd.NormFloat64()-lengthSigma*lengthSigma/2))))
		hint := lengths[i] * math.Exp(hintSigma*m.rnd.NormFloat64())
		task := quetzalpier.Task{
			ID: fmt.Sprintf("%s-%03d", job.ID, i), Group: fmt.Sprint("g", i/t.GroupSize), LengthHint: max(1, int(hint*tasks.EventTokens)),
		}
		if m.PromptTokens > 0 {
			task.Prompt = []quetzalpier.PromptPart{{ID: job.ID + task.Group, Tokens: m.PromptTokens}}
		}
		if t.RewardEvery > 0 && i%t.RewardEvery == 0 {
			task.Reward = &quetzalpier.Reward{ID: task.ID}
		}
		job.Tasks = append(job.Tasks, task)
	}
	return job, lengths
}

// startRuns starts the planned runs. If move is set, it first stops stuck runs, so
// that their tasks are planned on another engine.
func (m *poolSim) startRuns(now time.Time, move bool) {
	if now.Before(m.pausedUntil) {
		return
	}
	if move && m.policy.Move {
		for _, task := range m.scheduler.TasksToMove(m.engines, now) {
			if !m.policy.Resume {
				task.Text = tasks.Text{}
			}
			m.result.Moved++
			m.stopRun(task, now)
		}
	}
	if !m.changed && !move {
		return
	}
	m.changed = false
	for _, launch := range m.scheduler.PlanWith(m.policy.Heuristics, m.engines, now) {
		generated := launch.Task.Text.Events.Len()
		m.reportNoise(launch.Engine, now)
		m.prefill(launch)
		m.runs = append(m.runs, &poolRun{task: launch.Task, events: float64(generated), recorded: generated})
	}
}

// advanceRuns generates the events of one tick.
func (m *poolSim) advanceRuns(now time.Time, since time.Duration) {
	slow := countOf(m.SlowShare, m.Engines)
	eventTimes := map[string]time.Duration{}
	byID := map[string]*tasks.Engine{}
	for i, e := range m.engines {
		eventTime := float64(m.EventTime) * (1 + m.RunOverhead*float64(e.Running)) * m.speeds[i] * m.noise[i]
		if m.SlowShare > 0 && i < slow && since >= m.SlowAt && since < m.SlowAt+m.SlowFor {
			eventTime *= m.SlowFactor
		}
		eventTimes[e.VM.ID], byID[e.VM.ID] = time.Duration(eventTime), e
	}
	for _, r := range slices.Clone(m.runs) {
		task := r.task
		eventTime := eventTimes[task.Engine]
		r.events += float64(poolTick) / float64(eventTime)
		m.result.Generated += float64(poolTick) / float64(eventTime)
		for ; r.recorded < int(r.events); r.recorded++ {
			task.Text.Add("e", 1)
			task.LastEventAt = now
			byID[task.Engine].ObserveEvent(eventTime, now)
		}
		if r.events >= m.lengths[task] {
			m.stopRun(task, now)
			m.scheduler.Complete(task, now)
			if task.Phase == tasks.Scoring {
				m.scoring = append(m.scoring, scoredTask{task, now.Add(rewardTime)})
			}
		}
	}
	for len(m.scoring) > 0 && !now.Before(m.scoring[0].scoredAt) {
		m.scheduler.Finish(m.scoring[0].task, "score", now)
		m.scoring = m.scoring[1:]
	}
}

// closeSteps ends the steps that have as many groups as their trainer wants, and
// those past stepTimeout.
func (m *poolSim) closeSteps(now time.Time) {
	for i := range m.Trainers {
		var remaining []poolStep
		for _, step := range m.openSteps[i] {
			took := now.Sub(step.submittedAt)
			if !step.job.Satisfied() && took < stepTimeout {
				remaining = append(remaining, step)
				continue
			}
			m.result.StepTimes = append(m.result.StepTimes, took)
			m.ended[i]++
			if took <= m.Deadline {
				m.inTime[i]++
			}
			for _, task := range m.scheduler.End(step.job.Spec.ID, now) {
				m.stopRun(task, now)
			}
		}
		m.openSteps[i] = remaining
	}
}

// PoolRow summarizes a pattern under a policy over all seeds.
type PoolRow struct {
	Pool   string `json:"pool"`
	Policy string `json:"ways"`
	// Step50 and Step99 are quantiles of the step times in seconds.
	Step50 float64 `json:"step50"`
	Step99 float64 `json:"step99"`
	// Late is the share of the steps that took longer than their deadline.
	Late float64 `json:"late"`
	// Submitted counts the submitted steps. Work is the number of generated events
	// as a multiple of the needed ones.
	Submitted int     `json:"asked"`
	Work      float64 `json:"work"`
}

// PoolPolicies are naive, ours with one decision made naively, and ours.
var PoolPolicies = []struct {
	Name   string
	Policy PoolPolicy
}{
	{"naive", PoolPolicy{}},
	{"no-order", PoolPolicy{tasks.Heuristics{Place: true, Reuse: true, Share: true}, true, true}},
	{"no-place", PoolPolicy{tasks.Heuristics{Order: true, Share: true}, true, true}},
	{"no-move", PoolPolicy{tasks.Heuristics{Order: true, Place: true, Reuse: true, Share: true}, false, true}},
	{"no-resume", PoolPolicy{tasks.Heuristics{Order: true, Place: true, Reuse: true, Share: true}, true, false}},
	{"ours", PoolPolicy{tasks.Heuristics{Order: true, Place: true, Reuse: true, Share: true}, true, true}},
}

// RunPools runs every pattern under every policy, once per seed from 1 to the value
// of seeds. All policies use the same seeds, so their runs can be compared in
// pairs.
func RunPools(seeds, workers int) []PoolRow {
	rows := make([]PoolRow, len(Pools())*len(PoolPolicies))
	workerPool := pool.New().WithMaxGoroutines(workers)
	for i, p := range Pools() {
		for j, named := range PoolPolicies {
			workerPool.Go(func() { rows[i*len(PoolPolicies)+j] = poolRow(p, named.Name, named.Policy, seeds) })
		}
	}
	workerPool.Wait()
	return rows
}

func poolRow(p Pool, name string, policy PoolPolicy, seeds int) PoolRow {
	row := PoolRow{Pool: p.Name, Policy: name}
	var steps []float64
	late, events, needed := 0, 0.0, 0.0
	for seed := range seeds {
		r := RunPool(p, policy, uint64(seed+1))
		for _, took := range r.StepTimes {
			steps = append(steps, took.Seconds())
			if took > p.Deadline {
				late++
			}
		}
		row.Submitted += r.Submitted
		events += r.Generated
		needed += r.Needed
	}
	row.Step50, row.Step99 = quantile(steps, 0.5), quantile(steps, 0.99)
	row.Late = float64(late) / float64(max(1, len(steps)))
	row.Work = events / needed
	return row
}

// PrintPools writes the rows as a table.
func PrintPools(w io.Writer, rows []PoolRow) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := fmt.Fprintln(table, "pool\tways\tstep p50 s\tp99 s\tlate\tsteps\twork"); err != nil {
		return errors.Wrap(err, "print table")
	}
	for _, r := range rows {
		if _, err := fmt.Fprintf(table, "%s\t%s\t%.2f\t%.2f\t%.3f\t%d\t%.3f\n", r.Pool, r.Policy, r.Step50, r.Step99, r.Late, r.Submitted, r.Work); err != nil {
			return errors.Wrap(err, "print table")
		}
	}
	return errors.Wrap(table.Flush(), "print table")
}
