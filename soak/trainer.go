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
	tasksPerJob   = 12
	tasksPerGroup = 3
	// callTimeout limits one HTTP call; submitTimeout and readTimeout limit the
	// attempts to submit a step and to read its results.
	callTimeout   = 4 * time.Second
	submitTimeout = 15 * time.Second
	readTimeout   = 25 * time.Second
	pollInterval  = 150 * time.Millisecond
	stepPause     = 400 * time.Millisecond
	// minVersionLag is by how much the oldest version that may generate the tokens of
	// a job is below the newest one.
	minVersionLag = 2
	// The sizes of the prompts make the stored jobs take several pages of a range.
	minPromptBytes = 1 << 10
	maxPromptBytes = 12 << 10
	// rewardPrefix and the ID of a task are the ID of its reward call.
	rewardPrefix = "r"
)

// Ledger records what the callers of a run observed and which guarantees of the
// service were broken.
type Ledger struct {
	mu         sync.Mutex
	jobs       map[string]*jobRecord
	Violations []string
	// Steps counts the steps whose results were complete in time, and LateSteps
	// the others, but for those that the end of the run cut off. Requests counts plain requests, and FailedRequests those
	// without a complete response with status 200.
	Steps          int
	LateSteps      int
	Requests       int
	FailedRequests int
	// EndedJobs counts the jobs whose end was acknowledged, and ExcusedRuns the runs
	// and reward calls that began too late after it, sent by nodes that were not in
	// touch.
	EndedJobs   int
	ExcusedRuns int
	// PartitionedTries counts the single tries at fronts that were in touch and partitioned
	// from the upstreams, and PartitionedServed those of them that were served.
	PartitionedTries, PartitionedServed int
	// Streams counts the clients' streams.
	Streams StreamCounts
	// Lookups counts the answers to lookups that were checked.
	Lookups int
	// CutRequests counts plain requests that were sent on an open connection, which
	// was then closed or reset without a response.
	CutRequests int
	// Received counts the requests that workers got and that were compared with those sent.
	Received int
	// UnrepeatedEnds counts the ends that were sent once, and LostEnds those of them that
	// reached no front for certain.
	UnrepeatedEnds, LostEnds int
	// Followed counts the fronts that followed the change after odd entries.
	Followed int
	// KeptServed counts the requests over kept connections that were served around planned stops.
	KeptServed int
	// CrowdClients counts the clients of crowds, and PeakMemory is the largest part of its memory
	// that a node used.
	CrowdClients int
	PeakMemory   float64
	// Moves counts the moves of the batch route. stepsRequired makes a late step a violation.
	Moves         int
	stepsRequired bool
	// PeakWarnings is the largest number of warnings and errors that one process
	// logged in a second.
	PeakWarnings int
}

type jobRecord struct {
	job      quetzalpier.Job
	accepted bool
	// onlyRefused reports whether every attempt to submit was refused with a
	// status that guarantees that nothing runs.
	onlyRefused bool
	results     []quetzalpier.Result
	submittedAt time.Time
	// endSent is set before the end is sent; endedAt is when it was acknowledged, or counts
	// as acknowledged.
	endSent bool
	endedAt time.Time
	// firstEndAt is when an end was first sent that a front may have read.
	firstEndAt time.Time
}

func (l *Ledger) recordLookup() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Lookups++
}

func newLedger() *Ledger { return &Ledger{jobs: map[string]*jobRecord{}} }

// recordViolation adds a broken guarantee.
func (l *Ledger) recordViolation(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Violations = append(l.Violations, fmt.Sprintf(format, args...))
}

// trainer submits steps one after another and checks the results that it reads.
type trainer struct {
	rig    *Rig
	ledger *Ledger
	rnd    *rand.Rand
	// sizes draws the sizes of the bodies.
	sizes  *rand.Rand
	client *http.Client
}

