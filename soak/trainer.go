package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"quetzalpier"
	"quetzalpier/platform"
	"quetzalpier/sleep"
)

const (
	groupsPerJob = 4
	tasksPerJob  = 12
	// callTime bounds one call, and submitTime and readTime a step's.
	callTime   = 4 * time.Second
	submitTime = 15 * time.Second
	readTime   = 25 * time.Second
	pollPause  = 150 * time.Millisecond
	stepPause  = 400 * time.Millisecond
)

// Ledger is what a run has seen, and the promises that it found broken.
type Ledger struct {
	mu     sync.Mutex
	jobs   map[string]*seenJob
	Broken []string
	// Steps counts the whole steps and Late those that were not whole in time;
	// Views and Failed count plain requests.
	Steps  int
	Late   int
	Views  int
	Failed int
	// Cut counts requests that were sent whole on an open connection which then
	// ended without an answer.
	Cut int
}

type seenJob struct {
	job      quetzalpier.Job
	accepted bool
	// promised tells that every attempt to submit was answered with a promise
	// that nothing runs.
	promised bool
	results  []quetzalpier.Result
}

func newLedger() *Ledger { return &Ledger{jobs: map[string]*seenJob{}} }

// breach notes a broken promise.
func (l *Ledger) breach(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Broken = append(l.Broken, fmt.Sprintf(format, args...))
}

// trainer submits a step after the other and checks what it reads.
type trainer struct {
	rig    *Rig
	ledger *Ledger
	rnd    *rand.Rand
	client *http.Client
}

