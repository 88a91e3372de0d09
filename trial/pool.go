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

// Pool is a pattern of load on a pool whose trainers submit a step every few
// seconds, all of its tasks at once. Weights are not part of it.
type Pool struct {
	Name    string
	Engines int
	Slots   int
	// Event is the time of an event on an engine with one run; each further run
	// adds Crowd of it.
	Event time.Duration
	Crowd float64
	// Trainers submit a step every Every, of which Due is the time that counts.
	Trainers []PoolTrainer
	Every    time.Duration
	Due      time.Duration
	Steps    int
	// Slow engines, a share of all, take SlowBy times as long from SlowAt on for
	// SlowFor.
	Slow    float64
	SlowBy  float64
	SlowAt  time.Duration
	SlowFor time.Duration
	// Crash is the share of the engines that is gone at CrashAt, for CrashFor.
	Crash    float64
	CrashAt  time.Duration
	CrashFor time.Duration
	// OwnerLost is when all runs are cut, to begin again after Takeover; zero
	// for never.
	OwnerLost time.Duration
	Takeover  time.Duration
}

// PoolTrainer is one trainer of a pool: its steps have Groups of Size tasks with
// Mean events on average and Most at most.
type PoolTrainer struct {
	Groups, Size int
	Mean, Most   float64
}

// PoolWays are the decisions that are made; the others are made naively.
type PoolWays struct {
	tasks.Heuristics
	// Move takes runs away from slow and silent engines.
	Move bool
	// Resume goes on behind the last event that a run made, or for a lost owner
	// behind the last one that was saved, instead of beginning again.
	Resume bool
}

const (
	// poolTick is the step of virtual time, a third of the shortest event.
	poolTick = 10 * time.Millisecond
	// poolLook is the time between two looks at stuck runs, as in the runner.
	poolLook = 50 * time.Millisecond
	// savedBehind is how much of a run is not saved when its owner is lost: the
	// runner saves every 0.6 s.
	savedBehind = 600 * time.Millisecond
	// lengthSpread is the standard deviation of a length's logarithm, and
	// hintSpread that of a hint's, as in the logs of played days.
	lengthSpread = 1.0
	hintSpread   = 0.6
	// stepLimit is when a trainer gives a step up.
	stepLimit = 12 * time.Second
)

// Pools returns the patterns at the sizes of the users' sites. Takeover is the
// life of an owner's lease and some reading.
func Pools() []Pool {
	small := Pool{
		Engines: 9, Slots: 8, Event: 30 * time.Millisecond, Crowd: 0.02, Every: 4 * time.Second, Due: 8 * time.Second, Steps: 9, Takeover: 1400 * time.Millisecond,
		Trainers: []PoolTrainer{{13, 4, 14, 73}, {8, 8, 28, 179}},
	}
	grown := Pool{
		Engines: 36, Slots: 6, Event: 40 * time.Millisecond, Crowd: 0.02, Every: 4 * time.Second, Due: 7500 * time.Millisecond, Steps: 9, Takeover: 1400 * time.Millisecond,
		Trainers: []PoolTrainer{{12, 8, 9, 66}, {7, 16, 18, 133}, {8, 16, 19, 135}, {14, 8, 9, 66}},
	}
	return append(patterns("grown", grown), patterns("small", small)...)
}

// patterns returns what may happen to a pool of one size.
func patterns(name string, base Pool) []Pool {
	calm, crash, owner, slow := base, base, base, base
	calm.Name = name + "/calm"
	crash.Name, crash.Crash, crash.CrashAt, crash.CrashFor = name+"/crash", 0.2, 14*time.Second, 4*time.Second
	owner.Name, owner.OwnerLost = name+"/owner", 15*time.Second
	slow.Name, slow.Slow, slow.SlowBy, slow.SlowAt, slow.SlowFor = name+"/slow", 0.2, 3.5, 9*time.Second, 8*time.Second
	return []Pool{calm, crash, owner, slow}
}

// PoolResult is what one run gave: the time of each step, and how many were
// submitted.
type PoolResult struct {
	Steps []time.Duration
	Asked int
	// Events counts what the engines made, Needed what the tasks have.
	Events, Needed float64
}

type poolRun struct {
	task *tasks.Task
	made float64
	// noted is how many events the engine's pace and the text have taken in.
	noted int
}

type poolStep struct {
	job   *tasks.Job
	asked time.Time
}

type poolSim struct {
	Pool
	ways    PoolWays
	rnd     *rand.Rand
	book    *tasks.Scheduler
	engines []*tasks.Engine
	// runs are in the order of their begin.
	runs    []*poolRun
	lengths map[*tasks.Task]float64
	// next is when each trainer submits its next step, and open its steps.
	next   []time.Time
	number []int
	open   map[int][]poolStep
	paused time.Time
	// changed tells that a plan may find something new to do.
	changed bool
	result  PoolResult
}

