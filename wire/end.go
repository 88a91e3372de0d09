package wire

import (
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

// lastMilli is the end of the year 9999 in Unix milliseconds, the last that can be logged.
const lastMilli = 253402300799999

// PackEnd returns the message that the end of a job was stored at a time.
func PackEnd(job string, at time.Time) *Ended {
	return &Ended{Job: job, At: uint64(max(0, at.UnixMilli()))}
}

// PackPendingEnd returns the request to store the end of a customer's job that its client asked
// for at a time.
func PackPendingEnd(job, customer string, at time.Time) *Ended {
	return &Ended{At: uint64(max(0, at.UnixMilli())), Pending: job, Customer: customer}
}

// StoredAt returns when the end was stored or requested; zero if the message does not say so.
func (x *Ended) StoredAt() time.Time {
	if ms := x.GetAt(); ms > 0 && ms <= lastMilli {
		return time.UnixMilli(int64(ms))
	}
	return time.Time{}
}

// EncodeEnd encodes the end of a job as stored in the key-value service.
func EncodeEnd(at time.Time) ([]byte, error) {
	data, err := proto.Marshal(PackEnd("", at))
	return data, errors.Wrap(err, "encode end")
}

// DecodeEnd returns when the end of a job was stored. It is zero if the value does not say
// so: that of earlier versions is the word "ended". The key alone ends the job.
func DecodeEnd(data []byte) time.Time {
	message := &Ended{}
	if proto.Unmarshal(data, message) != nil {
		return time.Time{}
	}
	return message.StoredAt()
}
