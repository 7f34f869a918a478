// Package platf is the client of the platform's HTTP interface: what workers
// there are, leases on them, and the tasks that run under those leases.
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
	timeout = 2 * time.Second // of an exchange without a nearer deadline
	maxBody = 32 << 20        // bytes of an answer; 13,000 workers take about 3 MB
)

// Client talks to the platform. It is safe for use by several goroutines.
type Client struct {
	base *sling.Sling
	http *http.Client
}

// New returns a client of the platform at base, for example
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

// Tasks returns what a worker holds and runs, ended tasks included.
func (c *Client) Tasks(ctx context.Context, worker string) ([]Task, error) {
	var list TaskList
	err := c.do(ctx, c.base.New().Get("/v1/workers/"+url.PathEscape(worker)+"/tasks"), &list)
	return list.Tasks, errors.Wrapf(err, "listing tasks of worker %s", worker)
}

// Usage returns what was in use on each worker, as of some time ago.
func (c *Client) Usage(ctx context.Context) ([]Usage, error) {
	var list UsageList
	err := c.do(ctx, c.base.New().Get("/v1/usage"), &list)
	return list.Usage, errors.Wrap(err, "reading usage")
}

// Hold takes a lease without starting anything. The same request again returns
// the same lease.
func (c *Client) Hold(ctx context.Context, r HoldRequest) (Task, error) {
	var t Task
	err := c.do(ctx, c.base.New().Post("/v1/leases").BodyJSON(r), &t)
	return t, errors.Wrapf(err, "holding worker %s for job %s", r.Worker, r.Job)
}

// Start starts the command of a held lease, once: the same request again changes
// nothing.
func (c *Client) Start(ctx context.Context, id string, r StartRequest) (Task, error) {
	return c.act(ctx, id, "start", r)
}

// Renew moves the deadline of a lease.
func (c *Client) Renew(ctx context.Context, id string, r RenewRequest) (Task, error) {
	return c.act(ctx, id, "renew", r)
}

// Checkpoint saves the progress of a running task, which runs on.
func (c *Client) Checkpoint(ctx context.Context, id string, r CheckpointRequest) (Task, error) {
	return c.act(ctx, id, "checkpoint", r)
}

// Throttle sets the share of full speed that a task runs at.
func (c *Client) Throttle(ctx context.Context, id string, r ThrottleRequest) (Task, error) {
	return c.act(ctx, id, "throttle", r)
}

// Stop ends a lease and its task. Stopping an ended one changes nothing.
func (c *Client) Stop(ctx context.Context, id string, r StopRequest) (Task, error) {
	return c.act(ctx, id, "stop", r)
}

func (c *Client) act(ctx context.Context, id, verb string, body any) (Task, error) {
	var t Task
	err := c.do(ctx, c.base.New().Post("/v1/leases/"+url.PathEscape(id)+"/"+verb).BodyJSON(body), &t)
	return t, errors.Wrapf(err, "%s of lease %s", verb, id)
}

// do makes one exchange and decodes its answer.
func (c *Client) do(ctx context.Context, s *sling.Sling, into any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
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
	body := json.NewDecoder(io.LimitReader(resp.Body, maxBody))
	if resp.StatusCode >= http.StatusBadRequest {
		return refusal(resp.StatusCode, body)
	}
	if err := body.Decode(into); err != nil {
		return fmt.Errorf("%w: decoding the answer: %w", ErrNoAnswer, err)
	}
	return nil
}

// refusal turns an error answer into a typed error.
func refusal(status int, body *json.Decoder) error {
	var eb ErrorBody
	if err := body.Decode(&eb); err != nil || eb.Error == nil {
		return errors.Wrapf(ErrNoAnswer, "status %d without a reason", status)
	}
	return eb.Error
}
