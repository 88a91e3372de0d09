package wire

import (
	"github.com/pkg/errors"

	"quetzalpier"
)

// PackTxn makes the message of a transaction.
func PackTxn(txn quetzalpier.Txn) *Txn {
	message := &Txn{Deletes: txn.Deletes}
	for key, rev := range txn.Expect {
		message.Expect = append(message.Expect, &Expect{Key: key, Rev: rev})
	}
	for _, write := range txn.Writes {
		message.Writes = append(message.Writes, &Write{Key: write.Key, Value: write.Value, Lease: write.Lease})
	}
	return message
}

// UnpackTxn reads the message of a transaction.
func UnpackTxn(message *Txn) quetzalpier.Txn {
	txn := quetzalpier.Txn{Expect: map[string]uint64{}, Deletes: message.GetDeletes()}
	for _, expect := range message.GetExpect() {
		txn.Expect[expect.GetKey()] = expect.GetRev()
	}
	for _, write := range message.GetWrites() {
		txn.Writes = append(txn.Writes, quetzalpier.Write{Key: write.GetKey(), Value: write.GetValue(), Lease: write.GetLease()})
	}
	return txn
}

// PackEntries makes the messages of entries.
func PackEntries(entries []quetzalpier.Entry) []*Entry {
	messages := make([]*Entry, 0, len(entries))
	for _, e := range entries {
		messages = append(messages, &Entry{Key: e.Key, Value: e.Value, Rev: e.Rev, Deleted: e.Deleted})
	}
	return messages
}

// UnpackEntries reads the messages of entries.
func UnpackEntries(messages []*Entry) []quetzalpier.Entry {
	entries := make([]quetzalpier.Entry, 0, len(messages))
	for _, m := range messages {
		entries = append(entries, quetzalpier.Entry{Key: m.GetKey(), Value: m.GetValue(), Rev: m.GetRev(), Deleted: m.GetDeleted()})
	}
	return entries
}

// PackFailure makes the message of a call's error. An error of no known type
// proves nothing.
func PackFailure(err error) *Failure {
	var swap *quetzalpier.RevisionError
	var refused *quetzalpier.RefusedError
	var lost *quetzalpier.LeaseLostError
	var gone *quetzalpier.CompactedError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &swap):
		return &Failure{Kind: Failure_SWAP, Text: swap.Key, Rev: swap.Rev}
	case errors.As(err, &refused):
		return &Failure{Kind: Failure_REFUSED, Text: refused.Reason}
	case errors.As(err, &lost):
		return &Failure{Kind: Failure_LOST, Text: lost.Lease}
	case errors.As(err, &gone):
		return &Failure{Kind: Failure_GONE, Text: gone.Prefix, Rev: gone.Rev}
	default:
		return &Failure{Kind: Failure_UNSURE, Text: err.Error()}
	}
}

// UnpackFailure reads the message of a call's error; nil for none.
func UnpackFailure(call string, message *Failure) error {
	if message == nil {
		return nil
	}
	switch message.GetKind() {
	case Failure_SWAP:
		return &quetzalpier.RevisionError{Key: message.GetText(), Rev: message.GetRev()}
	case Failure_REFUSED:
		return &quetzalpier.RefusedError{Call: call, Reason: message.GetText()}
	case Failure_LOST:
		return &quetzalpier.LeaseLostError{Lease: message.GetText()}
	case Failure_GONE:
		return &quetzalpier.CompactedError{Prefix: message.GetText(), Rev: message.GetRev()}
	default:
		return &quetzalpier.OutcomeUnknownError{Call: call, Reason: message.GetText()}
	}
}
