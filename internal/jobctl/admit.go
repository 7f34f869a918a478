package jobctl

import (
	"context"
	"encoding/json"
	"maps"
	"math"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/knapweedlug/knapweedlug/internal/allot"
	"github.com/knapweedlug/knapweedlug/internal/jobs"
	"github.com/knapweedlug/knapweedlug/internal/wire"
)

// AdmissionPolicy tells which jobs are accepted.
type AdmissionPolicy string

// The admission policies.
const (
	AdmitAll        AdmissionPolicy = "all"      // every valid job
	AdmitByForecast AdmissionPolicy = "forecast" // all but those that can't be complete while that has a value
)

const (
	// maxInputAge is how old the last plan's input may be for a refusal. It is several times the
	// interval of plans; an overloaded leader accepts.
	maxInputAge = time.Second
	// maxRefusals bounds the number of refused jobs that are remembered.
	maxRefusals = 10000
)

// refusal is a job that was refused by this leader.
type refusal struct {
	promise   allot.Promise
	firstAt   time.Time // when it first arrived
	accepted  bool      // it has come back and was accepted
	expiresAt time.Time // when it is forgotten
}

// admit decides whether a job is accepted, and remembers it if it isn't. It returns nil if there is nothing to decide.
// A job that may be stored already is never refused, since a refusal promises that the job never runs.
func (l *leader) admit(ctx context.Context, req *wire.JobCall, submit *jobs.Submit) (*allot.Admission, error) {
	if l.c.cfg.Admission != AdmitByForecast {
		return nil, nil
	}
	accepted := req.Again || submit.Spec.RepeatCount > 0
	if !accepted {
		if err := l.view(ctx, func(v jobs.View) { _, accepted = v.Job(submit.ID) }); err != nil {
			return nil, err
		}
	}
	if accepted {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.submitting[submit.ID]++
		return nil, nil
	}
	return l.admitNew(submit), nil
}

// admitNew decides on a job that wasn't stored a moment ago. Unless it refuses the job, submitted has to be called once
// the job is committed.
func (l *leader) admitNew(submit *jobs.Submit) *allot.Admission {
	l.mu.Lock()
	defer l.mu.Unlock()
	var a *allot.Admission
	l.c.state.Read(func(v jobs.View) { // mu is always locked before the state
		_, stored := v.Job(submit.ID)
		if !stored && l.submitting[submit.ID] == 0 { // else another attempt has been or is being committed
			a = l.decideAdmission(v, submit)
		}
	})
	if a != nil {
		l.c.metrics.countAdmission(a.Reason)
	}
	if a == nil || !a.Refused() {
		l.submitting[submit.ID]++
	}
	return a
}

// submitted notes that an attempt to commit a job that wasn't refused has ended.
func (l *leader) submitted(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.submitting[id]--; l.submitting[id] <= 0 {
		delete(l.submitting, id)
	}
}

// decideAdmission decides on a job by the input of the last plan. It returns nil if that is too old. The caller holds
// mu.
func (l *leader) decideAdmission(v jobs.View, submit *jobs.Submit) *allot.Admission {
	now := l.now()
	if l.lastInput == nil || now.Sub(l.lastInput.Now) > maxInputAge {
		return nil
	}
	l.forgetRefusals(now)
	in := *l.lastInput
	in.Now = now
	a := in.Admit(l.firstStep(v, submit), l.promises())
	r, again := l.refusals[submit.ID]
	switch {
	case a.Refused() && !again && len(l.refusals) < maxRefusals:
		step := l.firstStep(v, submit)
		l.refusals[submit.ID] = refusal{
			promise: allot.Promise{Step: step, RetryAt: a.RetryAt}, firstAt: now,
			expiresAt: a.RetryAt.Add(time.Duration(l.c.cfg.RememberSeconds * float64(time.Second))),
		}
	case !a.Refused() && again:
		r.accepted, r.expiresAt = true, r.promise.Step.HardDeadline.Add(now.Sub(r.firstAt))
		l.refusals[submit.ID] = r
	}
	return &a
}

