package jobctl

import (
	"cmp"
	"math"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/knapweedlug/knapweedlug/internal/allot"
	"github.com/knapweedlug/knapweedlug/internal/jobs"
)

const (
	// shareLogInterval is the least time between two log lines on shares.
	shareLogInterval = time.Second
	// maxLoggedTeams is the maximum number of teams in one log line.
	maxLoggedTeams = 8
	// maxTeamGauges is the maximum number of teams with gauges of their own. The others have none, so that the number of
	// metrics doesn't grow with each renamed team.
	maxTeamGauges = 32
)

// teamDump is a team's use of resources and its share in the last plan.
type teamDump struct {
	Team    string   `json:"team"`
	Held    jobs.Use `json:"held"`
	Lately  jobs.Use `json:"lately"`            // on average
	Share   float64  `json:"share"`             // of the fleet, 0 if shares didn't decide in the last plan
	Waiting int      `json:"waiting,omitempty"` // tasks that waited for too little room in the last plan
}

// shareReport holds what is logged and dumped about the shares of teams.
type shareReport struct {
	loggedAt time.Time
	last     []allot.TeamShare // of the last plan
	gauges   map[string]bool   // teams that have gauges
}

// planUse returns the teams' use of resources for a plan.
func planUse(v jobs.View) map[string]allot.TeamUse {
	use := map[string]allot.TeamUse{}
	for team, u := range v.TeamUse() {
		use[team] = allot.TeamUse{Held: allot.ResourcesOf(u.Held), Lately: allot.ResourcesOf(u.Lately)}
	}
	return use
}

// reportShares logs the shares of the teams between which a plan has decided, and updates the metrics.
func (l *leader) reportShares(shares []allot.TeamShare) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updateShareGauges(shares)
	l.shares.last = shares
	if now := l.now(); len(shares) > 0 && now.Sub(l.shares.loggedAt) >= shareLogInterval {
		l.shares.loggedAt = now
		l.log.Info("shares", zap.Int("teams", len(shares)), zap.Objects("most", largestShares(shares)), zap.Uint64("term", l.term))
	}
}

// updateShareGauges updates the metrics. The caller holds mu.
func (l *leader) updateShareGauges(shares []allot.TeamShare) {
	l.c.metrics.teamsContending.Update(float64(len(shares)))
	present := map[string]bool{}
	for _, s := range shares {
		if !l.shares.gauges[s.Team] && len(l.shares.gauges) == maxTeamGauges {
			continue
		}
		l.shares.gauges[s.Team], present[s.Team] = true, true
		l.c.metrics.setTeam(s.Team, s.Share, s.Waiting)
	}
	for _, s := range l.shares.last {
		if l.shares.gauges[s.Team] && !present[s.Team] {
			l.c.metrics.setTeam(s.Team, 0, 0)
		}
	}
}

// largestShares returns the teams with the largest shares, at most maxLoggedTeams, the largest first.
func largestShares(shares []allot.TeamShare) []loggedShare {
	sorted := slices.SortedFunc(slices.Values(shares), func(a, b allot.TeamShare) int {
		return cmp.Or(-cmp.Compare(a.Share, b.Share), cmp.Compare(a.Team, b.Team))
	})
	var list []loggedShare
	for _, s := range sorted[:min(len(sorted), maxLoggedTeams)] {
		list = append(list, loggedShare(s))
	}
	return list
}

// teamDumps returns the teams' use of resources, by name.
func (l *leader) teamDumps(use map[string]jobs.TeamUse) []teamDump {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []teamDump
	for team, u := range use {
		d := teamDump{Team: team, Held: u.Held, Lately: u.Lately}
		for _, s := range l.shares.last {
			if s.Team == team {
				d.Share, d.Waiting = math.Round(s.Share*1000)/1000, s.Waiting
			}
		}
		list = append(list, d)
	}
	slices.SortFunc(list, func(a, b teamDump) int { return cmp.Compare(a.Team, b.Team) })
	return list
}
