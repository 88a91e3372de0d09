package trial

import (
	"time"

	"quetzalpier"
	"quetzalpier/model"
)

// Caller is a modelled caller of a model.
type Caller struct {
	Name     string
	Class    quetzalpier.Class
	Tokens   int
	Prompt   int
	Prefixes int
	// Rate is requests a second at a time since the start.
	Rate func(since time.Duration) float64
}

// Trainer is a modelled trainer.
type Trainer struct {
	Name          string
	Groups, Count int
	Tokens        int
	Prompt        int
	Bound         uint64
	// Learn is how long it learns from a step.
	Learn time.Duration
	// Every is the time between its versions if it publishes by its own clock;
	// zero for one that publishes after each step.
	Every time.Duration
	// Feeds tells that the engines load its versions.
	Feeds bool
}

// Fault happens at a time since the start.
type Fault struct {
	At time.Duration
	Do func(*sim)
}

// Scenario is what a run meets.
type Scenario struct {
	Name     string
	Engines  int
	Gates    int
	Params   model.Params
	Swap     time.Duration
	Serving  float64
	Length   time.Duration
	Callers  []Caller
	Trainers []Trainer
	Faults   []Fault
}

// Deployments of the brief. The engines' step times are assumed; the figures
// were cut off in what the users sent.
func deployment(name string) Scenario {
	s := Scenario{
		Engines: 9, Gates: 3, Swap: 3 * time.Second, Serving: 0.5, Length: 15 * time.Minute,
		Params: model.Params{Base: 40 * time.Millisecond, PerSeq: 600 * time.Microsecond, PerPrompt: 100 * time.Microsecond, Slots: 32, Cache: 48, Stride: 4},
	}
	if name == "hraunmot" {
		s.Callers = []Caller{
			{"quote", quetzalpier.ClassInteractive, 48, 400, 12, steady(6)},
			{"lookup", quetzalpier.ClassInternal, 16, 200, 30, steady(3)},
		}
		s.Trainers = []Trainer{{Name: "moulds", Groups: 64, Count: 8, Tokens: 1024, Prompt: 600, Bound: 1, Learn: 20 * time.Second, Feeds: true}}
		return s
	}
	s.Callers = []Caller{
		{"status", quetzalpier.ClassInteractive, 24, 300, 40, steady(12)},
		{"billing", quetzalpier.ClassInternal, 16, 200, 30, steady(3)},
	}
	s.Trainers = []Trainer{
		{Name: "edits", Groups: 48, Count: 8, Tokens: 768, Prompt: 800, Bound: 1, Learn: 5 * time.Second, Every: 60 * time.Second, Feeds: true},
		{Name: "second", Groups: 48, Count: 8, Tokens: 768, Prompt: 800, Bound: 4, Learn: 5 * time.Second, Every: 120 * time.Second},
	}
	return s
}

func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// peak is three times the rate from the third to the ninth minute.
func peak(rate float64) func(time.Duration) float64 {
	return func(since time.Duration) float64 {
		if since > 3*time.Minute && since < 9*time.Minute {
			return 3 * rate
		}
		return rate
	}
}

// names of the scenarios, in the order of the tables.
var names = []string{"calm", "peak", "slow", "frozen", "crash", "swaps", "domain", "tails", "greedy"}

// Names returns the scenarios' names.
func Names() []string { return append([]string(nil), names...) }

// Deployments returns the deployments' names.
func Deployments() []string { return []string{"hraunmot", "redline"} }

// Make returns a scenario of a deployment.
func Make(place, name string) Scenario {
	s := deployment(place)
	s.Name = place + "/" + name
	switch name {
	case "peak":
		for i := range s.Callers {
			s.Callers[i].Rate = peak(s.Callers[i].Rate(0))
		}
	case "slow":
		s.Faults = []Fault{{time.Minute, func(m *sim) { m.engines[0].batch.Params.Slow = 5 }}}
	case "frozen":
		s.Faults = []Fault{
			{2 * time.Minute, func(m *sim) { m.engines[0].freeze(true) }},
			{6 * time.Minute, func(m *sim) { m.engines[0].freeze(false) }},
		}
	case "crash":
		s.Faults = []Fault{{3 * time.Minute, crashSome(3)}, {8 * time.Minute, crashSome(3)}}
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
		s.Faults = []Fault{{time.Minute, func(m *sim) { m.engines[1].batch.Params.Slow = 3 }}}
	case "greedy":
		s.Callers = append(s.Callers, Caller{"greedy", quetzalpier.ClassInternal, 200, 600, 400, steady(25)})
	}
	return s
}

func crashSome(n int) func(*sim) {
	return func(m *sim) {
		for _, e := range m.engines[:n] {
			e.crash()
		}
	}
}

// failSwaps makes the next swap of a third of the engines fail halfway.
func failSwaps(m *sim) {
	for i := 0; i < len(m.engines); i += 3 {
		m.engines[i].failNext = 1
	}
}
