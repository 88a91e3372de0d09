package entry

import (
	"context"

	"golang.org/x/sync/semaphore"

	"quetzalpier"
	"quetzalpier/vault"
)

// A job on its way to the key-value service, or back, is held several times: decoded, encoded, in
// the call and in the buffers of the HTTP client.

const (
	// copiesPerByte is how many bytes are held for a byte of a job's tasks.
	copiesPerByte = 5
	// copiesPerTask is what is held for a task besides, in bytes.
	copiesPerTask = 1 << 10
	// maxValueBytes is the size of the largest value, which is assumed for one that is to be read.
	maxValueBytes = 1 << 20
)

// copies bounds what is held for the jobs on their way in one direction. Those without room wait for
// others, in the order of their arrival.
//
// Load pattern: clients submit many jobs at once, each just below the size of a value, or read them.
type copies struct {
	limit int64
	room  *semaphore.Weighted
}

func newCopies(limit int) *copies {
	return &copies{limit: int64(limit), room: semaphore.NewWeighted(int64(limit))}
}

// acquire waits until there is room for bytes, or all of it for more, or ctx ends.
func (c *copies) acquire(ctx context.Context, bytes int) (release func(), err error) {
	n := min(int64(bytes), c.limit)
	if err := c.room.Acquire(ctx, n); err != nil {
		return nil, &quetzalpier.RefusedError{Call: "copies of a job", Reason: "no room: " + err.Error()}
	}
	return func() { c.room.Release(n) }, nil
}

// storeJobOnce makes one attempt to store a job.
func (e *Entry) storeJobOnce(ctx context.Context, job *quetzalpier.Job) (existed bool, err error) {
	bytes := job.TaskBytes() + len(job.Tasks)*copiesPerTask
	if vault.PartCount(job) > 0 {
		// Its tasks are encoded and stored part by part.
		bytes = maxValueBytes
	}
	release, err := e.storing.acquire(ctx, copiesPerByte*bytes)
	if err != nil {
		return false, err
	}
	defer release()
	return e.Vault.Put(ctx, job)
}

// readJob reads the record of a job, whose tasks may not be loaded. It returns nil if the job does
// not exist.
func (e *Entry) readJob(ctx context.Context, id string) (*quetzalpier.Job, error) {
	release, err := e.reading.acquire(ctx, copiesPerByte*maxValueBytes)
	if err != nil {
		return nil, err
	}
	defer release()
	return e.Vault.Head(ctx, id)
}

// holdNotice accounts for the message that tells owners of a job. It returns false if there is no
// room.
func (e *Entry) holdNotice(bytes int) (release func(), held bool) {
	// The message, and its encoding.
	release, err := e.bodies.Hold(2 * bytes)
	return release, err == nil
}
