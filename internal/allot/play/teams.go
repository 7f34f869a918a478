package play

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/allot"
	"github.com/knapweedlug/knapweedlug/internal/jobs"
)

// minShareDifference is the least difference of shares that counts, as in the settings by default.
const minShareDifference = 1

// callDetailClasses are the job classes of the call detail look-up deployment at 73 workers.
var callDetailClasses = []jobClass{
	{"sweep", 1, 0.654, 7.6, 45, 13000, 34000, []int64{1, 2, 4, 8, 8}, 7200 * time.Millisecond, 0.3, 1, 0.6, 0.45, 0, 3, time.Second, 3, 0.9, 0.2, 5, 0.005},
	{"lookup", 0, 1.29, 5.4, 32, 3700, 9800, []int64{1, 2, 4, 8, 8}, 2100 * time.Millisecond, 0.5, 1, 0.8, 0, 0, 1.5, 300 * time.Millisecond, 4, 0.8, 0.5, 0, 0.05},
	{"extract", 2, 0.298, 39, 230, 2800, 4100, []int64{1}, 8100 * time.Millisecond, 0.3, 0, 0, 0.45, 0, 3, 3 * time.Second, 1, 0.3, 0.9, 4, 0.02},
}

// hutBookingClasses are the job classes of the hut booking deployment at 66 workers.
var hutBookingClasses = []jobClass{
	{"alloc", 1, 0.6, 6.8, 41, 26000, 110000, []int64{1, 2, 4, 8, 8}, 8500 * time.Millisecond, 0.3, 1, 0.6, 0.45, 0, 3, time.Second, 3, 1.5, 0.5, 5, 0.005},
	{"check", 0, 1.07, 5.4, 32, 7500, 22000, []int64{1, 2, 4, 8, 8}, 2500 * time.Millisecond, 0.5, 1, 0.8, 0, 0, 1.5, 250 * time.Millisecond, 4, 0.8, 0.5, 0, 0.05},
	{"manifest", 2, 0.31, 39, 230, 5600, 16000, []int64{1}, 7600 * time.Millisecond, 0.3, 0, 0, 0.45, 0, 3, 3 * time.Second, 1, 0.5, 0.5, 4, 0.02},
}

// CallDetail returns the load of the call detail look-up deployment.
func CallDetail(rateFactor float64) LoadConfig {
	return LoadConfig{
		Hosts: 73, HostsPerRack: 8, Memory: 65536, Teams: 10, Speeds: []float64{1, 1, 1.3}, BurstFactor: 1.9, Duration: 34 * time.Second,
		RateFactor: rateFactor, LostWorkCost: 0.0011, StopDelay: 300 * time.Millisecond, classes: callDetailClasses,
	}
}

// HutBooking returns the load of the hut booking deployment.
func HutBooking(rateFactor float64) LoadConfig {
	return LoadConfig{
		Hosts: 66, HostsPerRack: 8, CPU: 64000, Memory: 262144, Teams: 10, Speeds: []float64{0.55, 1.2, 1.2, 1.2}, BurstFactor: 2.3, Duration: 34 * time.Second,
		RateFactor: rateFactor, LostWorkCost: 0.0011, StopDelay: 300 * time.Millisecond, classes: hutBookingClasses,
	}
}

// busyTeamJobs returns the additional jobs of a team that submits more than usual. They are drawn apart, so that the
// others are the same without them.
func (cfg LoadConfig) busyTeamJobs(seed uint64, teams []string, index int) []Job {
	if cfg.BusyFactor <= 1 {
		return nil
	}
	rng := rand.New(rand.NewPCG(seed, 2))
	var list []Job
	for _, c := range cfg.classes {
		rate := c.perSecond * cfg.RateFactor * (cfg.BusyFactor - 1) / float64(cfg.Teams)
		for at := cfg.Duration / 6; ; {
			at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
			if at > cfg.Duration*2/3 {
				break
			}
			list = append(list, c.newJob(rng, cfg.Lead+at, teams[len(teams)-1:], index+len(list), cfg))
		}
	}
	return list
}

// ByDeadlineOnly is the planner without the shares of teams.
func ByDeadlineOnly(in allot.Input) allot.Plan {
	in.Use = nil
	return allot.MakePlan(in)
}

// ByShares returns the planner with the given least difference of shares that counts.
func ByShares(minDifference float64) Policy {
	return func(in allot.Input) allot.Plan {
		in.MinShareDifference = minDifference
		return allot.MakePlan(in)
	}
}

// TeamValueShares returns the share of the possible value that each team earned.
func (r Result) TeamValueShares() map[string]float64 {
	earned, possible := map[string]float64{}, map[string]float64{}
	for _, o := range r.Jobs {
		earned[o.Job.Team] += o.EarnedValue()
		possible[o.Job.Team] += o.Job.Value
	}
	for team := range earned {
		earned[team] /= possible[team]
	}
	return earned
}

// WorstTeam returns the least of the teams' shares of their possible value.
func (r Result) WorstTeam() float64 {
	return slices.Min(append(slices.Collect(maps.Values(r.TeamValueShares())), 1))
}

// teamUse keeps what teams held lately, on average.
type teamUse struct {
	lately map[string]jobs.Use
	at     time.Duration
}

// update advances the means to the present and returns what teams hold and held lately.
func (u *teamUse) update(sim *simulation) map[string]allot.TeamUse {
	held := map[string]jobs.Use{}
	for _, list := range sim.tasksOn {
		for _, t := range list {
			h := held[t.job.Team]
			held[t.job.Team] = jobs.Use{CPU: h.CPU + float64(t.job.PerTask.CPU), Memory: h.Memory + float64(t.job.PerTask.Memory), Accels: h.Accels + float64(t.job.PerTask.Accels)}
		}
	}
	lately := map[string]jobs.Use{}
	for team := range sim.scenario.Guarantees {
		lately[team] = u.lately[team].Decayed(held[team], float64((sim.now - u.at).Milliseconds()))
	}
	u.lately, u.at = lately, sim.now
	use := map[string]allot.TeamUse{}
	for team := range lately {
		use[team] = allot.TeamUse{Held: allot.ResourcesOf(held[team]), Lately: allot.ResourcesOf(lately[team])}
	}
	return use
}