func newTrainer(r *Rig, l *Ledger, seed uint64) *trainer {
	return &trainer{
		rig: r, ledger: l, rnd: rand.New(rand.NewPCG(seed, 1)),
		client: &http.Client{Timeout: callTime, Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

// run submits steps until ctx ends.
func (t *trainer) run(ctx context.Context) {
	for step := 0; ctx.Err() == nil; step++ {
		if err := t.rig.Name(quetzalpier.Version(step + 2)); err != nil {
			t.ledger.breach("version %d not named: %v", step+2, err)
			return
		}
		job := t.job(step)
		if t.submit(ctx, job) {
			t.follow(ctx, job)
		}
		sleep.For(ctx, stepPause)
	}
}

// job draws a step's tasks: most are short and a few many times as long.
func (t *trainer) job(step int) quetzalpier.Job {
	job := quetzalpier.Job{
		ID: fmt.Sprintf("job%d%08x", step, t.rnd.Uint32()), Step: step, Model: modelName,
		MinVersion: quetzalpier.Version(max(1, step)), WantGroups: groupsPerJob,
	}
	for i := range tasksPerJob {
		id := fmt.Sprintf("t%02d%s", i, job.ID)
		length := 3 + t.rnd.IntN(12)
		if t.rnd.IntN(8) == 0 {
			length *= 5
		}
		job.Tasks = append(job.Tasks, quetzalpier.Task{
			ID: id, Group: fmt.Sprintf("g%d", i%groupsPerJob), Path: batchPath + id, MaxTokens: 100,
			Headers: map[string]string{platform.HeaderModel: modelName}, Body: []byte(strconv.Itoa(length)),
			Reward: quetzalpier.Reward{ID: "r" + id, Host: Host, Path: scorePath + id, Body: []byte("score")},
		})
	}
	return job
}

func (t *trainer) front() string {
	return t.rig.Fronts[t.rnd.IntN(len(t.rig.Fronts))].Settings.Front
}

func (t *trainer) call(method, path string, header map[string]string, body []byte) (int, []byte) {
	req, err := http.NewRequest(method, "http://"+t.front()+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Host = Host
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := t.client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, data
}

// submit tries until the job is accepted; false if the time is over.
func (t *trainer) submit(ctx context.Context, job quetzalpier.Job) bool {
	body, err := platform.EncodeJob(job)
	if err != nil {
		t.ledger.breach("job not encoded: %v", err)
		return false
	}
	seen := &seenJob{job: job, promised: true}
	t.ledger.mu.Lock()
	t.ledger.jobs[job.ID] = seen
	t.ledger.mu.Unlock()
	for end := time.Now().Add(submitTime); time.Now().Before(end) && ctx.Err() == nil; {
		status, text := t.call(http.MethodPost, batchPath+job.ID, map[string]string{platform.HeaderAttempt: job.ID}, body)
		t.ledger.mu.Lock()
		seen.accepted = seen.accepted || status == http.StatusAccepted
		seen.promised = seen.promised && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests)
		t.ledger.mu.Unlock()
		if status == http.StatusAccepted {
			return true
		}
		if status >= 400 && status < 500 && status != http.StatusTooManyRequests {
			t.ledger.breach("job %s refused with %d: %s", job.ID, status, text)
			return false
		}
		sleep.For(ctx, pollPause)
	}
	return false
}

// follow reads the results as they come, and ends the job when it is whole or
// too late.
func (t *trainer) follow(ctx context.Context, job quetzalpier.Job) {
	whole := false
	for end := time.Now().Add(readTime); !whole && time.Now().Before(end) && ctx.Err() == nil; {
		whole = t.read(job.ID) == len(job.Tasks)
		sleep.For(ctx, pollPause)
	}
	t.ledger.mu.Lock()
	if whole {
		t.ledger.Steps++
	} else {
		t.ledger.Late++
	}
	t.ledger.mu.Unlock()
	t.call(http.MethodDelete, platform.PathJobs+job.ID, nil, nil)
}

// read reads from a random position that was read before, and checks what
// comes. It returns how many results are known.
func (t *trainer) read(id string) int {
	t.ledger.mu.Lock()
	seen := t.ledger.jobs[id]
	known := len(seen.results)
	t.ledger.mu.Unlock()
	after := known
	if known > 0 && t.rnd.IntN(3) == 0 {
		after = t.rnd.IntN(known)
	}
	path := platform.PathJobs + id + "?after=" + strconv.Itoa(after)
	status, data := t.call(http.MethodGet, path, map[string]string{platform.HeaderWait: "500"}, nil)
	if status == http.StatusNotFound || status == http.StatusGone {
		t.ledger.breach("accepted job %s is answered %d", id, status)
	}
	if status != http.StatusOK {
		return known
	}
	total, _, results, err := platform.DecodeResults(data)
	if err != nil || total != len(seen.job.Tasks) {
		t.ledger.breach("job %s read with total %d: %v", id, total, err)
		return known
	}
	if after < known && len(results) == 0 {
		t.ledger.breach("job %s had %d results and has none at %d", id, known, after)
	}
	return t.ledger.take(seen, after, results)
}

// take checks results against what was seen before.
func (l *Ledger) take(seen *seenJob, after int, results []quetzalpier.Result) int {
	for i, result := range results {
		l.mu.Lock()
		known := seen.results
		l.mu.Unlock()
		at := after + i
		switch {
		case at < len(known):
			if known[at].ID != result.ID || known[at].Text != result.Text || known[at].Done != result.Done {
				l.breach("job %s has %s at %d, where %s stood", seen.job.ID, result.ID, at, known[at].ID)
			}
			continue
		case at > len(known):
			l.breach("job %s skips position %d", seen.job.ID, len(known))
			return len(known)
		}
		l.check(seen, known, result)
		l.mu.Lock()
		seen.results = append(seen.results, result)
		l.mu.Unlock()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(seen.results)
}

// check holds one new result to the promises.
func (l *Ledger) check(seen *seenJob, known []quetzalpier.Result, result quetzalpier.Result) {
	for at, other := range known {
		if other.ID == result.ID {
			l.breach("job %s has %s at %d and at %d", seen.job.ID, result.ID, at, len(known))
		}
	}
	task, ok := seen.job.FindTask(result.ID)
	if !ok {
		l.breach("job %s lists %s, which is not its own", seen.job.ID, result.ID)
		return
	}
	if !result.Done {
		l.breach("task %s was given up", result.ID)
		return
	}
	if want := wholeText(task); result.Text != want {
		l.breach("task %s has %d bytes of text, not %d", result.ID, len(result.Text), len(want))
	}
	if !strings.HasSuffix(result.Score, "."+task.Reward.ID) {
		l.breach("task %s has the score %q", result.ID, result.Score)
	}
	if len(result.Versions) == 0 {
		l.breach("task %s names no version", result.ID)
	}
	for _, version := range result.Versions {
		if version < seen.job.MinVersion {
			l.breach("task %s was made by version %d, below %d", result.ID, version, seen.job.MinVersion)
		}
	}
}

func wholeText(task *quetzalpier.Task) string {
	length, _ := strconv.Atoi(string(task.Body))
	events := make([]string, 0, length)
	for i := 1; i <= length; i++ {
		events = append(events, fmt.Sprintf("%s-%d", task.ID, i))
	}
	return strings.Join(events, "\n")
}

// viewer makes plain requests on kept connections.
func (t *trainer) views(ctx context.Context) {
	client := &http.Client{Timeout: callTime}
	for n := 0; sleep.For(ctx, pollPause); n++ {
		id := fmt.Sprintf("view%d", n)
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+t.front()+viewPath+id, strings.NewReader("view"))
		if err != nil {
			continue
		}
		req.Host = Host
		req.Header.Set(platform.HeaderAttempt, id)
		req.Header.Set(platform.HeaderDeadline, "1500")
		resp, err := client.Do(req)
		ok := false
		cut := err != nil && (errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET))
		if err == nil {
			data, readErr := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			ok = readErr == nil && resp.StatusCode == http.StatusOK
			if ok && string(data) != "served "+id {
				t.ledger.breach("request %s got the answer %q", id, data)
			}
		}
		t.ledger.mu.Lock()
		t.ledger.Views++
		if !ok {
			t.ledger.Failed++
		}
		if cut {
			t.ledger.Cut++
		}
		t.ledger.mu.Unlock()
	}
}