// RunPool plays a pattern in virtual time; the same seed draws the same lengths
// and hints for all ways.
func RunPool(p Pool, ways PoolWays, seed uint64) PoolResult {
	start := time.Unix(0, 0)
	m := &poolSim{
		Pool: p, ways: ways, rnd: rand.New(rand.NewPCG(seed, 1)), book: tasks.NewScheduler(),
		lengths: map[*tasks.Task]float64{}, open: map[int][]poolStep{},
		next: make([]time.Time, len(p.Trainers)), number: make([]int, len(p.Trainers)),
	}
	for i := range p.Engines {
		m.engines = append(m.engines, &tasks.Engine{
			VM:       quetzalpier.VM{ID: fmt.Sprintf("e%02d", i), State: quetzalpier.VMLive, Slots: p.Slots},
			Versions: map[string]quetzalpier.Version{},
		})
	}
	for i := range m.next {
		m.next[i] = start
	}
	end := start.Add(time.Duration(p.Steps) * p.Every)
	for now := start; now.Before(end); now = now.Add(poolTick) {
		m.faults(now, now.Sub(start))
		m.submit(now)
		m.plan(now, now.Sub(start)%poolLook == 0)
		m.work(now, now.Sub(start))
		m.collect(now)
	}
	return m.result
}

func (m *poolSim) faults(now time.Time, since time.Duration) {
	if m.Crash > 0 && since == m.CrashAt {
		for _, e := range m.engines[:share(m.Crash, m.Engines)] {
			e.VM.State = quetzalpier.VMLeaving
			m.drop(func(r *poolRun) bool { return r.task.Engine == e.VM.ID }, 0, now)
		}
	}
	if m.Crash > 0 && since == m.CrashAt+m.CrashFor {
		for _, e := range m.engines {
			e.VM.State = quetzalpier.VMLive
		}
	}
	if m.OwnerLost > 0 && since == m.OwnerLost {
		m.paused = now.Add(m.Takeover)
		m.drop(func(*poolRun) bool { return true }, savedBehind, now)
	}
}

func share(part float64, n int) int { return int(math.Ceil(part * float64(n))) }

// drop ends runs; what they made in the last time behind is lost.
func (m *poolSim) drop(which func(*poolRun) bool, behind time.Duration, now time.Time) {
	for _, r := range slices.Clone(m.runs) {
		if !which(r) {
			continue
		}
		kept := max(0, int(r.made-float64(behind)/float64(m.Event)))
		if !m.ways.Resume {
			kept = 0
		}
		r.task.Text.Events = r.task.Text.Events[:min(kept, len(r.task.Text.Events))]
		m.stop(r.task, now)
	}
}

