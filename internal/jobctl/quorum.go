package jobctl

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/knapweedlug/knapweedlug/internal/kern"
	"github.com/knapweedlug/knapweedlug/internal/replog"
)

const (
	quorumCheck = 500 * time.Millisecond // between observations of the status
	// leaderless is how long a replica may be without a leader before a warning is
	// logged; an election takes up to 1.2 s.
	leaderless = 2 * time.Second
	// leaderlessAgain is the interval between further warnings.
	leaderlessAgain = 5 * time.Second
	// silentAfter is how long a voter may be silent and still count as reached;
	// replicas without a leader send messages at least every 1.2 s.
	silentAfter = 2500 * time.Millisecond
)

// quorumWatch logs which voters are silent while a replica has no leader.
type quorumWatch struct {
	log    *zap.Logger
	clock  kern.Clock
	meters meters
	since  time.Time // since when there is no leader, zero while there is one
	next   time.Time // when the next warning is logged
	told   bool      // a warning has been logged
}

func newQuorumWatch(env *kern.Env, m meters) *quorumWatch {
	return &quorumWatch{log: env.Log, clock: env.Boot, meters: m}
}

// look updates the watch from a replica's status. found is whether the process has
// found a leader itself, since the log doesn't tell a non-member who leads.
func (q *quorumWatch) look(st replog.Status, found bool) {
	now := q.clock.Now()
	var silent []string
	for _, v := range st.Voters {
		if now.Sub(v.Heard) > silentAfter {
			silent = append(silent, v.Name+"/"+v.Incarnation)
		}
	}
	reached := len(st.Voters) - len(silent)
	q.meters.voters.Update(float64(len(st.Voters)))
	q.meters.reached.Update(float64(reached))
	led := st.Leader != "" || found && !slices.ContainsFunc(st.Members, func(m replog.Member) bool { return m.Incarnation == st.Incarnation })
	switch {
	case led && q.told:
		q.log.Info("leader known again", zap.String("leader", st.Leader), zap.Uint64("term", st.Term), zap.Duration("after", now.Sub(q.since)))
		q.since, q.told = time.Time{}, false
	case led:
		q.since = time.Time{}
	case q.since.IsZero():
		q.since, q.next = now, now.Add(leaderless)
	case !now.Before(q.next):
		q.next, q.told = now.Add(leaderlessAgain), true
		q.log.Warn("no leader", zap.Duration("for", now.Sub(q.since)), zap.String("standing", string(st.Role)), zap.Uint64("term", st.Term),
			zap.Int("voters", len(st.Voters)), zap.Int("reached", reached), zap.Int("quorum", st.Quorum()),
			zap.Strings("silent", silent), zap.Uint64("last", st.Last), zap.Bool("vouched", st.Vouched), zap.String("refused", st.Refused))
	}
}
