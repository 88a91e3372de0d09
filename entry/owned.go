package entry

import (
	"math"
	"net/http"

	"github.com/pkg/errors"

	"quetzalpier"
	"quetzalpier/wire"
)

// jobMissing returns the refusal for a job that does not exist, or exists for another
// customer: a client can't tell which.
func jobMissing(job string) *quetzalpier.Refusal {
	return quetzalpier.NotFound("job", "job "+job+" does not exist")
}

func isNotFound(err error) bool {
	var refusal *quetzalpier.Refusal
	return errors.As(err, &refusal) && refusal.Status == http.StatusNotFound
}

func isUnavailable(err error) bool {
	var refusal *quetzalpier.Refusal
	return errors.As(err, &refusal) && refusal.Status == http.StatusServiceUnavailable
}

// checkJob returns a refusal if the job is not the request's customer's. customer is what
// an owner or the cache says of it: if that is empty, the job has no customer, or an older
// build does not know it. Then the stored job decides.
func (e *Entry) checkJob(r *request, job, customer string) error {
	if !r.hasCustomers() {
		return nil
	}
	if customer == "" {
		var err error
		if customer, err = e.storedCustomer(r, job); err != nil {
			return err
		}
	}
	if customer != "" && customer != r.customerName() {
		return jobMissing(job)
	}
	return nil
}

// storedCustomer returns the customer of a stored job, or a refusal if it is not found.
func (e *Entry) storedCustomer(r *request, job string) (string, error) {
	if record := e.recordFor(job); record.known {
		return record.customer, nil
	}
	ctx, cancel := e.serveContext(storeCallTimeout)
	defer cancel()
	spec, err := e.readJob(ctx, job)
	if err != nil {
		return "", quetzalpier.Unavailable("store", "the job could not be looked up: "+err.Error(), quetzalpier.RanNo, e.Sender.Jitter(storeRetryDelay))
	}
	if spec == nil {
		return "", e.jobNotFound(job)
	}
	e.record(job, jobRecord{stored: true, known: true, customer: spec.Customer, updatedAt: r.start})
	return spec.Customer, nil
}

// findJob returns a refusal if there is no job of the request's customer with this ID. It
// needs no call to the key-value service if this node or an owner knows the job. Without
// customers it finds any job.
func (e *Entry) findJob(r *request, job string) error {
	if !r.hasCustomers() {
		return nil
	}
	customer := e.results.customer(job)
	if customer == "" && !e.recordFor(job).known {
		// A read from the end returns no results.
		customer = e.readFromOwners(&wire.Read{Job: job, After: math.MaxInt32}, 0).GetCustomer()
	}
	return e.checkJob(r, job, customer)
}
