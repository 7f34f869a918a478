package jobctl

import (
	"context"
	"encoding/json"
	"reflect"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/knapweedlug/knapweedlug/internal/jobs"
	"github.com/knapweedlug/knapweedlug/internal/replog"
	"github.com/knapweedlug/knapweedlug/internal/wire"
)

// proposeTimeout is far longer than a commit takes on slow disks. After it the caller
// retries.
const proposeTimeout = 5 * time.Second

var errNotLeading = &wire.RemoteError{Code: wire.CodeNotLeader, Text: "this process doesn't lead"}

// handleCall answers a call from another process. It returns errNotLeading unless this
// process leads.
func (c *Control) handleCall(ctx context.Context, _ wire.Peer, req *wire.JobCall) (*wire.JobReply, error) {
	l := c.activeLeader()
	if l == nil {
		return nil, errNotLeading
	}
	return l.answer(ctx, req)
}

// call answers a call locally if this process leads, and otherwise forwards it to the
// leader.
func (c *Control) call(ctx context.Context, req *wire.JobCall) (*wire.JobReply, error) {
	if l := c.activeLeader(); l != nil {
		return l.answer(ctx, req)
	}
	s, err := c.finder.Session(ctx)
	if err != nil {
		return nil, err
	}
	rep, err := CallLeader(ctx, s, req)
	if err != nil {
		if errors.Is(err, wire.ErrNotLeader) {
			c.finder.CloseSession(s)
		}
		return nil, err
	}
	return rep, nil
}

// PutConfig implements Operations.
func (c *Control) PutConfig(ctx context.Context, cfg *jobs.Config) error {
	body, err := json.Marshal(cfg)
	if err != nil {
		return errors.Wrap(err, "encode configuration")
	}
	rep, err := c.call(ctx, &wire.JobCall{Kind: string(jobs.CallPutConfig), Body: body})
	if errors.Is(err, wire.ErrUnsendable) {
		return errors.Wrap(jobs.ErrInvalidConfig, err.Error())
	}
	if err != nil {
		return errors.Wrap(errors.CombineErrors(ErrUnavailable, err), "store configuration")
	}
	if jobs.CallOutcome(rep.Outcome) == jobs.Invalid {
		return errors.Wrap(jobs.ErrInvalidConfig, rep.Detail)
	}
	return nil
}

// Config implements Operations.
func (c *Control) Config(ctx context.Context) ([]byte, error) {
	rep, err := c.call(ctx, &wire.JobCall{Kind: string(jobs.CallGetConfig)})
	if err != nil {
		return nil, errors.Wrap(errors.CombineErrors(ErrUnavailable, err), "read configuration")
	}
	return rep.Body, nil
}

// answer handles a call on the leader, logs it and counts it in the metrics. It
// doesn't log requests for the phase of a job that were answered.
func (l *leader) answer(ctx context.Context, req *wire.JobCall) (*wire.JobReply, error) {
	startedAt := l.now()
	rep, fields, err := l.dispatch(ctx, req)
	fields = append(fields,
		zap.String("request", req.Request), zap.String("kind", req.Kind), zap.Uint64("term", l.term),
		zap.Duration("took", l.now().Sub(startedAt)))
	if err != nil {
		l.log.Warn("call failed", append(fields, zap.Error(err))...)
		l.c.metrics.countCall(req.Kind, "error")
		return nil, retryableError(err)
	}
	l.c.metrics.countCall(req.Kind, rep.Outcome)
	if req.Kind != string(jobs.CallState) || jobs.CallOutcome(rep.Outcome) != jobs.Answered {
		l.log.Info("call", append(fields, zap.String("outcome", rep.Outcome), zap.String("detail", rep.Detail))...)
	}
	return rep, nil
}

// retryableError converts an error to one that makes the caller retry. All calls are
// idempotent.
func retryableError(err error) error {
	var re *wire.RemoteError
	if errors.As(err, &re) {
		return re
	}
	return &wire.RemoteError{Code: wire.CodeNotLeader, Text: err.Error()}
}

