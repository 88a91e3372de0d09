package stand

import (
	"context"
	"fmt"
	"sort"
	"time"

	"github.com/pkg/errors"

	"quetzalpier"
	"quetzalpier/train"
)

// TrainerOptions configure a trainer run.
type TrainerOptions struct {
	Name   string
	Nodes  []string
	Pool   string
	Steps  int
	Groups int
	// GroupSize is the number of samples in a group, and Tokens the maximum length of
	// a sample.
	GroupSize int
	Tokens    int
	// MaxAge is the maximum age of a sample, in weight versions.
	MaxAge uint64
	// LearnDuration is the time that the trainer spends on a step's samples before
	// it publishes new weights.
	LearnDuration time.Duration
	// FirstStep is the number of the first step, and Version the initial weight
	// version.
	FirstStep uint64
	Version   quetzalpier.Version
}

// TrainerResult is the result of a trainer run, as counted by the trainer.
type TrainerResult struct {
	Trainer    string `json:"trainer"`
	Steps      int    `json:"steps"`
	Samples    int    `json:"samples"`
	Expected   int    `json:"wanted"`
	Duplicates int    `json:"doubled"`
	Stale      int    `json:"stale"`
	// BadSpans is the number of samples without tokens or with spans that don't cover
	// them, and Wrong that of samples with the wrong group or text.
	BadSpans int `json:"unnamed"`
	Wrong    int `json:"wrong"`
	// Idle is the time that the trainer waited for samples, in seconds.
	Idle      float64                     `json:"idle"`
	StepTime  []float64                   `json:"steptime"`
	Ages      map[uint64]int              `json:"ages"`
	Versions  map[quetzalpier.Version]int `json:"versions"`
	Retries   int                         `json:"retries"`
	ErrorText string                      `json:"fault,omitempty"`
}

// pullWait is the maximum time that a pull waits for the first sample.
const pullWait = 2 * time.Second

// RunTrainer runs a trainer until its last step or first error and returns the
// result.
func RunTrainer(ctx context.Context, o TrainerOptions) TrainerResult {
	client := train.New(o.Name, o.Nodes)
	client.Version = max(1, o.Version)
	client.MaxAge = o.MaxAge
	result := TrainerResult{Trainer: o.Name, Ages: map[uint64]int{}, Versions: map[quetzalpier.Version]int{}}
	for i := range o.Steps {
		if err := trainStep(ctx, client, o, o.FirstStep+uint64(i), &result); err != nil {
			result.ErrorText = err.Error()
			break
		}
		result.Steps++
	}
	result.Retries = client.Retries
	return result
}

func trainStep(ctx context.Context, client *train.Client, o TrainerOptions, number uint64, result *TrainerResult) error {
	s := makeStep(o, number)
	start := time.Now()
	if err := client.OpenStep(ctx, s); err != nil {
		return err
	}
	seen := map[int]bool{}
	result.Expected += s.Samples()
	for client.Remaining() > 0 {
		samples, remaining, err := client.Pull(ctx, pullWait)
		if err == nil && ctx.Err() != nil {
			err = errors.Wrapf(ctx.Err(), "step %d lacks %d samples", number, remaining)
		}
		if err != nil {
			return err
		}
		for _, sample := range samples {
			result.addSample(s, sample, seen, client)
		}
	}
	waited := time.Since(start).Seconds()
	result.Idle += waited
	result.StepTime = append(result.StepTime, waited)
	if err := client.CloseStep(ctx); err != nil {
		return err
	}
	time.Sleep(o.LearnDuration)
	return client.Publish(ctx, o.Pool, client.Version+1)
}

func makeStep(o TrainerOptions, number uint64) quetzalpier.Step {
	s := quetzalpier.Step{Number: number, Pool: o.Pool}
	for g := range o.Groups {
		s.Groups = append(s.Groups, quetzalpier.Group{
			ID: fmt.Sprintf("g%d", g), Prompt: fmt.Sprintf("%s step %d group %d", o.Name, number, g),
			Count: o.GroupSize, Tokens: o.Tokens,
		})
	}
	return s
}

func (t *TrainerResult) addSample(s quetzalpier.Step, sample quetzalpier.Sample, seen map[int]bool, client *train.Client) {
	t.Samples++
	if seen[sample.Index] {
		t.Duplicates++
	}
	seen[sample.Index] = true
	age, _ := sample.Age(client.Version)
	t.Ages[age]++
	if age > client.MaxAge {
		t.Stale++
	}
	if sample.Spans.Validate(sample.Tokens) != nil || sample.Tokens == 0 {
		t.BadSpans++
	}
	for _, span := range sample.Spans {
		t.Versions[span.Version]++
	}
	group := s.Groups[groupIndex(s, sample.Index)]
	if sample.Group != group.ID || sample.Text != OutputText(group.Prompt, 0, OutputLength(group.Prompt, int64(sample.Index), group.Tokens)) {
		t.Wrong++
	}
}

func groupIndex(s quetzalpier.Step, index int) int {
	ends := make([]int, len(s.Groups))
	total := 0
	for g, group := range s.Groups {
		total += group.Count
		ends[g] = total
	}
	return sort.SearchInts(ends, index+1)
}
