package quetzalpier

import (
	"fmt"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"
)

// Job is a trainer's batch of tasks for one step.
type Job struct {
	ID string `json:"id"`
	// Route is the name of the batch route that accepted the job, and Host its
	// host.
	Route string `json:"route"`
	Host  string `json:"host"`
	// Customer is the name of the customer that submitted the job; empty if the
	// configuration had no customers.
	Customer string `json:"customer,omitempty"`
	Pool     string `json:"pool"`
	Step     int    `json:"step"`
	Model    string `json:"model"`
	// MinVersion is the oldest weight version that may generate tokens of the job.
	MinVersion Version `json:"floor"`
	// WantGroups is the number of complete groups that the trainer waits for.
	WantGroups int    `json:"want"`
	Tasks      []Task `json:"tasks"`
	// SubmittedAt is when a node received the job from the trainer.
	SubmittedAt time.Time `json:"put"`
	// DueAt is the time by which the last result should be ready. Tasks that are
	// unfinished at ExpiresAt may be dropped.
	DueAt     time.Time `json:"due"`
	ExpiresAt time.Time `json:"expires"`
	// MaxAttempts is the maximum number of failed runs of a task. SingleVersion
	// requires all tokens of a task to come from one weight version.
	MaxAttempts   int  `json:"attempts"`
	SingleVersion bool `json:"single,omitempty"`
	// Parts describes tasks that are stored apart from the job. They may not be loaded.
	Parts Parts `json:"-"`
}

// Parts describes the tasks of a job that is too large for one value of the key-value service;
// the zero value is that of any other job.
type Parts struct {
	// Count is the number of values, and Bytes their size together.
	Count, Bytes int
	// Digest is a hash of the values, and Tasks the number of tasks.
	Digest uint64
	Tasks  int
}

// Loaded reports whether the job has its tasks.
func (j *Job) Loaded() bool { return j.Parts.Count == 0 || len(j.Tasks) > 0 }

// TaskCount returns the number of tasks, which may not be loaded.
func (j *Job) TaskCount() int {
	if !j.Loaded() {
		return j.Parts.Tasks
	}
	return len(j.Tasks)
}

// TaskBytes returns the size of what makes the tasks of a job large.
func (j *Job) TaskBytes() int {
	bytes := 0
	for i := range j.Tasks {
		task := &j.Tasks[i]
		bytes += len(task.Body) + len(task.Path)
		if task.Reward != nil {
			bytes += len(task.Reward.Body)
		}
		for name, value := range task.Headers {
			bytes += len(name) + len(value)
		}
	}
	return bytes
}