// dispatch handles a call by its kind. It also returns log fields that describe the call.
func (l *leader) dispatch(ctx context.Context, req *wire.JobCall) (*wire.JobReply, []zap.Field, error) {
	switch jobs.CallKind(req.Kind) {
	case jobs.CallPutConfig:
		return l.putConfig(ctx, req)
	case jobs.CallGetConfig:
		var rep *wire.JobReply
		err := l.view(ctx, func(v jobs.View) {
			rep = &wire.JobReply{Outcome: string(jobs.Answered), Body: v.Config().Text}
		})
		return rep, nil, err
	case jobs.CallEvacuate, jobs.CallWithdraw:
		return l.setEvacuation(ctx, req)
	case jobs.CallEvacuations:
		return l.listEvacuations(ctx)
	case jobs.CallSubmit:
		return l.submit(ctx, req)
	case jobs.CallCancel:
		return l.cancel(ctx, req)
	case jobs.CallState, jobs.CallCount:
		return l.query(ctx, req)
	}
	return reply(jobs.Invalid, "unknown call"), nil, nil
}

func reply(o jobs.CallOutcome, detail string) *wire.JobReply {
	return &wire.JobReply{Outcome: string(o), Detail: detail}
}

// view calls f with the state. It returns an error if this replica may have lost the
// leadership meanwhile; what f has read must not be used then.
func (l *leader) view(ctx context.Context, f func(v jobs.View)) error {
	return l.c.node.View(ctx, func() error {
		l.c.state.Read(f)
		return nil
	})
}

// putConfig validates and commits a configuration.
func (l *leader) putConfig(ctx context.Context, req *wire.JobCall) (*wire.JobReply, []zap.Field, error) {
	cfg := &jobs.Config{}
	if err := json.Unmarshal(req.Body, cfg); err != nil {
		return reply(jobs.Invalid, err.Error()), nil, nil
	}
	fields := []zap.Field{zap.Uint64("version", cfg.Version)}
	if err := cfg.Validate(); err != nil {
		return reply(jobs.Invalid, err.Error()), fields, nil
	}
	res, err := l.propose(ctx, jobs.Command{Config: cfg})
	if errors.Is(err, replog.ErrTooLarge) {
		return reply(jobs.Invalid, err.Error()), fields, nil
	}
	if err != nil {
		return nil, fields, err
	}
	l.renameQueues(res.RenamedQueues)
	return reply(jobs.Stored, ""), append(fields, zap.Uint64("inforce", res.Version)), res.Err
}

// renameQueues gives the estimates of this leader the new names of queues.
func (l *leader) renameQueues(renamed map[string]string) {
	if len(renamed) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.learner.RenameQueues(renamed)
	for k, run := range l.runs {
		if name, ok := renamed[run.queue]; ok {
			run.queue = name
			l.runs[k] = run
		}
	}
	l.log.Info("queues renamed", zap.Any("names", renamed), zap.Uint64("term", l.term))
}

// callTarget is the queue, team and job that a call refers to.
type callTarget struct {
	queue         jobs.Queue
	team          string // that owns the call's key, "" if no team does
	id            string // of the job, "" if the call is about the whole queue
	configVersion uint64 // version of the configuration used
}

func (t callTarget) fields() []zap.Field {
	return []zap.Field{zap.String("job", t.id), zap.String("queue", t.queue.Name), zap.String("team", t.team), zap.Uint64("config", t.configVersion)}
}

// findTarget returns the target of a call and checks the call's key. It returns a reply
// if the call has to be rejected.
func findTarget(cfg *jobs.Config, req *wire.JobCall) (callTarget, *wire.JobReply) {
	t := callTarget{configVersion: cfg.Version}
	if cfg.Version == 0 {
		return t, reply(jobs.NoConfig, "")
	}
	q, ok := cfg.Match(req.Host, req.Path)
	if !ok {
		return t, reply(jobs.NoQueue, "")
	}
	t.queue, t.id = q, strings.TrimPrefix(req.Path, q.PathPrefix)
	if team, known := cfg.TeamOfKey(req.Key); known {
		t.team = team
	} else if !q.Public {
		return t, reply(jobs.UnknownKey, "")
	}
	return t, nil
}

