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
	operatorTimeout   = 10 * time.Second // timeout of one attempt
	operatorMaxAnswer = 256 << 20        // largest answer in bytes; 160,000 jobs take about 100 MB
)

// ErrNoServer means that a client was created without a server.
var ErrNoServer = errors.New("no server given")

// Operator is a client of the operators' API. It is safe for use by several
// goroutines. It retries requests without an answer, on the next server if there
// are several; the id stays the same, so that the request is carried out once.
type Operator struct {
	servers []string
	name    string
	key     string
	http    *http.Client
}

// NewOperator returns a client for the operator with the given name and key. The
// servers are base URLs such as http://127.0.0.1:7300.
func NewOperator(servers []string, name, key string, hc *http.Client) (*Operator, error) {
	if len(servers) == 0 {
		return nil, ErrNoServer
	}
	for _, server := range servers {
		if u, err := url.Parse(server); err != nil || u.Host == "" {
			return nil, errors.Wrapf(ErrMalformed, "server %q: want a URL such as http://127.0.0.1:7300", server)
		}
	}
	return &Operator{servers: servers, name: name, key: key, http: hc}, nil
}

// Propose sends an intent and returns the plan for it.
func (o *Operator) Propose(ctx context.Context, intent model.Intent) (model.Plan, error) {
	return send[model.Plan](ctx, o, http.MethodPost, PathIntents, intent)
}

// Confirm confirms a plan, which carries it out.
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

// Explain returns why a job is in its state.
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
	query := url.Values{"from": {strconv.FormatUint(from, 10)}, "to": {strconv.FormatUint(to, 10)}}
	return get[Diff](ctx, o, PathConfigDiff+"?"+query.Encode())
}

// Status returns the configuration status of each process.
func (o *Operator) Status(ctx context.Context) (Status, error) {
	return get[Status](ctx, o, PathConfigStatus)
}

// Members returns the replicas of the log.
func (o *Operator) Members(ctx context.Context) (MemberList, error) {
	return get[MemberList](ctx, o, PathMembers)
}

// ChangeMembers changes the membership of the log.
func (o *Operator) ChangeMembers(ctx context.Context, change MemberChange) (MemberList, error) {
	return send[MemberList](ctx, o, http.MethodPost, PathMembers, change)
}

// Agents returns every agent.
func (o *Operator) Agents(ctx context.Context) (AgentList, error) {
	return get[AgentList](ctx, o, PathAgents)
}

// DrainAgent stops giving work to an agent; the work that runs there is finished.
func (o *Operator) DrainAgent(ctx context.Context, name string) (Agent, error) {
	return send[Agent](ctx, o, http.MethodPost, PathAgents+"/"+url.PathEscape(name)+"/drain", nil)
}

// UndrainAgent makes an agent available for work again.
func (o *Operator) UndrainAgent(ctx context.Context, name string) (Agent, error) {
	return send[Agent](ctx, o, http.MethodPost, PathAgents+"/"+url.PathEscape(name)+"/undrain", nil)
}

// Guarantees returns how much of each guaranteed shape is used and available.
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

// send sends a request, with retries, and decodes the answer.
func send[T any](ctx context.Context, o *Operator, method, path string, body any) (T, error) {
	var answer T
	var encoded []byte
	if body != nil {
		var err error
		if encoded, err = json.Marshal(body); err != nil {
			return answer, fmt.Errorf("%w: %w", ErrMalformed, err)
		}
	}
	err := retry(ctx, func(n int) error {
		return o.sendOnce(ctx, o.servers[n%len(o.servers)], method, path, encoded, &answer)
	})
	return answer, err
}

// sendOnce sends a request once to one server and decodes the answer.
func (o *Operator) sendOnce(ctx context.Context, server, method, path string, body []byte, result any) error {
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
	data, err := io.ReadAll(io.LimitReader(resp.Body, operatorMaxAnswer))
	if err != nil {
		return fmt.Errorf("%w: %s: %w", ErrUnreachable, server, err)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return answerError(resp.StatusCode, data)
	}
	if err := json.Unmarshal(data, result); err != nil {
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

// answerError returns the error that the body of an error answer holds. An answer
// without one comes from an intermediary, such as a load balancer, and is mapped
// to an error by its status.
func answerError(status int, data []byte) error {
	var body ErrorBody
	if json.Unmarshal(data, &body) == nil && body.Error != nil && body.Error.Code != "" {
		return body.Error
	}
	return errors.Wrapf(statusError(status), "status %d without a reason", status)
}
