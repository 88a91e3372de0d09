package quetzalpier

import (
	"encoding/json"
	"fmt"
	"math/bits"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Version is a model's weight version; newer weights have a higher number.
type Version uint64

// Span records the version that generated the tokens [From, To) of a sample.
type Span struct {
	Version Version `json:"version"`
	From    int     `json:"from"`
	To      int     `json:"to"`
}

// Spans lists a sample's spans in token order.
type Spans []Span

// Validate returns an error unless the spans cover the given number of tokens
// exactly, without gaps or overlaps.
func (s Spans) Validate(tokens int) error {
	next := 0
	for i, span := range s {
		if span.From != next || span.To <= span.From {
			return &FieldError{fmt.Sprintf("spans[%d]", i), fmt.Sprintf("must start at token %d and not be empty", next)}
		}
		next = span.To
	}
	if next != tokens {
		return &FieldError{"spans", fmt.Sprintf("cover %d of %d tokens", next, tokens)}
	}
	return nil
}

// Oldest returns the lowest version of the spans, or false if there are none.
func (s Spans) Oldest() (Version, bool) {
	if len(s) == 0 {
		return 0, false
	}
	oldest := s[0].Version
	for _, span := range s[1:] {
		oldest = min(oldest, span.Version)
	}
	return oldest, true
}

// Append adds tokens that version generated. It extends the last span if that
// has the same version.
func (s Spans) Append(version Version, tokens int) Spans {
	if tokens <= 0 {
		return s
	}
	from := 0
	if n := len(s); n > 0 {
		from = s[n-1].To
		if s[n-1].Version == version {
			s[n-1].To += tokens
			return s
		}
	}
	return append(s, Span{Version: version, From: from, To: from + tokens})
}

// Sample is one finished rollout.
type Sample struct {
	Index        int     `json:"index"`
	Group        string  `json:"group"`
	Text         string  `json:"text"`
	Tokens       int     `json:"tokens"`
	Spans        Spans   `json:"spans"`
	FinishReason string  `json:"finish"`
	Reward       float64 `json:"reward,omitempty"`
}

// Age returns how many versions the sample's oldest span is behind current. It
// returns false for a sample without spans, which must not be delivered.
func (s Sample) Age(current Version) (uint64, bool) {
	oldest, ok := s.Spans.Oldest()
	if !ok {
		return 0, false
	}
	if oldest >= current {
		return 0, true
	}
	return uint64(current - oldest), true
}

// Fresh reports whether the sample may be delivered to a trainer that is at
// version current and accepts samples up to bound versions old.
func (s Sample) Fresh(current Version, bound uint64) bool {
	age, ok := s.Age(current)
	return ok && age <= bound
}

// UnmarshalJSON decodes a sample and validates its index and spans.
func (s *Sample) UnmarshalJSON(data []byte) error {
	type bare Sample
	if err := json.Unmarshal(data, (*bare)(s)); err != nil {
		return err
	}
	if s.Index < 0 {
		return &FieldError{"index", "must not be negative"}
	}
	return s.Spans.Validate(s.Tokens)
}

// Limits of a step: its samples, and the tokens of each of them.
const (
	MaxSamples = 16384
	MaxTokens  = 1 << 20
)

// Group is a prompt that is sampled Count times, with at most Tokens tokens per
// sample.
type Group struct {
	ID     string `json:"id"`
	Prompt string `json:"prompt"`
	Count  int    `json:"count"`
	Tokens int    `json:"tokens"`
}

// Step is the set of samples that a trainer needs next.
type Step struct {
	Trainer string  `json:"trainer"`
	Number  uint64  `json:"number"`
	Pool    string  `json:"pool"`
	MaxAge  uint64  `json:"bound"`
	Version Version `json:"version"`
	Groups  []Group `json:"groups"`
}

// Samples returns the number of samples that the step requests.
func (s Step) Samples() int {
	total := 0
	for _, g := range s.Groups {
		total += g.Count
	}
	return total
}

// Key returns the key of the step, which is unique across trainers.
func (s Step) Key() StepKey { return StepKey{s.Trainer, s.Number} }

// Hash returns a hash of the step's content. It leaves out the version, because
// a trainer that submits a step again may have published a newer one.
func (s Step) Hash() uint64 {
	s.Version = 0
	data, _ := json.Marshal(s)
	return xxhash.Sum64(data)
}

// StepKey identifies a step across trainers.
type StepKey struct {
	Trainer string
	Number  uint64
}

// String returns "trainer/number".
func (k StepKey) String() string { return k.Trainer + "/" + strconv.FormatUint(k.Number, 10) }

// UnmarshalJSON decodes and validates a step.
func (s *Step) UnmarshalJSON(data []byte) error {
	type bare Step
	if err := json.Unmarshal(data, (*bare)(s)); err != nil {
		return err
	}
	return s.Validate()
}

// Validate validates the step and returns the first error found.
func (s Step) Validate() error {
	if s.Pool == "" {
		return &FieldError{"pool", "must not be empty"}
	}
	if len(s.Groups) == 0 {
		return &FieldError{"groups", "must not be empty"}
	}
	total := 0
	for i, g := range s.Groups {
		if g.Count < 1 || g.Count > MaxSamples {
			return &FieldError{fmt.Sprintf("groups[%d].count", i), fmt.Sprintf("must be 1 to %d", MaxSamples)}
		}
		if g.Tokens < 1 || g.Tokens > MaxTokens {
			return &FieldError{fmt.Sprintf("groups[%d].tokens", i), fmt.Sprintf("must be 1 to %d", MaxTokens)}
		}
		total += g.Count
	}
	if total > MaxSamples {
		return &FieldError{"groups", fmt.Sprintf("ask for %d samples, at most %d", total, MaxSamples)}
	}
	return nil
}

// Bitmap is a set of sample indexes with one bit for each index.
type Bitmap []byte

// Has reports whether index i is in the set.
func (b Bitmap) Has(i int) bool { return i>>3 < len(b) && b[i>>3]&(1<<(i&7)) != 0 }

// Set returns the set with index i added.
func (b Bitmap) Set(i int) Bitmap {
	for i>>3 >= len(b) {
		b = append(b, 0)
	}
	b[i>>3] |= 1 << (i & 7)
	return b
}

// Count returns the number of indexes in the set.
func (b Bitmap) Count() int {
	total := 0
	for _, octet := range b {
		total += bits.OnesCount8(octet)
	}
	return total
}

// Pull requests finished samples of a step. Have is the set of samples that the
// trainer already has, and Version the weight version that it published last.
// Both take precedence over the service's own records.
type Pull struct {
	Have    Bitmap  `json:"have"`
	Version Version `json:"version"`
	// MaxAge, if set, overrides the step's MaxAge.
	MaxAge *uint64 `json:"bound,omitempty"`
	// WaitMillis is the maximum wait for the first sample, in milliseconds.
	WaitMillis int64 `json:"wait"`
	MaxSamples int   `json:"max,omitempty"`
}

// MaxPullWaitMillis is the maximum wait of a pull, in milliseconds.
const MaxPullWaitMillis = 60_000

// UnmarshalJSON decodes and validates a pull.
func (p *Pull) UnmarshalJSON(data []byte) error {
	type bare Pull
	if err := json.Unmarshal(data, (*bare)(p)); err != nil {
		return err
	}
	if p.WaitMillis < 0 || p.WaitMillis > MaxPullWaitMillis {
		return &FieldError{"wait", fmt.Sprintf("must be 0 to %d", MaxPullWaitMillis)}
	}
	if len(p.Have) > MaxSamples/8 {
		return &FieldError{"have", fmt.Sprintf("must have at most %d bytes", MaxSamples/8)}
	}
	if p.MaxSamples < 0 {
		return &FieldError{"max", "must not be negative"}
	}
	return nil
}

// Batch is the response to a pull. Version is the version that the samples' ages
// were computed against; Remaining is the number of samples of the step that the
// trainer lacks and that the batch does not contain.
type Batch struct {
	Samples   []Sample `json:"samples"`
	Version   Version  `json:"version"`
	Remaining int      `json:"left"`
}

// Publish announces a new version of a pool's weights.
type Publish struct {
	Pool    string  `json:"pool"`
	Version Version `json:"version"`
}

// UnmarshalJSON decodes and validates a publication.
func (p *Publish) UnmarshalJSON(data []byte) error {
	type bare Publish
	if err := json.Unmarshal(data, (*bare)(p)); err != nil {
		return err
	}
	if p.Pool == "" {
		return &FieldError{"pool", "must not be empty"}
	}
	if p.Version == 0 {
		return &FieldError{"version", "must be at least 1"}
	}
	return nil
}
