// Package vault keeps jobs, their ends and their results in the platform's
// key-value service. A job exists from the transaction that creates its key; a
// result has its position from the transaction that writes it, which expects
// the owner's fencing token to be the newest.
package vault

import (
	"context"
	"fmt"
	"strings"

	"github.com/pkg/errors"

	"quetzalpier"
	"quetzalpier/wire"
)

// Keys of jobs, ends, results and owners.
const (
	// Jobs starts the keys of jobs and of their ends.
	Jobs       = "in/"
	prefixJob  = "in/job/"
	prefixEnd  = "in/end/"
	prefixList = "out/"
	prefixPart = "part/"
	prefixLast = "last/"
	// Owners starts the keys of pools' owners, and Nodes those of nodes.
	System = "sys/"
	Owners = "sys/own/"
	Nodes  = "sys/node/"
)

// Vault reads and writes jobs.
type Vault struct {
	KV quetzalpier.KV
}

// Put creates a job. It tells whether the job was there already.
func (v *Vault) Put(ctx context.Context, job *quetzalpier.Job) (again bool, err error) {
	data, err := wire.EncodeJob(job)
	if err != nil {
		return false, err
	}
	_, err = v.KV.Swap(ctx, prefixJob+job.ID, data, 0, "")
	var taken *quetzalpier.SwapError
	if errors.As(err, &taken) {
		return true, nil
	}
	return false, err
}

// Get reads a job; nil if it does not exist.
func (v *Vault) Get(ctx context.Context, id string) (*quetzalpier.Job, error) {
	entry, err := v.KV.Get(ctx, prefixJob+id)
	if err != nil || entry.Rev == 0 {
		return nil, err
	}
	return wire.DecodeJob(entry.Value)
}

// End ends a job. Ending it again changes nothing.
func (v *Vault) End(ctx context.Context, id string) error {
	_, err := v.KV.Swap(ctx, prefixEnd+id, []byte("ended"), 0, "")
	var ended *quetzalpier.SwapError
	if errors.As(err, &ended) {
		return nil
	}
	return err
}

// News is what a key under Jobs says.
type News struct {
	Job *quetzalpier.Job
	// End is the ID of a job that was ended.
	End string
}

// Decode reads a key under Jobs.
func Decode(entry quetzalpier.Entry) (News, error) {
	if id, ok := strings.CutPrefix(entry.Key, prefixEnd); ok {
		return News{End: id}, nil
	}
	job, err := wire.DecodeJob(entry.Value)
	return News{Job: job}, errors.Wrap(err, entry.Key)
}

// Listed reads the results of a job in their positions.
func (v *Vault) Listed(ctx context.Context, id string) ([]quetzalpier.Result, error) {
	found, err := v.KV.Range(ctx, prefixList+id+"/", false)
	if err != nil {
		return nil, err
	}
	var listed []quetzalpier.Result
	for _, entry := range found.Entries {
		if entry.Key != listKey(id, len(listed)) {
			return nil, errors.Errorf("%s: position %d is missing before it", entry.Key, len(listed))
		}
		results, err := wire.DecodeListed(entry.Value)
		if err != nil {
			return nil, errors.Wrap(err, entry.Key)
		}
		listed = append(listed, results...)
	}
	return listed, nil
}

// Page is a run of new results of one job, to stand from position From on.
type Page struct {
	Job     string
	From    int
	Results []quetzalpier.Result
}

// List writes pages of results in one transaction that fails if the pool's
// owner changed since fence.
func (v *Vault) List(ctx context.Context, pool string, fence uint64, pages []Page) error {
	txn := quetzalpier.Txn{Expect: map[string]uint64{Owners + pool: fence}}
	for _, page := range pages {
		data, err := wire.EncodeListed(page.Results)
		if err != nil {
			return err
		}
		key := listKey(page.Job, page.From)
		txn.Expect[key] = 0
		txn.Writes = append(txn.Writes, quetzalpier.Write{Key: key, Value: data})
	}
	_, err := v.KV.Commit(ctx, txn)
	return err
}

// Part is what has been generated of one task.
type Part struct {
	Job      string
	Task     string
	Events   []string
	Versions []quetzalpier.Version
}

// Save writes parts of tasks in one transaction that fails if the pool's owner
// changed since fence.
func (v *Vault) Save(ctx context.Context, pool string, fence uint64, parts []Part) error {
	txn := quetzalpier.Txn{Expect: map[string]uint64{Owners + pool: fence}}
	for _, part := range parts {
		data, err := wire.EncodePart(part.Events, part.Versions)
		if err != nil {
			return err
		}
		txn.Writes = append(txn.Writes, quetzalpier.Write{Key: prefixPart + part.Job + "/" + part.Task, Value: data})
	}
	_, err := v.KV.Commit(ctx, txn)
	return err
}

// Parts reads what has been generated of a job's tasks.
func (v *Vault) Parts(ctx context.Context, job string) ([]Part, error) {
	prefix := prefixPart + job + "/"
	found, err := v.KV.Range(ctx, prefix, false)
	if err != nil {
		return nil, err
	}
	var parts []Part
	for _, entry := range found.Entries {
		events, versions, err := wire.DecodePart(entry.Value)
		if err != nil {
			return nil, errors.Wrap(err, entry.Key)
		}
		parts = append(parts, Part{Job: job, Task: strings.TrimPrefix(entry.Key, prefix), Events: events, Versions: versions})
	}
	return parts, nil
}

// Forget removes the parts of a job's tasks.
func (v *Vault) Forget(ctx context.Context, job string, tasks []string) error {
	keys := make([]string, 0, len(tasks))
	for _, task := range tasks {
		keys = append(keys, prefixPart+job+"/"+task)
	}
	return v.remove(ctx, keys)
}

func (v *Vault) remove(ctx context.Context, keys []string) error {
	for len(keys) > 0 {
		n := min(len(keys), quetzalpier.MaxTxn)
		if _, err := v.KV.Commit(ctx, quetzalpier.Txn{Deletes: keys[:n]}); err != nil {
			return err
		}
		keys = keys[n:]
	}
	return nil
}

// Succeed notes that the node gives a pool's engines orders from now on, and
// returns the one that did so before; empty if none did.
func (v *Vault) Succeed(ctx context.Context, pool, node string) (string, error) {
	last, err := v.KV.Get(ctx, prefixLast+pool)
	if err != nil || string(last.Value) == node {
		return string(last.Value), err
	}
	_, err = v.KV.Swap(ctx, prefixLast+pool, []byte(node), last.Rev, "")
	return string(last.Value), err
}

// Drop removes a job whose results need not be read any more.
func (v *Vault) Drop(ctx context.Context, id string) error {
	found, err := v.KV.Range(ctx, prefixList+id+"/", true)
	if err != nil {
		return err
	}
	keys := []string{prefixJob + id, prefixEnd + id}
	for _, entry := range found.Entries {
		keys = append(keys, entry.Key)
	}
	return v.remove(ctx, keys)
}

// listKey orders as the positions do.
func listKey(id string, from int) string { return fmt.Sprintf("%s%s/%06d", prefixList, id, from) }
