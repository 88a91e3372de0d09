package wire

import (
	"math"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"quetzalpier"
)

// EncodeJob encodes a job with its tasks.
func EncodeJob(job *quetzalpier.Job) ([]byte, error) {
	message := packHead(job)
	for i := range job.Tasks {
		message.Tasks = append(message.Tasks, packTask(&job.Tasks[i]))
	}
	data, err := proto.Marshal(message)
	return data, errors.Wrap(err, "encode job")
}

// EncodeHead encodes a job without its tasks, which are stored in parts.
func EncodeHead(job *quetzalpier.Job, parts quetzalpier.Parts) ([]byte, error) {
	message := packHead(job)
	message.Parts, message.Count = uint32(parts.Count), uint32(parts.Tasks)
	message.Digest, message.Bytes = parts.Digest, uint64(parts.Bytes)
	data, err := proto.Marshal(message)
	return data, errors.Wrap(err, "encode job")
}

// EncodeTasks encodes the tasks of a job one by one, so that no copy of all is needed. The
// encodings joined are those of a job with nothing else, and are the same each time.
func EncodeTasks(job *quetzalpier.Job, emit func(data []byte) error) error {
	options := proto.MarshalOptions{Deterministic: true}
	for i := range job.Tasks {
		data, err := options.Marshal(&Job{Tasks: []*Task{packTask(&job.Tasks[i])}})
		if err != nil {
			return errors.Wrapf(err, "encode task %q", job.Tasks[i].ID)
		}
		if err := emit(data); err != nil {
			return err
		}
	}
	return nil
}

func packHead(job *quetzalpier.Job) *Job {
	return &Job{
		Id: job.ID, Route: job.Route, Host: job.Host, Pool: job.Pool, Step: int64(job.Step), Model: job.Model,
		Floor: uint64(job.MinVersion), Want: int64(job.WantGroups), Put: job.SubmittedAt.UnixMilli(), Due: job.DueAt.UnixMilli(),
		Expires: job.ExpiresAt.UnixMilli(), Attempts: int64(job.MaxAttempts), Single: job.SingleVersion, Customer: job.Customer,
	}
}

func packTask(task *quetzalpier.Task) *Task {
	packed := &Task{
		Id: task.ID, Group: task.Group, Path: task.Path, Headers: task.Headers, Body: task.Body,
		Tokens: int64(task.MaxTokens), Hint: int64(task.LengthHint),
	}
	if reward := task.Reward; reward != nil {
		packed.Reward, packed.RewardHost, packed.RewardPath, packed.RewardBody = &reward.ID, reward.Host, reward.Path, reward.Body
	}
	return packed
}

// DecodeJob decodes and validates a job. Its tasks are not loaded if they are stored in parts.
func DecodeJob(data []byte) (*quetzalpier.Job, error) {
	message := &Job{}
	if err := proto.Unmarshal(data, message); err != nil {
		return nil, errors.Wrap(err, "decode job")
	}
	job := &quetzalpier.Job{
		ID: message.GetId(), Route: message.GetRoute(), Host: message.GetHost(), Pool: message.GetPool(),
		Step: int(message.GetStep()), Model: message.GetModel(), MinVersion: quetzalpier.Version(message.GetFloor()),
		WantGroups: int(message.GetWant()), SubmittedAt: time.UnixMilli(message.GetPut()), DueAt: time.UnixMilli(message.GetDue()),
		ExpiresAt: time.UnixMilli(message.GetExpires()), MaxAttempts: int(message.GetAttempts()), SingleVersion: message.GetSingle(),
		Customer: message.GetCustomer(), Parts: unpackParts(message), Tasks: unpackTasks(message),
	}
	return job, job.Validate()
}

// maxHeadBytes is more than the encoding of a job without tasks has.
const maxHeadBytes = 4 << 10

// DecodeParts returns how the tasks of an encoded job are stored, without decoding a job that has
// them.
func DecodeParts(data []byte) quetzalpier.Parts {
	if len(data) > maxHeadBytes {
		return quetzalpier.Parts{}
	}
	message := &Job{}
	if err := proto.Unmarshal(data, message); err != nil {
		return quetzalpier.Parts{}
	}
	return unpackParts(message)
}

