package trial

import (
	"time"

	"quetzalpier"
	"quetzalpier/model"
)

// Caller is a modelled caller that sends completion requests to the pool.
type Caller struct {
	Name     string
	Class    quetzalpier.Class
	Tokens   int
	Prompt   int
	Prefixes int
	// Rate returns the requests per second at a time since the start.
	Rate func(since time.Duration) float64
}

// Trainer is a modelled trainer, which requests the samples of one step at a time.
type Trainer struct {
	Name          string
	Groups, Count int
	Tokens        int
	Prompt        int
	MaxAge        uint64
	// LearnTime is how long it trains on a step.
	LearnTime time.Duration
	// PublishInterval is the time between published versions if it publishes
	// periodically; zero if it publishes after each step.
	PublishInterval time.Duration
	// UpdatesEngines reports whether the engines load its versions.
	UpdatesEngines bool
}

// Fault is a fault that Do injects when At has passed since the start.
type Fault struct {
	At time.Duration
	Do func(*sim)
}

// Scenario describes the engines, load and faults of a run.
type Scenario struct {
	Name       string
	Engines    int
	Gates      int
	Params     model.Params
	SwapTime   time.Duration
	MinServing float64
	Duration   time.Duration
	Callers    []Caller
	Trainers   []Trainer
	Faults     []Fault
}

// The load patterns: one trainer with large steps, and two trainers that publish
// versions periodically, each beside two callers.
const (
	LoadSingle = "single"
	LoadDouble = "double"
)

// baseScenario returns the scenario of a load pattern, without faults. The engines'
// step times are assumed, as the users' figures for them are missing.
func baseScenario(load string) Scenario {
	s := Scenario{
		Engines: 9, Gates: 3, SwapTime: 3 * time.Second, MinServing: 0.5, Duration: 15 * time.Minute,
		Params: model.Params{BaseTime: 40 * time.Millisecond, PerSeq: 600 * time.Microsecond, PerPrompt: 100 * time.Microsecond, Slots: 32, CacheSize: 48, TokensPerStep: 4},
	}
	if load == LoadSingle {
		s.Callers = []Caller{
			{"quote", quetzalpier.ClassInteractive, 48, 400, 12, constantRate(6)},
			{"lookup", quetzalpier.ClassInternal, 16, 200, 30, constantRate(3)},
		}
		s.Trainers = []Trainer{{Name: "moulds", Groups: 64, Count: 8, Tokens: 1024, Prompt: 600, MaxAge: 1, LearnTime: 20 * time.Second, UpdatesEngines: true}}
		return s
	}
	s.Callers = []Caller{
		{"status", quetzalpier.ClassInteractive, 24, 300, 40, constantRate(12)},
		{"billing", quetzalpier.ClassInternal, 16, 200, 30, constantRate(3)},
	}
	s.Trainers = []Trainer{
		{Name: "edits", Groups: 48, Count: 8, Tokens: 768, Prompt: 800, MaxAge: 1, LearnTime: 5 * time.Second, PublishInterval: 60 * time.Second, UpdatesEngines: true},
		{Name: "second", Groups: 48, Count: 8, Tokens: 768, Prompt: 800, MaxAge: 4, LearnTime: 5 * time.Second, PublishInterval: 120 * time.Second},
	}
	return s
}

func constantRate(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// peakRate triples the rate from the third to the ninth minute.
func peakRate(rate float64) func(time.Duration) float64 {
	return func(since time.Duration) float64 {
		if since > 3*time.Minute && since < 9*time.Minute {
			return 3 * rate
		}
		return rate
	}
}

// scenarioNames are in the order of the printed tables.
var scenarioNames = []string{"calm", "peak", "slow", "frozen", "crash", "swaps", "domain", "tails", "greedy"}

// ScenarioNames returns the scenarios' names.
func ScenarioNames() []string { return append([]string(nil), scenarioNames...) }

// NewScenario returns the named scenario under a load pattern.
func NewScenario(load, name string) Scenario {
	s := baseScenario(load)
	s.Name = load + "/" + name
	switch name {
	case "peak":
		for i := range s.Callers {
			s.Callers[i].Rate = peakRate(s.Callers[i].Rate(0))
		}
	case "slow":
		s.Faults = []Fault{{time.Minute, func(m *sim) { m.engines[0].batch.Params.SlowFactor = 5 }}}
	case "frozen":
		s.Faults = []Fault{
			{2 * time.Minute, func(m *sim) { m.engines[0].freeze(true) }},
			{6 * time.Minute, func(m *sim) { m.engines[0].freeze(false) }},
		}
	case "crash":
		s.Faults = []Fault{{3 * time.Minute, crashFirst(3)}, {8 * time.Minute, crashFirst(3)}}
	case "swaps":
		for minute := time.Duration(1); minute < 15; minute++ {
			s.Faults = append(s.Faults, Fault{minute * time.Minute, failSwaps})
		}
	case "domain":
		s.Faults = []Fault{{4 * time.Minute, func(m *sim) {
			for i, e := range m.engines {
				if domainOf(i) == "d0" {
					e.crash()
				}
			}
		}}}
	case "tails":
		for i := range s.Trainers {
			s.Trainers[i].Tokens *= 3
		}
		s.Faults = []Fault{{time.Minute, func(m *sim) { m.engines[1].batch.Params.SlowFactor = 3 }}}
	case "greedy":
		s.Callers = append(s.Callers, Caller{"greedy", quetzalpier.ClassInternal, 200, 600, 400, constantRate(25)})
	}
	return s
}

func crashFirst(n int) func(*sim) {
	return func(m *sim) {
		for _, e := range m.engines[:n] {
			e.crash()
		}
	}
}

// failSwaps makes the next weight swap of every third engine fail.
func failSwaps(m *sim) {
	for i := 0; i < len(m.engines); i += 3 {
		m.engines[i].swapsToFail = 1
	}
}