// stop ends a task's run, if it has one; the task waits again.
func (m *poolSim) stop(task *tasks.Task, now time.Time) {
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

// submit asks the steps that are due; a trainer has two open at most.
func (m *poolSim) submit(now time.Time) {
	for i, trainer := range m.Trainers {
		if now.Before(m.next[i]) || len(m.open[i]) > 1 {
			continue
		}
		spec, lengths := m.draw(i, trainer, now)
		job := m.book.Add(spec, nil, now)
		for n, task := range job.Tasks {
			m.lengths[task] = lengths[n]
			m.result.Needed += lengths[n]
		}
		m.open[i] = append(m.open[i], poolStep{job, now})
		m.next[i] = now.Add(m.Every)
		m.result.Asked++
		m.changed = true
	}
}

// draw makes a step's job, whose hints are right at the median and often off.
func (m *poolSim) draw(trainer int, t PoolTrainer, now time.Time) (*quetzalpier.Job, []float64) {
	m.number[trainer]++
	job := &quetzalpier.Job{
		ID: fmt.Sprintf("t%d-%02d", trainer, m.number[trainer]), Model: fmt.Sprint("m", trainer), WantGroups: share(0.9, t.Groups), MaxAttempts: 3,
		SubmittedAt: now, DueAt: now.Add(m.Due), ExpiresAt: now.Add(time.Minute),
	}
	lengths := make([]float64, t.Groups*t.Size)
	for i := range lengths {
		lengths[i] = math.Min(t.Most, math.Max(1, math.Round(t.Mean*math.Exp(lengthSpread*m.rnd.NormFloat64()-lengthSpread*lengthSpread/2))))
		hint := lengths[i] * math.Exp(hintSpread*m.rnd.NormFloat64())
		job.Tasks = append(job.Tasks, quetzalpier.Task{
			ID: fmt.Sprintf("%s-%03d", job.ID, i), Group: fmt.Sprint("g", i/t.Size), LengthHint: max(1, int(hint*tasks.EventTokens)),
		})
	}
	return job, lengths
}

// plan begins runs, and moves those that are stuck when it is time to look.
func (m *poolSim) plan(now time.Time, look bool) {
	if now.Before(m.paused) {
		return
	}
	if look && m.ways.Move {
		for _, task := range m.book.TasksToMove(m.engines, now) {
			if !m.ways.Resume {
				task.Text = tasks.Text{}
			}
			m.stop(task, now)
		}
	}
	if !m.changed && !look {
		return
	}
	m.changed = false
	for _, launch := range m.book.PlanWith(m.ways.Heuristics, m.engines, now) {
		made := len(launch.Task.Text.Events)
		m.runs = append(m.runs, &poolRun{task: launch.Task, made: float64(made), noted: made})
	}
}

// work lets the engines make events for a tick.
func (m *poolSim) work(now time.Time, since time.Duration) {
	slow := share(m.Slow, m.Engines)
	paces := map[string]time.Duration{}
	byID := map[string]*tasks.Engine{}
	for i, e := range m.engines {
		pace := float64(m.Event) * (1 + m.Crowd*float64(e.Running))
		if m.Slow > 0 && i < slow && since >= m.SlowAt && since < m.SlowAt+m.SlowFor {
			pace *= m.SlowBy
		}
		paces[e.VM.ID], byID[e.VM.ID] = time.Duration(pace), e
	}
	for _, r := range slices.Clone(m.runs) {
		task := r.task
		pace := paces[task.Engine]
		r.made += float64(poolTick) / float64(pace)
		m.result.Events += float64(poolTick) / float64(pace)
		for ; r.noted < int(r.made); r.noted++ {
			task.Text.Add("e", 1)
			task.LastEventAt = now
			byID[task.Engine].ObserveEvent(pace)
		}
		if r.made >= m.lengths[task] {
			m.stop(task, now)
			m.book.Finish(task, "", now)
		}
	}
}

// collect ends the steps of which the trainers have what they wait for, or that
// they give up.
func (m *poolSim) collect(now time.Time) {
	for i := range m.Trainers {
		var left []poolStep
		for _, step := range m.open[i] {
			took := now.Sub(step.asked)
			if !step.job.Satisfied() && took < stepLimit {
				left = append(left, step)
				continue
			}
			m.result.Steps = append(m.result.Steps, took)
			for _, task := range m.book.End(step.job.Spec.ID, now) {
				m.stop(task, now)
			}
		}
		m.open[i] = left
	}
}

// PoolRow is a pattern under some ways, over all seeds.
type PoolRow struct {
	Pool string `json:"pool"`
	Ways string `json:"ways"`
	// Step50 and Step99 are quantiles of the steps' times in seconds.
	Step50 float64 `json:"step50"`
	Step99 float64 `json:"step99"`
	// Late is the share of the steps that were not whole in time.
	Late float64 `json:"late"`
	// Asked counts the steps that the trainers came to, and Work is what the
	// engines made as a multiple of what was needed.
	Asked int     `json:"asked"`
	Work  float64 `json:"work"`
}

// NamedPoolWays are ours, ours with one decision made naively, and naive.
var NamedPoolWays = []struct {
	Name string
	Ways PoolWays
}{
	{"naive", PoolWays{}},
	{"no-order", PoolWays{tasks.Heuristics{Place: true}, true, true}},
	{"no-place", PoolWays{tasks.Heuristics{Order: true}, true, true}},
	{"no-move", PoolWays{tasks.Heuristics{Order: true, Place: true}, false, true}},
	{"no-resume", PoolWays{tasks.Heuristics{Order: true, Place: true}, true, false}},
	{"ours", PoolWays{tasks.Heuristics{Order: true, Place: true}, true, true}},
}

// PoolTable plays all patterns under all ways with seeds 1 to n, paired.
func PoolTable(seeds, workers int) []PoolRow {
	rows := make([]PoolRow, len(Pools())*len(NamedPoolWays))
	played := pool.New().WithMaxGoroutines(workers)
	for i, p := range Pools() {
		for j, ways := range NamedPoolWays {
			played.Go(func() { rows[i*len(NamedPoolWays)+j] = playPool(p, ways.Name, ways.Ways, seeds) })
		}
	}
	played.Wait()
	return rows
}

func playPool(p Pool, name string, ways PoolWays, seeds int) PoolRow {
	row := PoolRow{Pool: p.Name, Ways: name}
	var steps []float64
	late, events, needed := 0, 0.0, 0.0
	for seed := range seeds {
		r := RunPool(p, ways, uint64(seed+1))
		for _, took := range r.Steps {
			steps = append(steps, took.Seconds())
			if took > p.Due {
				late++
			}
		}
		row.Asked += r.Asked
		events += r.Events
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
		if _, err := fmt.Fprintf(table, "%s\t%s\t%.2f\t%.2f\t%.3f\t%d\t%.3f\n", r.Pool, r.Ways, r.Step50, r.Step99, r.Late, r.Asked, r.Work); err != nil {
			return errors.Wrap(err, "print table")
		}
	}
	return errors.Wrap(table.Flush(), "print table")
}