func unpackParts(message *Job) quetzalpier.Parts {
	return quetzalpier.Parts{
		Count: int(message.GetParts()), Bytes: int(min(message.GetBytes(), math.MaxInt32)), Digest: message.GetDigest(), Tasks: int(message.GetCount()),
	}
}

// DecodeTasks decodes the joined encodings of tasks into a job, and validates it.
func DecodeTasks(data []byte, job *quetzalpier.Job) error {
	message := &Job{}
	if err := proto.Unmarshal(data, message); err != nil {
		return errors.Wrap(err, "decode tasks")
	}
	job.Tasks = unpackTasks(message)
	if len(job.Tasks) != job.Parts.Tasks {
		return errors.Errorf("job %q has %d tasks in its parts, not %d", job.ID, len(job.Tasks), job.Parts.Tasks)
	}
	return job.Validate()
}

func unpackTasks(message *Job) []quetzalpier.Task {
	var tasks []quetzalpier.Task
	for _, task := range message.GetTasks() {
		unpacked := quetzalpier.Task{
			ID: task.GetId(), Group: task.GetGroup(), Path: task.GetPath(), Headers: task.GetHeaders(), Body: task.GetBody(),
			MaxTokens: int(task.GetTokens()), LengthHint: int(task.GetHint()),
		}
		if task.Reward != nil {
			unpacked.Reward = &quetzalpier.Reward{ID: task.GetReward(), Host: task.GetRewardHost(), Path: task.GetRewardPath(), Body: task.GetRewardBody()}
		}
		tasks = append(tasks, unpacked)
	}
	return tasks
}

// PackResults converts results to messages.
func PackResults(results []quetzalpier.Result) []*Result {
	messages := make([]*Result, 0, len(results))
	for _, result := range results {
		message := &Result{Id: result.ID, Done: result.Done, Text: result.Text, Score: result.Score}
		for _, version := range result.Versions {
			message.Versions = append(message.Versions, uint64(version))
		}
		messages = append(messages, message)
	}
	return messages
}

// UnpackResults converts messages to results.
func UnpackResults(messages []*Result) []quetzalpier.Result {
	results := make([]quetzalpier.Result, 0, len(messages))
	for _, message := range messages {
		result := quetzalpier.Result{ID: message.GetId(), Done: message.GetDone(), Text: message.GetText(), Score: message.GetScore()}
		for _, version := range message.GetVersions() {
			result.Versions = append(result.Versions, quetzalpier.Version(version))
		}
		results = append(results, result)
	}
	return results
}

// EncodeResults encodes consecutive results of a job as stored in the key-value
// service.
func EncodeResults(results []quetzalpier.Result) ([]byte, error) {
	data, err := proto.Marshal(&Listed{Results: PackResults(results)})
	return data, errors.Wrap(err, "encode results")
}

// DecodeResults decodes results as stored in the key-value service.
func DecodeResults(data []byte) ([]quetzalpier.Result, error) {
	message := &Listed{}
	if err := proto.Unmarshal(data, message); err != nil {
		return nil, errors.Wrap(err, "decode results")
	}
	return UnpackResults(message.GetResults()), nil
}

// EncodePart encodes a partly generated text.
func EncodePart(part quetzalpier.Partial) ([]byte, error) {
	message := &Part{Events: part.Events, Software: part.Software}
	for _, version := range part.Versions {
		message.Versions = append(message.Versions, uint64(version))
	}
	for _, process := range part.Processes {
		message.Processes = append(message.Processes, &Process{Vm: process.VM, Born: process.Incarnation})
	}
	data, err := proto.Marshal(message)
	return data, errors.Wrap(err, "encode part")
}

// DecodePart decodes a partly generated text.
func DecodePart(data []byte) (quetzalpier.Partial, error) {
	message := &Part{}
	if err := proto.Unmarshal(data, message); err != nil {
		return quetzalpier.Partial{}, errors.Wrap(err, "decode part")
	}
	part := quetzalpier.Partial{Events: message.GetEvents(), Software: message.GetSoftware()}
	for _, version := range message.GetVersions() {
		part.Versions = append(part.Versions, quetzalpier.Version(version))
	}
	for _, process := range message.GetProcesses() {
		part.Processes = append(part.Processes, quetzalpier.Process{VM: process.GetVm(), Incarnation: process.GetBorn()})
	}
	return part, nil
}