// submit checks and commits a job. A call that may have been carried out before is
// accepted if its job is stored, even if its key is no longer valid.
func (l *leader) submit(ctx context.Context, req *wire.JobCall) (*wire.JobReply, []zap.Field, error) {
	spec := &jobs.Spec{}
	if err := json.Unmarshal(req.Body, spec); err != nil {
		return reply(jobs.Invalid, err.Error()), nil, nil
	}
	rep, fields, err := l.submitSpec(ctx, req, spec)
	for errors.Is(err, jobs.ErrStaleConfig) && ctx.Err() == nil {
		rep, fields, err = l.submitSpec(ctx, req, spec)
	}
	return rep, fields, err
}

// submitSpec checks and commits a job under the names of the configuration in force. It returns ErrStaleConfig if another
// one has come into force meanwhile.
func (l *leader) submitSpec(ctx context.Context, req *wire.JobCall, spec *jobs.Spec) (*wire.JobReply, []zap.Field, error) {
	var t callTarget
	var rep *wire.JobReply
	if err := l.view(ctx, func(v jobs.View) { t, rep = findTarget(v.Config(), req) }); err != nil {
		return nil, nil, err
	}
	if rep != nil && req.Again && l.isStored(ctx, t.id, spec) {
		return reply(jobs.Accepted, "by an earlier try"), t.fields(), nil
	}
	if rep != nil {
		return rep, t.fields(), nil
	}
	if !jobs.ValidID(t.id) {
		return reply(jobs.Invalid, "id"), t.fields(), nil
	}
	if err := errors.CombineErrors(spec.Validate(), l.checkGangs(spec)); err != nil {
		return reply(jobs.Invalid, err.Error()), t.fields(), nil
	}
	q := t.queue
	submit := &jobs.Submit{
		ID: t.id, Queue: q.Name, Service: q.Service, Team: t.team, Priority: q.Priority,
		MaxAttempts: q.MaxAttempts, SlackFactor: q.SlackFactor, TargetMs: q.TargetMs, Spec: spec, Place: q.Place(), ConfigVersion: t.configVersion,
	}
	fields := append(t.fields(), specFields(spec)...)
	if rep, err := l.reserveStorage(submit); rep != nil || err != nil {
		return rep, fields, err
	}
	defer l.releaseStorage(submit.ID)
	admission, err := l.admit(ctx, req, submit)
	if err != nil {
		return nil, fields, err
	}
	fields = append(fields, admissionFields(admission, l.now())...)
	if admission != nil && admission.Refused() {
		rep, err := l.refusalReply(admission)
		return rep, fields, err
	}
	defer l.submitted(submit.ID)
	res, err := l.propose(ctx, jobs.Command{Submit: submit})
	fields = append(fields, zap.Int("priority", q.Priority), zap.Float64("slack", q.SlackFactor), zap.Int64("target", q.TargetMs))
	switch {
	case errors.Is(err, replog.ErrTooLarge):
		return reply(jobs.Invalid, err.Error()), fields, nil
	case err != nil:
		return nil, fields, err
	case errors.Is(res.Err, jobs.ErrConflict):
		return reply(jobs.Conflict, ""), fields, nil
	case res.Err != nil:
		return nil, fields, res.Err
	}
	return reply(jobs.Accepted, string(res.Phase)), fields, nil
}

// isStored reports whether a job with this id and specification is already stored.
func (l *leader) isStored(ctx context.Context, id string, spec *jobs.Spec) bool {
	found := false
	err := l.view(ctx, func(v jobs.View) {
		j, ok := v.Job(id)
		found = ok && reflect.DeepEqual(j.Spec, spec)
	})
	return err == nil && found
}

