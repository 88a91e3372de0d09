package vault

import (
	"context"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"quetzalpier"
	"quetzalpier/wire"
)

const (
	// maxValueBytes is the largest value that the key-value service takes.
	maxValueBytes = 1 << 20
	// prefixTasks is the prefix of the values that hold the tasks of large jobs.
	prefixTasks = "in/task/"
	// partBytes is the size of these values. Their calls, which have them in base64, are as large
	// as the largest value.
	partBytes = 768 << 10
	// maxParts limits the parts of a job that is read.
	maxParts = 256
)

// MissingPartError reports that a part of a job's tasks is not stored.
type MissingPartError struct {
	Job  string
	Part int
}

// Error implements error.
func (e *MissingPartError) Error() string {
	return fmt.Sprintf("part %d of the tasks of job %q does not exist", e.Part, e.Job)
}

// partKey returns the key of a part. The digest keeps the parts of different submissions apart,
// and makes those of equal ones the same.
func partKey(id string, digest uint64, part int) string {
	return fmt.Sprintf("%s%s/%016x/%03d", prefixTasks, id, digest, part)
}

// PartCount returns the number of values in which a job with tasks of this size is stored besides
// its own; zero for one that is probably stored as one value: the encoding of tasks is larger than
// their texts.
func PartCount(job *quetzalpier.Job) int {
	bytes := job.TaskBytes()
	if bytes <= maxValueBytes {
		return 0
	}
	return 1 + bytes/partBytes
}

// FitsValue reports whether an encoded job can be stored as one value.
func FitsValue(data []byte) bool { return len(data) <= maxValueBytes }

// encode returns the value of a job's key. If the job is too large for one value, its tasks are
// stored first.
func (v *Vault) encode(ctx context.Context, job *quetzalpier.Job) ([]byte, error) {
	if job.TaskBytes() <= maxValueBytes {
		if data, err := wire.EncodeJob(job); err != nil || FitsValue(data) {
			return data, err
		}
	}
	parts, digest := quetzalpier.Parts{Tasks: len(job.Tasks)}, xxhash.New()
	err := wire.EncodeTasks(job, func(data []byte) error {
		parts.Bytes += len(data)
		_, err := digest.Write(data)
		return err
	})
	if err != nil {
		return nil, err
	}
	parts.Count, parts.Digest = (parts.Bytes+partBytes-1)/partBytes, digest.Sum64()
	if err := v.putTasks(ctx, job, parts); err != nil {
		return nil, err
	}
	return wire.EncodeHead(job, parts)
}

// putTasks stores the tasks of a job. Parts that exist are those of an equal submission.
func (v *Vault) putTasks(ctx context.Context, job *quetzalpier.Job, parts quetzalpier.Parts) error {
	part, number := make([]byte, 0, partBytes), 0
	flush := func() error {
		_, err := v.KV.CompareAndSwap(ctx, partKey(job.ID, parts.Digest, number), part, 0, "")
		var exists *quetzalpier.RevisionError
		if err != nil && !errors.As(err, &exists) {
			return errors.Wrapf(err, "store part %d of the tasks of job %q", number, job.ID)
		}
		part, number = part[:0], number+1
		return nil
	}
	err := wire.EncodeTasks(job, func(data []byte) error {
		for len(data) > 0 {
			n := min(len(data), partBytes-len(part))
			part, data = append(part, data[:n]...), data[n:]
			if len(part) < partBytes {
				continue
			}
			if err := flush(); err != nil {
				return err
			}
		}
		return nil
	})
	if err == nil && len(part) > 0 {
		err = flush()
	}
	return err
}

// Load reads the tasks of a job that are stored in parts.
func (v *Vault) Load(ctx context.Context, head *quetzalpier.Job) (*quetzalpier.Job, error) {
	job, parts := *head, head.Parts
	if parts.Count > maxParts || parts.Bytes > parts.Count*partBytes {
		return nil, errors.Errorf("job %q has %d parts of %d bytes together, more than are stored", head.ID, parts.Count, parts.Bytes)
	}
	data := make([]byte, 0, parts.Bytes)
	for part := range parts.Count {
		entry, err := v.KV.Get(ctx, partKey(job.ID, parts.Digest, part))
		if err != nil {
			return nil, err
		}
		if entry.Rev == 0 {
			return nil, &MissingPartError{job.ID, part}
		}
		data = append(data, entry.Value...)
	}
	if digest := xxhash.Sum64(data); digest != parts.Digest {
		return nil, errors.Errorf("tasks of job %q have digest %016x, not %016x", job.ID, digest, parts.Digest)
	}
	return &job, wire.DecodeTasks(data, &job)
}

// partKeys returns the keys of all parts of a job.
func partKeys(id string, parts quetzalpier.Parts) []string {
	var keys []string
	for part := range min(parts.Count, maxParts) {
		keys = append(keys, partKey(id, parts.Digest, part))
	}
	return keys
}
