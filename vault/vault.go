// Package vault stores jobs, their ends and their results in the platform's
// key-value service. A job exists once the transaction that creates its key is
// committed. A result has its position once the transaction that writes it is
// committed, which requires that the owner's fencing token is the newest.
package vault

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"quetzalpier"
	"quetzalpier/wire"
)

// Keys of jobs, ends, results and owners.
const (
	// Jobs is the prefix of the keys of jobs, and Ends of those of their ends. Ends are
	// small; a read of all jobs takes seconds.
	Jobs          = "in/job/"
	Ends          = "in/end/"
	prefixResults = "out/"
	prefixPart    = "part/"
	// System is the prefix of the keys of owners, nodes and disks, Owners of those of
	// pool owners, Nodes of those of nodes, and Disks of those of the disks that may hold jobs.
	System = "sys/"
	Owners = "sys/own/"
	Nodes  = "sys/node/"
	Disks  = "sys/disk/"
	// Duties is the prefix of the keys of the platform's duties.
	Duties = "duty/"
)

// purposes names the prefixes, the longer ones before those that they start with.
var purposes = []struct{ prefix, name string }{
	{prefixResults, "results"},
	{prefixPart, "parts"},
	{Ends, "ends"},
	{Jobs, "jobs"},
	{prefixTasks, "tasks"},
	{prefixOrdering, "orders"},
	{Owners, "owners"},
	{System, "nodes"},
	{Duties, "duties"},
}

// Purpose returns what a key or prefix is used for, or "other".
func Purpose(key string) string {
	for _, purpose := range purposes {
		if strings.HasPrefix(key, purpose.prefix) {
			return purpose.name
		}
	}
	return "other"
}

// Vault reads and writes jobs and their results.
type Vault struct {
	KV quetzalpier.KV
}

// Put creates a job. It reports whether the job existed already. Its error is a
// ForeignJobError if the job existed for another customer.
func (v *Vault) Put(ctx context.Context, job *quetzalpier.Job) (exists bool, err error) {
	data, err := v.encode(ctx, job)
	if err != nil {
		return false, err
	}
	_, err = v.KV.CompareAndSwap(ctx, Jobs+job.ID, data, 0, "")
	var conflict *quetzalpier.RevisionError
	if !errors.As(err, &conflict) {
		return false, err
	}
	if job.Customer == "" {
		return true, nil
	}
	stored, err := v.Head(ctx, job.ID)
	if err == nil && stored != nil && !stored.OwnedBy(job.Customer) {
		err = &quetzalpier.ForeignJobError{Job: job.ID}
	}
	return err == nil, err
}

// Get reads a job with its tasks. It returns nil if the job does not exist.
func (v *Vault) Get(ctx context.Context, id string) (*quetzalpier.Job, error) {
	job, err := v.Head(ctx, id)
	if err != nil || job == nil || job.Loaded() {
		return job, err
	}
	return v.Load(ctx, job)
}

// Head reads a job, whose tasks may not be loaded. It returns nil if the job does not exist.
func (v *Vault) Head(ctx context.Context, id string) (*quetzalpier.Job, error) {
	entry, err := v.KV.Get(ctx, Jobs+id)
	if err != nil || entry.Rev == 0 {
		return nil, err
	}
	return DecodeJob(entry)
}

// End marks a job as ended at a time. Repeated calls have no effect.
func (v *Vault) End(ctx context.Context, id string, at time.Time) error {
	data, err := wire.EncodeEnd(at)
	if err != nil {
		return err
	}
	_, err = v.KV.CompareAndSwap(ctx, Ends+id, data, 0, "")
	var conflict *quetzalpier.RevisionError
	if errors.As(err, &conflict) {
		return nil
	}
	return err
}

// DecodeJob decodes an entry under Jobs. Its key must be that of the job, whose tasks may not be
// loaded.
func DecodeJob(entry quetzalpier.Entry) (*quetzalpier.Job, error) {
	job, err := wire.DecodeJob(entry.Value)
	if err == nil && entry.Key != Jobs+job.ID {
		err = &quetzalpier.FieldError{Field: "id", Reason: "is that of another job, " + strconv.Quote(job.ID)}
	}
	if err != nil {
		return nil, errors.Wrap(err, entry.Key)
	}
	return job, nil
}

// JobID returns the ID of the job that an entry under Jobs holds.
func JobID(entry quetzalpier.Entry) string { return strings.TrimPrefix(entry.Key, Jobs) }

// EndedJob returns the ID of the job that an entry under Ends marks as ended.
func EndedJob(entry quetzalpier.Entry) string { return strings.TrimPrefix(entry.Key, Ends) }

// EndedAt returns when a front began to store the end that an entry under Ends holds, by the
// clock of the front; zero if the entry does not say so.
func EndedAt(entry quetzalpier.Entry) time.Time { return wire.DecodeEnd(entry.Value) }

