package jobctl

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/knapweedlug/knapweedlug/internal/kern"
	"github.com/knapweedlug/knapweedlug/internal/replog"
)

const (
	quorumInterval = 500 * time.Millisecond // between observations of the status
	// leaderlessWarnDelay is how long a replica may be without a leader before a warning
	// is logged; an election takes up to 1.2 s.
	leaderlessWarnDelay = 2 * time.Second
	// leaderlessWarnInterval is the interval between further warnings.
	leaderlessWarnInterval = 5 * time.Second
	// voterSilenceLimit is how long a voter may be silent and still count as reached;
	// replicas without a leader send messages at least every 1.2 s.
	voterSilenceLimit = 2500 * time.Millisecond
)

// quorumMonitor logs which voters are silent while a replica has no leader.
type quorumMonitor struct {
	log             *zap.Logger
	clock           kern.Clock
	metrics         metrics
	leaderlessSince time.Time // since when there is no leader, zero while there is one
	nextWarning     time.Time // when the next warning is logged
	warned          bool      // a warning has been logged
}

func newQuorumMonitor(env *kern.Env, m metrics) *quorumMonitor {
	return &quorumMonitor{log: env.Log, clock: env.BootClock, metrics: m}
}

// observe processes a replica's status. leaderFound is whether the process has found a
// leader itself, since the log doesn't tell a non-member who leads.
func (q *quorumMonitor) observe(st replog.Status, leaderFound bool) {
	now := q.clock.Now()
	var silent []string
	for _, v := range st.Voters {
		if now.Sub(v.LastHeard) > voterSilenceLimit {
			silent = append(silent, v.Name+"/"+v.Incarnation)
		}
	}
	reached := len(st.Voters) - len(silent)
	q.metrics.voters.Update(float64(len(st.Voters)))
	q.metrics.votersReached.Update(float64(reached))
	hasLeader := st.Leader != "" || leaderFound && !slices.ContainsFunc(st.Members, func(m replog.Member) bool { return m.Incarnation == st.Incarnation })
	switch {
	case hasLeader && q.warned:
		q.log.Info("leader known again", zap.String("leader", st.Leader), zap.Uint64("term", st.Term), zap.Duration("after", now.Sub(q.leaderlessSince)))
		q.leaderlessSince, q.warned = time.Time{}, false
	case hasLeader:
		q.leaderlessSince = time.Time{}
	case q.leaderlessSince.IsZero():
		q.leaderlessSince, q.nextWarning = now, now.Add(leaderlessWarnDelay)
	case !now.Before(q.nextWarning):
		q.nextWarning, q.warned = now.Add(leaderlessWarnInterval), true
		q.log.Warn("no leader", zap.Duration("for", now.Sub(q.leaderlessSince)), zap.String("standing", string(st.Role)), zap.Uint64("term", st.Term),
			zap.Int("voters", len(st.Voters)), zap.Int("reached", reached), zap.Int("quorum", st.Quorum()),
			zap.Strings("silent", silent), zap.Uint64("last", st.LastIndex), zap.Bool("vouched", st.VotingAllowed), zap.String("refused", st.Refused))
	}
}
