package wire

import (
	"github.com/pkg/errors"

	"quetzalpier"
)

// PackTxn converts a transaction to its message.
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

// UnpackTxn converts a message to its transaction.
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

// PackEntries converts entries of the key-value service to messages.
func PackEntries(entries []quetzalpier.Entry) []*Entry {
	messages := make([]*Entry, 0, len(entries))
	for _, e := range entries {
		messages = append(messages, &Entry{Key: e.Key, Value: e.Value, Rev: e.Rev, Deleted: e.Deleted})
	}
	return messages
}

// UnpackEntries converts messages to entries of the key-value service.
func UnpackEntries(messages []*Entry) []quetzalpier.Entry {
	entries := make([]quetzalpier.Entry, 0, len(messages))
	for _, m := range messages {
		entries = append(entries, quetzalpier.Entry{Key: m.GetKey(), Value: m.GetValue(), Rev: m.GetRev(), Deleted: m.GetDeleted()})
	}
	return entries
}

// PackFailure converts the error of a call to the key-value service to its
// message. An error of an unknown type is packed as an unknown outcome, because it
// does not prove whether the call took effect.
func PackFailure(err error) *Failure {
	var revision *quetzalpier.RevisionError
	var refused *quetzalpier.RefusedError
	var lost *quetzalpier.LeaseLostError
	var compacted *quetzalpier.CompactedError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &revision):
		return &Failure{Kind: Failure_SWAP, Text: revision.Key, Rev: revision.Rev}
	case errors.As(err, &refused):
		return &Failure{Kind: Failure_REFUSED, Text: refused.Reason}
	case errors.As(err, &lost):
		return &Failure{Kind: Failure_LOST, Text: lost.Lease}
	case errors.As(err, &compacted):
		return &Failure{Kind: Failure_GONE, Text: compacted.Prefix, Rev: compacted.Rev}
	default:
		return &Failure{Kind: Failure_UNSURE, Text: err.Error()}
	}
}

// UnpackFailure converts a message to the error of the call, nil without a
// message.
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