// Results reads the results of a job in the order of their positions. Keys that are not
// those of pages are left out.
func (v *Vault) Results(ctx context.Context, id string) ([]quetzalpier.Result, error) {
	list, err := v.KV.Range(ctx, prefixResults+id+"/", false)
	if err != nil {
		return nil, err
	}
	var stored []quetzalpier.Result
	for _, entry := range list.Entries {
		if !isPage(entry.Key, id) {
			continue
		}
		if entry.Key != pageKey(id, len(stored)) {
			return nil, errors.Errorf("%s: results from position %d on are missing before this page", entry.Key, len(stored))
		}
		results, err := wire.DecodeResults(entry.Value)
		if err != nil {
			return nil, errors.Wrap(err, entry.Key)
		}
		stored = append(stored, results...)
	}
	return stored, nil
}

// Page is a sequence of new results of one job that starts at position From.
type Page struct {
	Job     string
	From    int
	Results []quetzalpier.Result
}

// AppendResults writes pages of results in one transaction, which fails if the
// pool's owner has changed since fence.
func (v *Vault) AppendResults(ctx context.Context, pool string, fence uint64, pages []Page) error {
	txn := quetzalpier.Txn{Expect: map[string]uint64{Owners + pool: fence}}
	for _, page := range pages {
		data, err := wire.EncodeResults(page.Results)
		if err != nil {
			return err
		}
		key := pageKey(page.Job, page.From)
		txn.Expect[key] = 0
		txn.Writes = append(txn.Writes, quetzalpier.Write{Key: key, Value: data})
	}
	_, err := v.KV.Commit(ctx, txn)
	return err
}

// Part is the text that has been generated so far for one task.
type Part struct {
	Job  string
	Task string
	quetzalpier.Partial
}

// SaveParts writes parts in one transaction, which fails if the pool's owner
// has changed since fence.
func (v *Vault) SaveParts(ctx context.Context, pool string, fence uint64, parts []Part) error {
	txn := quetzalpier.Txn{Expect: map[string]uint64{Owners + pool: fence}}
	for _, part := range parts {
		data, err := wire.EncodePart(part.Partial)
		if err != nil {
			return err
		}
		txn.Writes = append(txn.Writes, quetzalpier.Write{Key: prefixPart + part.Job + "/" + part.Task, Value: data})
	}
	_, err := v.KV.Commit(ctx, txn)
	return err
}

// Parts reads the saved parts of a job's tasks. One that can't be decoded is left out: its
// text is generated again.
func (v *Vault) Parts(ctx context.Context, job string) ([]Part, error) {
	prefix := prefixPart + job + "/"
	list, err := v.KV.Range(ctx, prefix, false)
	if err != nil {
		return nil, err
	}
	var parts []Part
	for _, entry := range list.Entries {
		partial, err := wire.DecodePart(entry.Value)
		if err != nil {
			continue
		}
		parts = append(parts, Part{Job: job, Task: strings.TrimPrefix(entry.Key, prefix), Partial: partial})
	}
	return parts, nil
}

// DeleteParts deletes the saved parts of a job's tasks.
func (v *Vault) DeleteParts(ctx context.Context, job string, tasks []string) error {
	keys := make([]string, 0, len(tasks))
	for _, task := range tasks {
		keys = append(keys, prefixPart+job+"/"+task)
	}
	return v.deleteKeys(ctx, keys)
}

func (v *Vault) deleteKeys(ctx context.Context, keys []string) error {
	for len(keys) > 0 {
		n := min(len(keys), quetzalpier.MaxTxnKeys)
		if _, err := v.KV.Commit(ctx, quetzalpier.Txn{Deletes: keys[:n]}); err != nil {
			return err
		}
		keys = keys[n:]
	}
	return nil
}

// DeleteJob deletes a job whose results are no longer needed, and the parts of its tasks.
func (v *Vault) DeleteJob(ctx context.Context, id string, parts quetzalpier.Parts) error {
	list, err := v.KV.Range(ctx, prefixResults+id+"/", true)
	if err != nil {
		return err
	}
	keys := append([]string{Jobs + id, Ends + id}, partKeys(id, parts)...)
	for _, entry := range list.Entries {
		keys = append(keys, entry.Key)
	}
	return v.deleteKeys(ctx, keys)
}

// pageKey returns the key of a page. Keys sort in the order of the positions.
func pageKey(id string, from int) string { return fmt.Sprintf("%s%s/%06d", prefixResults, id, from) }

// isPage reports whether the key is that of a page of the job.
func isPage(key, id string) bool {
	from, err := strconv.Atoi(strings.TrimPrefix(key, prefixResults+id+"/"))
	return err == nil && from >= 0 && key == pageKey(id, from)
}
