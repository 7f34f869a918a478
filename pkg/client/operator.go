package client

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/dghubble/sling"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

const (
	operatorTimeout = 10 * time.Second // of one attempt
	operatorBody    = 256 << 20        // bytes of an answer; 160,000 jobs take about 100 MB
)

// ErrNoServer is for a client without a server.
var ErrNoServer = errors.New("no server given")

// Operator is the client of the operators' interface. It is safe for use by
// several goroutines. A request that gets no answer is sent again, to the next
// server if there are several; its id stays the same, so it is carried out once.
type Operator struct {
	servers []string
	name    string
	key     string
	http    *http.Client
}

// NewOperator returns a client of the given servers, base URLs such as
// http://127.0.0.1:7300, for an operator with a name and a key.
func NewOperator(servers []string, name, key string, hc *http.Client) (*Operator, error) {
	if len(servers) == 0 {
		return nil, ErrNoServer
	}
	for _, s := range servers {
		if u, err := url.Parse(s); err != nil || u.Host == "" {
			return nil, errors.Wrapf(ErrMalformed, "server %q: want a URL such as http://127.0.0.1:7300", s)
		}
	}
	return &Operator{servers: servers, name: name, key: key, http: hc}, nil
}

// Propose sends an intent and returns the plan for it.
func (o *Operator) Propose(ctx context.Context, in model.Intent) (model.Plan, error) {
	return send[model.Plan](ctx, o, http.MethodPost, PathIntents, in)
}

// Confirm carries a plan out.
func (o *Operator) Confirm(ctx context.Context, plan string) (model.Plan, error) {
	return send[model.Plan](ctx, o, http.MethodPost, PathPlans+url.PathEscape(plan)+"/confirm", Confirm{Operator: o.name})
}

// Plan returns one plan.
func (o *Operator) Plan(ctx context.Context, id string) (model.Plan, error) {
	return get[model.Plan](ctx, o, PathPlans+url.PathEscape(id))
}

// Teams returns every team.
func (o *Operator) Teams(ctx context.Context) (TeamList, error) {
	return get[TeamList](ctx, o, PathTeams)
}

// Services returns every service.
func (o *Operator) Services(ctx context.Context) (ServiceList, error) {
	return get[ServiceList](ctx, o, PathServices)
}

// Jobs returns the jobs of a team, or all jobs if team is empty.
func (o *Operator) Jobs(ctx context.Context, team string) (JobList, error) {
	path := PathJobs
	if team != "" {
		path += "?" + url.Values{"team": {team}}.Encode()
	}
	return get[JobList](ctx, o, path)
}

// Job returns one job.
func (o *Operator) Job(ctx context.Context, id string) (model.Job, error) {
	return get[model.Job](ctx, o, PathJobs+"/"+url.PathEscape(id))
}

// Explain says why a job is where it is.
func (o *Operator) Explain(ctx context.Context, id string) (Explanation, error) {
	return get[Explanation](ctx, o, PathJobs+"/"+url.PathEscape(id)+"/explain")
}

// Workers returns every worker.
func (o *Operator) Workers(ctx context.Context) (WorkerList, error) {
	return get[WorkerList](ctx, o, PathWorkers)
}

// Config returns the configuration in force.
func (o *Operator) Config(ctx context.Context) (Config, error) {
	return get[Config](ctx, o, PathConfig)
}

// History returns the accepted changes of the configuration, newest first.
func (o *Operator) History(ctx context.Context) (History, error) {
	return get[History](ctx, o, PathConfigHistory)
}

// Diff returns what changed between two revisions.
func (o *Operator) Diff(ctx context.Context, from, to uint64) (Diff, error) {
	q := url.Values{"from": {strconv.FormatUint(from, 10)}, "to": {strconv.FormatUint(to, 10)}}
	return get[Diff](ctx, o, PathConfigDiff+"?"+q.Encode())
}