func newTrainer(r *Rig, l *Ledger, seed uint64) *trainer {
	return &trainer{
		rig: r, ledger: l, rnd: rand.New(rand.NewPCG(seed, 1)), sizes: rand.New(rand.NewPCG(seed, 6)),
		client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

// run submits steps until ctx ends.
func (t *trainer) run(ctx context.Context) {
	for step := 0; ctx.Err() == nil; step++ {
		if err := t.rig.WriteVersion(quetzalpier.Version(step + 2)); err != nil {
			t.ledger.recordViolation("version %d not named: %v", step+2, err)
			return
		}
		job := t.newJob(step, tasksPerJob, t.drawLength)
		if t.submit(ctx, job) {
			t.pollResults(ctx, job)
		}
		sleep.For(ctx, stepPause)
	}
}

// drawLength returns a number of events: most are small, about one in eight is five
// times as large.
func (t *trainer) drawLength() int {
	length := 3 + t.rnd.IntN(12)
	if t.rnd.IntN(8) == 0 {
		length *= 5
	}
	return length
}

// newJob returns a job with tasks of random lengths.
func (t *trainer) newJob(step, taskCount int, drawLength func() int) quetzalpier.Job {
	groups := taskCount / tasksPerGroup
	job := quetzalpier.Job{
		ID: fmt.Sprintf("job%d%08x", step, t.rnd.Uint32()), Step: step, Model: modelName,
		MinVersion: max(minVersionLag+1, quetzalpier.Version(t.rig.version.Load())) - minVersionLag, WantGroups: groups,
	}
	for i := range taskCount {
		id := fmt.Sprintf("t%02d%s", i, job.ID)
		job.Tasks = append(job.Tasks, quetzalpier.Task{
			ID: id, Group: fmt.Sprintf("g%d%s", i%groups, job.ID), Path: batchPath + id, MaxTokens: 100,
			Headers: map[string]string{platform.HeaderModel: modelName}, Body: t.body(drawLength()),
			Reward: reward(step, i, id),
		})
	}
	return job
}

// body returns the body of a task with the given number of events.
func (t *trainer) body(length int) []byte {
	prompt := make([]byte, minPromptBytes+t.sizes.IntN(maxPromptBytes-minPromptBytes))
	for i := range prompt {
		prompt[i] = 'a' + byte(t.sizes.IntN(26))
	}
	return append([]byte(strconv.Itoa(length)+" "), prompt...)
}

// reward returns the reward of the task at an index of a step. The steps take turns:
// every task has a reward, none has, every second one has.
func reward(step, index int, id string) *quetzalpier.Reward {
	if step%3 == 1 || (step%3 == 2 && index%2 == 1) {
		return nil
	}
	return &quetzalpier.Reward{ID: rewardPrefix + id, Host: Host, Path: scorePath + id, Body: []byte("score")}
}

func (t *trainer) randomFront() string {
	return t.rig.Fronts[t.rnd.IntN(len(t.rig.Fronts))].Settings.Front
}

func (t *trainer) call(method, path string, header map[string]string, body []byte) (int, []byte) {
	status, data, _ := t.callAt(t.randomFront(), method, path, header, body)
	return status, data
}

// callAt calls a front; the status is zero without a whole answer.
func (t *trainer) callAt(front, method, path string, header map[string]string, body []byte) (int, []byte, error) {
	req, err := http.NewRequest(method, "http://"+front+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Host = Host
	for name, value := range header {
		req.Header.Set(name, value)
	}
	t.rig.authorize(req)
	resp, err := t.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil, err
	}
	return resp.StatusCode, data, nil
}

// submit retries until the job is accepted. It returns false after submitTimeout
// or when the job is refused as invalid.
func (t *trainer) submit(ctx context.Context, job quetzalpier.Job) bool {
	body, err := platform.EncodeJob(job)
	if err != nil {
		t.ledger.recordViolation("job not encoded: %v", err)
		return false
	}
	t.rig.recordSentJob(job)
	record := &jobRecord{job: job, onlyRefused: true, submittedAt: time.Now()}
	t.ledger.mu.Lock()
	t.ledger.jobs[job.ID] = record
	t.ledger.mu.Unlock()
	for end := time.Now().Add(submitTimeout); time.Now().Before(end) && ctx.Err() == nil; {
		status, responseBody := t.post(job.ID, body)
		t.ledger.mu.Lock()
		record.accepted = record.accepted || status == http.StatusAccepted
		record.onlyRefused = record.onlyRefused && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests)
		t.ledger.mu.Unlock()
		if status == http.StatusAccepted {
			return true
		}
		if refusesForGood(status) {
			t.ledger.recordViolation("job %s refused with %d: %s", job.ID, status, responseBody)
			return false
		}
		sleep.For(ctx, pollInterval)
	}
	return false
}

// post sends an encoded job through a random front.
func (t *trainer) post(id string, body []byte) (status int, responseBody []byte) {
	return t.call(http.MethodPost, batchPath+id, map[string]string{platform.HeaderAttempt: id}, body)
}

// refusesForGood reports whether a status refuses a call as invalid.
func refusesForGood(status int) bool {
	return status >= 400 && status < 500 && status != http.StatusTooManyRequests
}

// pollResults polls the results until they are complete or readTimeout is over,
// then deletes the job.
func (t *trainer) pollResults(ctx context.Context, job quetzalpier.Job) {
	complete := false
	for end := time.Now().Add(readTimeout); !complete && time.Now().Before(end) && ctx.Err() == nil; {
		complete = t.readResults(job.ID) == len(job.Tasks)
		sleep.For(ctx, pollInterval)
	}
	t.ledger.mu.Lock()
	switch {
	case complete:
		t.ledger.Steps++
	case ctx.Err() == nil:
		t.ledger.LateSteps++
		if known := len(t.ledger.jobs[job.ID].results); t.ledger.stepsRequired {
			t.ledger.Violations = append(t.ledger.Violations, fmt.Sprintf("accepted job %s has %d of %d results after %s", job.ID, known, len(job.Tasks), readTimeout))
		}
	}
	t.ledger.mu.Unlock()
	t.end(ctx, job.ID)
}

// readResults reads from the end of the known results or, at random, from an
// earlier position, and checks what it gets. It returns the number of known
// results.
func (t *trainer) readResults(id string) int {
	t.ledger.mu.Lock()
	record := t.ledger.jobs[id]
	known := len(record.results)
	t.ledger.mu.Unlock()
	after := known
	if known > 0 && t.rnd.IntN(3) == 0 {
		after = t.rnd.IntN(known)
	}
	path := platform.PathJobs + id + "?after=" + strconv.Itoa(after)
	status, data := t.call(http.MethodGet, path, map[string]string{platform.HeaderWait: "500"}, nil)
	if status == http.StatusNotFound || status == http.StatusGone {
		t.ledger.recordViolation("accepted job %s is answered %d", id, status)
	}
	if status != http.StatusOK {
		return known
	}
	total, _, results, err := platform.DecodeResults(data)
	if err != nil || total != len(record.job.Tasks) {
		t.ledger.recordViolation("job %s read with total %d: %v", id, total, err)
		return known
	}
	if after < known && len(results) == 0 {
		t.ledger.recordViolation("job %s had %d results and has none at %d", id, known, after)
	}
	return t.ledger.addResults(record, after, results)
}

// addResults compares results with those read before, adds the new ones and
// returns the number of known results.
func (l *Ledger) addResults(record *jobRecord, after int, results []quetzalpier.Result) int {
	for i, result := range results {
		l.mu.Lock()
		known := record.results
		l.mu.Unlock()
		position := after + i
		switch {
		case position < len(known):
			if known[position].ID != result.ID || known[position].Text != result.Text || known[position].Done != result.Done {
				l.recordViolation("job %s has %s at %d, where %s stood", record.job.ID, result.ID, position, known[position].ID)
			}
			continue
		case position > len(known):
			l.recordViolation("job %s skips position %d", record.job.ID, len(known))
			return len(known)
		}
		l.checkResult(record, known, result)
		l.mu.Lock()
		record.results = append(record.results, result)
		l.mu.Unlock()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(record.results)
}

// checkResult checks the guarantees for a new result.
func (l *Ledger) checkResult(record *jobRecord, known []quetzalpier.Result, result quetzalpier.Result) {
	for position, earlier := range known {
		if earlier.ID == result.ID {
			l.recordViolation("job %s has %s at %d and at %d", record.job.ID, result.ID, position, len(known))
		}
	}
	task, ok := record.job.FindTask(result.ID)
	if !ok {
		l.recordViolation("job %s lists %s, which is not its own", record.job.ID, result.ID)
		return
	}
	if !result.Done {
		l.mu.Lock()
		defer l.mu.Unlock()
		if record.endSent {
			return
		}
		l.Violations = append(l.Violations, fmt.Sprintf("task %s was given up", result.ID))
		return
	}
	if !hasExpectedText(task, result.Text) {
		l.recordViolation("task %s has the text %q", result.ID, result.Text)
	}
	if !hasExpectedScore(task, result) {
		l.recordViolation("task %s has the score %q", result.ID, result.Score)
	}
	if len(result.Versions) == 0 {
		l.recordViolation("task %s names no version", result.ID)
	}
	for _, version := range result.Versions {
		if version < record.job.MinVersion {
			l.recordViolation("task %s was made by version %d, below %d", result.ID, version, record.job.MinVersion)
		}
	}
}

func hasExpectedScore(task *quetzalpier.Task, result quetzalpier.Result) bool {
	if task.Reward == nil {
		return result.Score == ""
	}
	return strings.HasSuffix(result.Score, "."+task.Reward.ID)
}

// hasExpectedText reports whether a text has all events of a task, each once and in
// order, whichever runs made them.
func hasExpectedText(task *quetzalpier.Task, text string) bool {
	first, _, _ := strings.Cut(string(task.Body), " ")
	length, _ := strconv.Atoi(first)
	events := strings.Split(text, "\n")
	for i, event := range events {
		if !strings.HasPrefix(event, fmt.Sprintf("%s-%d.", task.ID, i+1)) {
			return false
		}
	}
	return len(events) == length
}

// sendRequests sends plain requests over keep-alive connections until ctx ends.
func (t *trainer) sendRequests(ctx context.Context) {
	client := &http.Client{Timeout: callTimeout}
	for n := 0; sleep.For(ctx, pollInterval); n++ {
		id := fmt.Sprintf("view%d", n)
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+t.randomFront()+viewPath+id, strings.NewReader("view"))
		if err != nil {
			continue
		}
		t.sendView(client, req, id)
	}
}

// sendView sends a plain request, and checks that a success is the whole answer to it.
func (t *trainer) sendView(client *http.Client, req *http.Request, id string) {
	req.Host = Host
	req.Header.Set(platform.HeaderAttempt, id)
	req.Header.Set(platform.HeaderDeadline, "1500")
	t.rig.authorize(req)
	t.rig.recordSent(req)
	resp, err := client.Do(req)
	ok := false
	cut := err != nil && (errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET))
	if err == nil {
		data, readErr := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		success := resp.StatusCode >= 200 && resp.StatusCode < 300
		ok = readErr == nil && resp.StatusCode == http.StatusOK
		if readErr == nil && success && string(data) != "served "+id {
			t.ledger.recordViolation("request %s got the answer %q with status %d", id, data, resp.StatusCode)
		}
	}
	t.ledger.mu.Lock()
	defer t.ledger.mu.Unlock()
	t.ledger.Requests++
	if !ok {
		t.ledger.FailedRequests++
	}
	if cut {
		t.ledger.CutRequests++
	}
}
