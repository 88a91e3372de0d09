package wire_test

import (
	"math"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"quetzalpier"
	"quetzalpier/wire"
)

// FuzzDecode checks that values of the key-value service don't panic, and that those which
// are accepted can be stored again.
func FuzzDecode(f *testing.F) {
	job, err := wire.EncodeJob(&quetzalpier.Job{ID: "j", Model: "m", SubmittedAt: time.Unix(1, 0), Tasks: []quetzalpier.Task{{ID: "t", Path: "/t", Reward: &quetzalpier.Reward{ID: "r"}}}})
	require.NoError(f, err)
	results, err := wire.EncodeResults([]quetzalpier.Result{{ID: "t", Done: true, Text: "text", Versions: []quetzalpier.Version{1}}})
	require.NoError(f, err)
	part, err := wire.EncodePart(quetzalpier.Partial{Events: []string{"a"}, Versions: []quetzalpier.Version{1}, Processes: []quetzalpier.Process{{VM: "v", Incarnation: math.MinInt64}}})
	require.NoError(f, err)
	odd, err := proto.Marshal(&wire.Job{Id: "j", Model: "m", Tasks: []*wire.Task{nil, {}}, Step: math.MinInt64, Want: math.MaxInt64, Put: math.MaxInt64, Due: math.MinInt64, Expires: math.MaxInt64, Attempts: -1})
	require.NoError(f, err)
	for _, seed := range [][]byte{job, results, part, odd, nil, []byte("\xff"), job[:len(job)/2], append(job, job...)} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if job, err := wire.DecodeJob(data); err == nil {
			require.NoError(t, job.Validate())
			_, err := wire.EncodeJob(job)
			require.NoError(t, err)
		}
		if results, err := wire.DecodeResults(data); err == nil {
			_, err := wire.EncodeResults(results)
			require.NoError(t, err)
		}
		if part, err := wire.DecodePart(data); err == nil {
			for _, event := range part.Events {
				require.True(t, utf8.ValidString(event))
			}
		}
	})
}

// FuzzMessages checks that messages of other nodes, which may lack any part, are unpacked
// within bounds.
func FuzzMessages(f *testing.F) {
	for _, message := range []proto.Message{
		&wire.Call{Kind: &wire.Call_Store{Store: &wire.Store{Commit: &wire.Txn{Expect: []*wire.Expect{nil}, Writes: []*wire.Write{nil}}}}},
		&wire.Call{Kind: &wire.Call_Feed{Feed: &wire.Feed{Wait: math.MaxUint64}}}, &wire.Call{Kind: &wire.Call_Hold{}},
		&wire.Reply{Kind: &wire.Reply_Stored{Stored: &wire.Stored{Age: math.MaxUint64, Entries: []*wire.Entry{nil}, Failure: &wire.Failure{Kind: 99}}}},
	} {
		data, err := proto.Marshal(message)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		call, reply := &wire.Call{}, &wire.Reply{}
		if proto.Unmarshal(data, call) == nil {
			_ = wire.UnpackTxn(call.GetStore().GetCommit())
			requireWithinBounds(t, call.GetFeed().GetWait(), call.GetHold().GetWait(), call.GetStore().GetGrant(), call.GetStore().GetFollow().GetWait())
		}
		if proto.Unmarshal(data, reply) == nil {
			stored := reply.GetStored()
			require.Len(t, wire.UnpackEntries(stored.GetEntries()), len(stored.GetEntries()))
			_ = wire.UnpackFailure("call", stored.GetFailure())
			_ = wire.UnpackResults(reply.GetResults().GetResults())
			_ = wire.IsForeign(reply)
			requireWithinBounds(t, stored.GetAge(), reply.GetPermit().GetWait())
		}
	})
}

func requireWithinBounds(t *testing.T, millis ...uint64) {
	t.Helper()
	for _, ms := range millis {
		duration := wire.Millis(ms)
		require.True(t, duration >= 0 && duration <= quetzalpier.MaxDuration, "%d ms are %s", ms, duration)
	}
}
