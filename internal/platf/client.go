// Package platf is a client of the platform's HTTP API: the list of workers,
// the leases on them, and the tasks that run under those leases.
package platf

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/dghubble/sling"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

const (
	requestTimeout   = 2 * time.Second // of a request whose context has no earlier deadline
	maxResponseBytes = 32 << 20        // bytes of a response; a list of 13,000 workers takes about 3 MB
)

// Client calls the platform's API. It is safe for concurrent use.
type Client struct {
	base *sling.Sling
	http *http.Client
}

// New returns a client of the platform at the URL base, for example
// http://127.0.0.1:9000.
func New(base string, hc *http.Client) *Client {
	return &Client{base: sling.New().Base(base), http: hc}
}

// Workers returns every worker of the fleet.
func (c *Client) Workers(ctx context.Context) ([]model.Worker, error) {
	var list WorkerList
	err := c.do(ctx, c.base.New().Get("/v1/workers"), &list)
	return list.Workers, errors.Wrap(err, "listing workers")
}

// Tasks returns the tasks of a worker, including ended ones.
func (c *Client) Tasks(ctx context.Context, worker string) ([]Task, error) {
	var list TaskList
	err := c.do(ctx, c.base.New().Get("/v1/workers/"+url.PathEscape(worker)+"/tasks"), &list)
	return list.Tasks, errors.Wrapf(err, "listing tasks of worker %s", worker)
}

// Usage returns the resource usage of each worker at an earlier time.
func (c *Client) Usage(ctx context.Context) ([]Usage, error) {
	var list UsageList
	err := c.do(ctx, c.base.New().Get("/v1/usage"), &list)
	return list.Usage, errors.Wrap(err, "reading usage")
}

// Hold takes a lease without starting a task. Repeating the request returns the
// same lease.
func (c *Client) Hold(ctx context.Context, r HoldRequest) (Task, error) {
	var t Task
	err := c.do(ctx, c.base.New().Post("/v1/leases").BodyJSON(r), &t)
	return t, errors.Wrapf(err, "holding worker %s for job %s", r.Worker, r.Job)
}

// Start starts a command under a held lease. Repeating the request changes
// nothing.
func (c *Client) Start(ctx context.Context, id string, r StartRequest) (Task, error) {
	return c.callLease(ctx, id, "start", r)
}

// Renew changes the deadline of a lease.
func (c *Client) Renew(ctx context.Context, id string, r RenewRequest) (Task, error) {
	return c.callLease(ctx, id, "renew", r)
}

// Checkpoint saves the progress of a running task, which keeps running.
func (c *Client) Checkpoint(ctx context.Context, id string, r CheckpointRequest) (Task, error) {
	return c.callLease(ctx, id, "checkpoint", r)
}

// Throttle limits a task to a share of its full speed.
func (c *Client) Throttle(ctx context.Context, id string, r ThrottleRequest) (Task, error) {
	return c.callLease(ctx, id, "throttle", r)
}

// Stop ends a lease and its task. Stopping an ended lease changes nothing.
func (c *Client) Stop(ctx context.Context, id string, r StopRequest) (Task, error) {
	return c.callLease(ctx, id, "stop", r)
}

func (c *Client) callLease(ctx context.Context, id, verb string, body any) (Task, error) {
	var t Task
	err := c.do(ctx, c.base.New().Post("/v1/leases/"+url.PathEscape(id)+"/"+verb).BodyJSON(body), &t)
	return t, errors.Wrapf(err, "%s of lease %s", verb, id)
}

// do sends one request and decodes the response into result.
func (c *Client) do(ctx context.Context, s *sling.Sling, result any) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req, err := s.Request()
	if err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	resp, err := c.http.Do(req.WithContext(ctx))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNoAnswer, err)
	}
	defer resp.Body.Close() //nolint:errcheck // only read from
	body := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes))
	if resp.StatusCode >= http.StatusBadRequest {
		return decodeError(resp.StatusCode, body)
	}
	if err := body.Decode(result); err != nil {
		return fmt.Errorf("%w: decoding the answer: %w", ErrNoAnswer, err)
	}
	return nil
}

// decodeError decodes the body of an error response.
func decodeError(status int, body *json.Decoder) error {
	var eb ErrorBody
	if err := body.Decode(&eb); err != nil || eb.Error == nil {
		return errors.Wrapf(ErrNoAnswer, "status %d without a reason", status)
	}
	return eb.Error
}