// specFields returns the log fields that describe a job and its first step.
func specFields(s *jobs.Spec) []zap.Field {
	st := s.Steps[0]
	return []zap.Field{
		zap.Int("steps", len(s.Steps)), zap.Int("tasks", s.Tasks()), zap.Int("times", s.RepeatCount), zap.Int64("cpu", st.CPU),
		zap.Int64("memory", st.Memory), zap.Int64("accels", st.Accels), zap.Int64("estimate", st.EstimateMs),
		zap.Bool("gang", st.Gang), zap.Bool("compact", st.RackLocal), zap.String("label", st.RequiredLabel),
		zap.String("datarack", st.DataRack), zap.Int("spread", st.MaxPerWorker), zap.Bool("saves", st.Checkpoints),
		zap.Bool("copies", st.Speculative), zap.Bool("lasts", st.LongRunning),
	}
}

// mayAccess reports whether a call may read or cancel a job.
func (t callTarget) mayAccess(j *jobs.Job) bool {
	return t.queue.Has(j) && (j.Team == "" || j.Team == t.team || t.queue.Public)
}

// cancel commits the cancellation of a job unless the job has ended.
func (l *leader) cancel(ctx context.Context, req *wire.JobCall) (*wire.JobReply, []zap.Field, error) {
	var t callTarget
	var rep *wire.JobReply
	err := l.view(ctx, func(v jobs.View) {
		if t, rep = findTarget(v.Config(), req); rep != nil {
			return
		}
		if j, ok := v.Job(t.id); !ok || !t.mayAccess(j) {
			rep = reply(jobs.NoJob, "")
		} else if j.Phase.Ended() {
			rep = reply(jobs.Stopped, string(j.Phase))
		}
	})
	if err != nil || rep != nil {
		return rep, t.fields(), err
	}
	res, err := l.propose(ctx, jobs.Command{Cancel: t.id})
	switch {
	case err != nil:
		return nil, t.fields(), err
	case errors.Is(res.Err, jobs.ErrUnknownJob):
		return reply(jobs.NoJob, ""), t.fields(), nil
	case res.Err != nil:
		return nil, t.fields(), res.Err
	}
	return reply(jobs.Stopped, string(res.Phase)), t.fields(), nil
}

// query returns the phase of a job, or the number of pending jobs of a queue.
func (l *leader) query(ctx context.Context, req *wire.JobCall) (*wire.JobReply, []zap.Field, error) {
	var t callTarget
	var rep *wire.JobReply
	err := l.view(ctx, func(v jobs.View) {
		if t, rep = findTarget(v.Config(), req); rep != nil {
			return
		}
		if t.id == "" {
			rep = &wire.JobReply{Outcome: string(jobs.Counted), Count: uint32(v.PendingCount(t.queue))}
			return
		}
		j, ok := v.Job(t.id)
		if !ok || !t.mayAccess(j) {
			rep = reply(jobs.NoJob, "")
			return
		}
		rep = reply(jobs.Answered, string(j.Phase))
	})
	return rep, t.fields(), err
}

// propose commits a command. It is fenced by the term: once another leader has
// committed its term, the command is rejected.
func (l *leader) propose(ctx context.Context, cmd jobs.Command) (jobs.Result, error) {
	cmd.Term, cmd.NowMs = l.term, l.c.env.Clock.Now().UnixMilli()
	data, err := jobs.Encode(cmd)
	if err != nil {
		return jobs.Result{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	startedAt := l.now()
	_, res, err := l.c.node.Propose(ctx, data)
	if err != nil {
		return jobs.Result{}, errors.Wrap(err, "commit")
	}
	l.c.metrics.commitTime.RecordDuration(l.now().Sub(startedAt))
	result, ok := res.(jobs.Result)
	if !ok {
		return jobs.Result{}, errors.Newf("unexpected result %T", res)
	}
	if errors.Is(result.Err, jobs.ErrFenced) {
		return result, errors.Wrap(replog.ErrNotLeader, result.Err.Error())
	}
	return result, nil
}