// forgetRefusals drops the refused jobs whose callers haven't come back for too long. The caller holds mu.
func (l *leader) forgetRefusals(now time.Time) {
	maps.DeleteFunc(l.refusals, func(_ string, r refusal) bool { return now.After(r.expiresAt) })
}

// promises returns the refused jobs whose callers are expected back. The caller holds mu.
func (l *leader) promises() []allot.Promise {
	var list []allot.Promise
	for _, r := range l.refusals {
		if !r.accepted {
			list = append(list, r.promise)
		}
	}
	return list
}

// placeOf returns the deadline by which a step of a job is ordered: if the job was refused at first, the one that it
// would have had then. The caller holds mu.
func (l *leader) placeOf(j *jobs.Job, deadline time.Time) time.Time {
	r, ok := l.refusals[j.ID]
	if !ok {
		return time.Time{}
	}
	return deadline.Add(-max(0, l.acceptedAt(j).Sub(r.firstAt)))
}

// firstStep describes the step that a job would begin with if it were accepted now: of several, the one with the most
// work after it. The caller holds mu.
func (l *leader) firstStep(v jobs.View, submit *jobs.Submit) allot.PendingStep {
	wallMs := l.c.env.Clock.Now().UnixMilli()
	j := &jobs.Job{
		ID: submit.ID, Queue: submit.Queue, Service: submit.Service, Team: submit.Team, Priority: submit.Priority, SlackFactor: submit.SlackFactor,
		TargetMs: submit.TargetMs, Spec: submit.Spec, AcceptedMs: wallMs, AcceptedIndex: math.MaxUint64,
	}
	defer delete(l.acceptTimes, j.ID) // it isn't accepted yet
	first := allot.PendingStep{}
	for i, st := range j.Spec.Steps {
		if len(st.DependsOn) > 0 {
			continue
		}
		p, ok := l.pendingStep(j, 0, i, nil)
		l.setDeadlines(&p, j, i, 0, wallMs)
		if ok && (first.Job == "" || p.TaskDuration+p.RestDuration > first.TaskDuration+first.RestDuration) {
			first = p
		}
	}
	for _, st := range j.Spec.Steps {
		first.LongRunning = first.LongRunning || st.LongRunning
	}
	first.Guaranteed = l.wouldBeGuaranteed(v, j)
	return first
}

// wouldBeGuaranteed reports whether a job would be within its team's guarantee if it were accepted now.
func (l *leader) wouldBeGuaranteed(v jobs.View, j *jobs.Job) bool {
	if j.Priority != 0 {
		return false
	}
	used := totalAccels(j.Spec)
	for id := range l.guaranteedJobs(v) {
		if other, ok := v.Job(id); ok && other.Team == j.Team {
			used += totalAccels(other.Spec)
		}
	}
	return used <= v.Config().Guarantee(j.Team)
}

// refusalReply returns the reply to a refused job.
func (l *leader) refusalReply(a *allot.Admission) (*wire.JobReply, error) {
	body, err := json.Marshal(jobs.Refusal{Reason: string(a.Reason), RetryMs: a.RetryAt.Sub(l.now()).Milliseconds()})
	if err != nil {
		return nil, errors.Wrap(err, "encode refusal")
	}
	return &wire.JobReply{Outcome: string(jobs.Refused), Detail: string(a.Reason), Body: body}, nil
}

// admissionFields returns the log fields that tell what a decision was based on.
func admissionFields(a *allot.Admission, now time.Time) []zap.Field {
	if a == nil {
		return nil
	}
	fields := []zap.Field{zap.String("admission", string(a.Reason))}
	if !a.Refused() {
		return fields
	}
	return append(fields, zap.Duration("retry", a.RetryAt.Sub(now)), zap.Duration("best", a.Best.End.Sub(now)), zap.Duration("begin", a.Expected.Begin.Sub(now)),
		zap.Duration("end", a.Expected.End.Sub(now)), zap.Float64("ahead", a.Expected.Ahead), zap.Float64("room", a.Expected.Room))
}
