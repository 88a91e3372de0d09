package quetzalpier

import (
	"fmt"
	"time"
)

// Job is a trainer's batch of tasks for one step.
type Job struct {
	ID string `json:"id"`
	// Route is the name of the batch route that accepted the job, and Host its
	// host.
	Route string `json:"route"`
	Host  string `json:"host"`
	Pool  string `json:"pool"`
	Step  int    `json:"step"`
	Model string `json:"model"`
	// Floor is the oldest weight version that may generate tokens of the job.
	Floor Version `json:"floor"`
	// Want is the number of complete groups that the trainer waits for.
	Want  int    `json:"want"`
	Tasks []Task `json:"tasks"`
	// Put is when the job was submitted.
	Put time.Time `json:"put"`
	// Due is when the last result is due, and Expires when unfinished tasks may be
	// abandoned.
	Due     time.Time `json:"due"`
	Expires time.Time `json:"expires"`
	// Attempts limits the failed runs of a task. Single requires that a task is
	// generated with one weight version.
	Attempts int  `json:"attempts"`
	Single   bool `json:"single,omitempty"`
}

// Task is one generation of a job.
type Task struct {
	ID      string            `json:"id"`
	Group   string            `json:"group"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	// Tokens is the maximum memory that the task needs on an engine, in tokens.
	Tokens int `json:"tokens"`
	// Hint is the expected number of generated tokens; zero if unknown.
	Hint   int    `json:"hint"`
	Reward Reward `json:"reward"`
}

// Reward is the call to the scoring service for a task's text.
type Reward struct {
	ID   string `json:"id"`
	Host string `json:"host"`
	Path string `json:"path"`
	Body []byte `json:"body"`
}

// Result is the final state of a task.
type Result struct {
	ID string `json:"id"`
	// Done states that Text is complete; otherwise the task was abandoned.
	Done     bool      `json:"done"`
	Text     string    `json:"text"`
	Versions []Version `json:"versions"`
	Score    string    `json:"score"`
}

// Check validates the job and returns the first error.
func (j *Job) Check() error {
	if j.ID == "" {
		return &FieldError{"id", "must not be empty"}
	}
	if j.Model == "" {
		return &FieldError{"model", "must not be empty"}
	}
	if len(j.Tasks) == 0 {
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

// Find returns the task with the given ID.
func (j *Job) Find(id string) (*Task, bool) {
	for i := range j.Tasks {
		if j.Tasks[i].ID == id {
			return &j.Tasks[i], true
		}
	}
	return nil, false
}
