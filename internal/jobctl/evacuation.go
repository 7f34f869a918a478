package jobctl

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/knapweedlug/knapweedlug/internal/jobs"
	"github.com/knapweedlug/knapweedlug/internal/wire"
)

// minBeginLimit is the least time for which an agent may begin runs after a clock reading. With less, the pauses between
// its reports would keep it from starting anything.
const minBeginLimit = 2500 * time.Millisecond

// beginLimit returns until when, on a worker's clock, its agent may begin runs on account of a report with the given
// reading of that clock, 0 for no limit. Whoever commits an evacuation later need not reach the agent: a start that it
// sends carries no later deadline, so that the worker refuses it after that time, even if its clock is slow.
func (s *Settings) beginLimit(clockMs int64, evacuated bool) int64 {
	if s.EvacuateMs == 0 {
		return 0
	}
	if evacuated {
		return clockMs
	}
	limit := time.Duration(float64(s.EvacuateMs)*(1-maxClockDrift))*time.Millisecond - leaseMargin
	return clockMs + max(limit, minBeginLimit).Milliseconds()
}

// Evacuate implements Operations.
func (c *Control) Evacuate(ctx context.Context, domain string) error {
	return c.setEvacuation(ctx, jobs.CallEvacuate, domain)
}

// Withdraw implements Operations.
func (c *Control) Withdraw(ctx context.Context, domain string) error {
	return c.setEvacuation(ctx, jobs.CallWithdraw, domain)
}

func (c *Control) setEvacuation(ctx context.Context, kind jobs.CallKind, domain string) error {
	rep, err := c.call(ctx, &wire.JobCall{Kind: string(kind), Path: domain})
	if err != nil {
		return errors.Wrap(errors.CombineErrors(ErrUnavailable, err), string(kind))
	}
	switch jobs.CallOutcome(rep.Outcome) {
	case jobs.Stored:
		return nil
	case jobs.NoDomain:
		return errors.Wrap(jobs.ErrUnknownDomain, domain)
	}
	// A leader of the release before doesn't know the call.
	return errors.Wrapf(ErrUnavailable, "%s: %s", rep.Outcome, rep.Detail)
}

// Evacuations implements Operations.
func (c *Control) Evacuations(ctx context.Context) ([]jobs.Evacuation, error) {
	rep, err := c.call(ctx, &wire.JobCall{Kind: string(jobs.CallEvacuations)})
	if err != nil {
		return nil, errors.Wrap(errors.CombineErrors(ErrUnavailable, err), "read evacuations")
	}
	if jobs.CallOutcome(rep.Outcome) != jobs.Answered {
		return nil, errors.Wrapf(ErrUnavailable, "%s: %s", rep.Outcome, rep.Detail)
	}
	var list []jobs.Evacuation
	if err := json.Unmarshal(rep.Body, &list); err != nil {
		return nil, errors.Wrap(errors.CombineErrors(ErrUnavailable, err), "decode evacuations")
	}
	return list, nil
}

// setEvacuation commits the evacuation of a failure domain or its withdrawal. The order that is committed last holds.
func (l *leader) setEvacuation(ctx context.Context, req *wire.JobCall) (*wire.JobReply, []zap.Field, error) {
	domain := req.Path
	fields := []zap.Field{zap.String("domain", domain)}
	if !l.knowsDomain(domain) {
		return reply(jobs.NoDomain, ""), fields, nil
	}
	if err := ctx.Err(); err != nil {
		return nil, fields, err // the operator has given up; what it sends next must not be overtaken
	}
	cmd := jobs.Command{Evacuate: domain}
	if jobs.CallKind(req.Kind) == jobs.CallWithdraw {
		cmd = jobs.Command{Withdraw: domain}
	}
	res, err := l.propose(ctx, cmd)
	if err != nil {
		return nil, fields, err
	}
	return reply(jobs.Stored, ""), fields, res.Err
}

// knowsDomain reports whether a failure domain may exist: it is in the settings, an agent has connected from there, or
// the settings name none.
func (l *leader) knowsDomain(domain string) bool {
	if !jobs.ValidDomain(domain) {
		return false
	}
	if len(l.c.cfg.Domains) == 0 || slices.Contains(l.c.cfg.Domains, domain) {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, h := range l.hosts {
		if h.domain == domain {
			return true
		}
	}
	return false
}

// listEvacuations returns the evacuations in force.
func (l *leader) listEvacuations(ctx context.Context) (*wire.JobReply, []zap.Field, error) {
	var list []jobs.Evacuation
	if err := l.view(ctx, func(v jobs.View) { list = v.Evacuations() }); err != nil {
		return nil, nil, err
	}
	body, err := json.Marshal(list)
	if err != nil {
		return nil, nil, errors.Wrap(err, "encode evacuations")
	}
	return &wire.JobReply{Outcome: string(jobs.Answered), Body: body}, nil, nil
}

// readEvacuation reads whether a host's failure domain is evacuated. The caller holds mu.
func (l *leader) readEvacuation(h *host) {
	l.c.state.Read(func(v jobs.View) { l.noteEvacuation(v, h) })
}

// noteEvacuation notes whether a host's failure domain is evacuated and returns whether that has changed. Orders to the
// host say so from then on. The caller holds mu.
func (l *leader) noteEvacuation(v jobs.View, h *host) bool {
	evacuated := v.Evacuated(h.domain)
	if evacuated == h.evacuated {
		return false
	}
	h.evacuated = evacuated
	l.log.Debug("host evacuated", zap.String("host", h.name), zap.String("domain", h.domain), zap.String("worker", h.worker.Name),
		zap.Bool("evacuated", evacuated), zap.Uint64("term", l.term))
	return true
}

// withdrawStart returns the orders for a run that was assigned to a worker in an evacuated failure domain and that the
// worker doesn't list. The agent gives up the runs that it hasn't begun by itself. A run that it doesn't report in
// time, because it has lost the order, is stopped. The caller holds mu.
func (l *leader) withdrawStart(h *host, k runKey, noted bool, now time.Time) []*wire.RunStop {
	if !noted {
		h.startsSent[k] = now
		return nil
	}
	if h.listsRun(k) {
		return nil
	}
	if st := l.stopOrder(h, k, jobs.RefusedEvacuated, now); st != nil {
		return []*wire.RunStop{st}
	}
	return nil
}