// Task is one generation request of a job.
type Task struct {
	ID      string            `json:"id"`
	Group   string            `json:"group"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	// MaxTokens is the upper bound of the engine memory that the task uses, in
	// tokens.
	MaxTokens int `json:"tokens"`
	// LengthHint is the expected number of generated tokens; zero if unknown.
	LengthHint int `json:"hint"`
	// Prompt are the parts of the prompt that the task shares with others, in order. They
	// are decoded from the headers.
	Prompt []PromptPart `json:"-"`
	// Reward is the request that scores the generated text; nil if the text is not
	// scored.
	Reward *Reward `json:"reward,omitempty"`
}

// PromptPart is a part of a prompt. Tasks with the same ID have the same text there and
// before it.
type PromptPart struct {
	ID     string
	Tokens int
}

// Reward is the request that scores a task's generated text.
type Reward struct {
	ID   string `json:"id"`
	Host string `json:"host"`
	Path string `json:"path"`
	Body []byte `json:"body"`
}

// Result is the final state of a task.
type Result struct {
	ID string `json:"id"`
	// Done reports whether Text is complete; if false, the task failed or expired.
	Done     bool      `json:"done"`
	Text     string    `json:"text"`
	Versions []Version `json:"versions"`
	// Score is the stamp of the reward; empty for a task without a reward.
	Score string `json:"score,omitempty"`
}

// Process identifies the process of an upstream, which may start again under its ID.
type Process struct {
	VM          string
	Incarnation int64
}

// Partial is the part of a task's text that has been generated so far. Versions lists
// the weight versions of its events, Processes the engines that generated them, and
// Software is their software version; empty if unknown.
type Partial struct {
	Events    []string
	Versions  []Version
	Software  string
	Processes []Process
}

// OwnedBy reports whether a customer may read, end and submit the job. One without a
// customer belongs to all.
func (j *Job) OwnedBy(customer string) bool { return j.Customer == "" || j.Customer == customer }

// Validate validates the job and returns the first error found.
func (j *Job) Validate() error {
	if j.ID == "" {
		return &FieldError{"id", "must not be empty"}
	}
	if j.Model == "" {
		return &FieldError{"model", "must not be empty"}
	}
	if j.TaskCount() == 0 {
		return &FieldError{"tasks", "must not be empty"}
	}
	seen := make(map[string]bool, len(j.Tasks))
	for i, task := range j.Tasks {
		if task.ID == "" || seen[task.ID] {
			return &FieldError{fmt.Sprintf("tasks[%d].id", i), "must be given and stand once"}
		}
		seen[task.ID] = true
		if task.Path == "" || task.Path[0] != '/' {
			return &FieldError{fmt.Sprintf("tasks[%d].path", i), "must start with a slash"}
		}
	}
	return nil
}

const (
	// maxIDBytes is the maximum length of the ID of a new job or task: keys have at most 200
	// bytes, and that of a saved text holds both.
	maxIDBytes = 96
	// maxTaskTokens is the maximum of the tokens of a new task. Sums fit in an integer.
	maxTaskTokens = 1 << 30
)

// ValidateNew validates what is required of new jobs only, since a job that was accepted must
// stay readable, and returns the first error found. A reward's route may be configured later.
func (j *Job) ValidateNew() error {
	switch {
	case !isKeyID(j.ID) || strings.Contains(j.ID, "/"):
		return &FieldError{"id", fmt.Sprintf("must have at most %d bytes of printable text without slashes", maxIDBytes)}
	case j.WantGroups < 0:
		return &FieldError{"want", "must not be negative"}
	}
	for i, task := range j.Tasks {
		field := fmt.Sprintf("tasks[%d].", i)
		switch {
		case !isKeyID(task.ID):
			return &FieldError{field + "id", fmt.Sprintf("must have at most %d bytes of printable text", maxIDBytes)}
		case strings.ContainsFunc(task.Path, isSpaceOrControl):
			return &FieldError{field + "path", "must not contain spaces or control characters"}
		case task.MaxTokens < 0 || task.MaxTokens > maxTaskTokens:
			return &FieldError{field + "tokens", fmt.Sprintf("must be 0 to %d", maxTaskTokens)}
		}
	}
	return j.validateRewards()
}

func isKeyID(id string) bool {
	return len(id) <= maxIDBytes && utf8.ValidString(id) && !strings.ContainsFunc(id, unicode.IsControl)
}

func isSpaceOrControl(r rune) bool { return unicode.IsSpace(r) || unicode.IsControl(r) }

func (j *Job) validateRewards() error {
	for i, task := range j.Tasks {
		reward, field := task.Reward, fmt.Sprintf("tasks[%d].reward.", i)
		switch {
		case reward == nil:
		case reward.ID == "":
			return &FieldError{field + "id", "must not be empty"}
		case reward.Host == "":
			return &FieldError{field + "host", "must not be empty"}
		case reward.Path == "" || reward.Path[0] != '/':
			return &FieldError{field + "path", "must start with a slash"}
		}
	}
	return nil
}

// FindTask returns the task with the given ID.
func (j *Job) FindTask(id string) (*Task, bool) {
	for i := range j.Tasks {
		if j.Tasks[i].ID == id {
			return &j.Tasks[i], true
		}
	}
	return nil, false
}