// Status returns where each process stands.
func (o *Operator) Status(ctx context.Context) (Status, error) {
	return get[Status](ctx, o, PathConfigStatus)
}

// Members returns the replicas of the log.
func (o *Operator) Members(ctx context.Context) (MemberList, error) {
	return get[MemberList](ctx, o, PathMembers)
}

// ChangeMembers changes the membership of the log.
func (o *Operator) ChangeMembers(ctx context.Context, c MemberChange) (MemberList, error) {
	return send[MemberList](ctx, o, http.MethodPost, PathMembers, c)
}

// Agents returns every agent.
func (o *Operator) Agents(ctx context.Context) (AgentList, error) {
	return get[AgentList](ctx, o, PathAgents)
}

// DrainAgent gives an agent no more work; what runs there finishes.
func (o *Operator) DrainAgent(ctx context.Context, name string) (Agent, error) {
	return send[Agent](ctx, o, http.MethodPost, PathAgents+"/"+url.PathEscape(name)+"/drain", nil)
}

// UndrainAgent gives an agent work again.
func (o *Operator) UndrainAgent(ctx context.Context, name string) (Agent, error) {
	return send[Agent](ctx, o, http.MethodPost, PathAgents+"/"+url.PathEscape(name)+"/undrain", nil)
}

// Guarantees returns how every guaranteed shape stands.
func (o *Operator) Guarantees(ctx context.Context) (GuaranteeReport, error) {
	return get[GuaranteeReport](ctx, o, PathGuarantees)
}

// Fragmentation returns how scattered the free accelerators are.
func (o *Operator) Fragmentation(ctx context.Context) (FragmentationReport, error) {
	return get[FragmentationReport](ctx, o, PathFragmentation)
}

func get[T any](ctx context.Context, o *Operator, path string) (T, error) {
	return send[T](ctx, o, http.MethodGet, path, nil)
}

// send makes one exchange, with retries, and decodes its answer.
func send[T any](ctx context.Context, o *Operator, method, path string, body any) (T, error) {
	var answer T
	var text []byte
	if body != nil {
		var err error
		if text, err = json.Marshal(body); err != nil {
			return answer, fmt.Errorf("%w: %w", ErrMalformed, err)
		}
	}
	err := retry(ctx, func(n int) error {
		return o.exchange(ctx, o.servers[n%len(o.servers)], method, path, text, &answer)
	})
	return answer, err
}

// exchange makes one attempt at one server.
func (o *Operator) exchange(ctx context.Context, server, method, path string, body []byte, into any) error {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	s := sling.New().Base(server).Set("Authorization", "Bearer "+o.key).Set(HeaderOperator, o.name).Set("Accept", "application/json")
	if body != nil {
		s = s.Set("Content-Type", "application/json").Body(bytes.NewReader(body))
	}
	req, err := withMethod(s, method, path).Request()
	if err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	resp, err := o.http.Do(req.WithContext(ctx))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	defer resp.Body.Close() //nolint:errcheck // only read from
	text, err := io.ReadAll(io.LimitReader(resp.Body, operatorBody))
	if err != nil {
		return fmt.Errorf("%w: %s: %w", ErrUnreachable, server, err)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return errorOf(resp.StatusCode, text)
	}
	if err := json.Unmarshal(text, into); err != nil {
		return fmt.Errorf("%w: answer of %s: %w", ErrInternal, server, err)
	}
	return nil
}

func withMethod(s *sling.Sling, method, path string) *sling.Sling {
	if method == http.MethodPost {
		return s.Post(path)
	}
	return s.Get(path)
}

// errorOf returns the reason that an error answer holds. An answer without one
// comes from something between the two ends; its status has to do.
func errorOf(status int, text []byte) error {
	var body ErrorBody
	if json.Unmarshal(text, &body) == nil && body.Error != nil && body.Error.Code != "" {
		return body.Error
	}
	return errors.Wrapf(statusError(status), "status %d without a reason", status)
}
