package load

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/admit"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// The fleet of the scenarios.
const (
	serverCount = 10
	entryCount  = 2
	speedSpread = 4.0
	speedDrift  = 0.3
)

// The mix of requests in the Gradinka scenario. Medians are run times at speed 1.0
// in seconds; sigmas are those of log-normal distributions.
const (
	checkMedianSeconds  = 0.040
	checkSigma          = 0.5
	renderMedianSeconds = 2.0
	renderSigma         = 0.7
	stragglerFactor     = 10.0 // factor by which a straggler takes longer
	stragglerShare      = 0.02 // share of stragglers among the renders
	renderShare         = 0.3  // share of renders among the requests
	misdeclaredShare    = 0.05 // share of requests that declare the wrong class
	declaredSizeSigma   = 1.0  // error of declared sizes
)

func logNormal(rng *rand.Rand, median, sigma float64) float64 {
	return median * math.Exp(sigma*rng.NormFloat64())
}

// Gradinka returns the scenario "gradinka": short checks and long renders that
// together use the share load of the capacity. Without renders, the checks arrive
// at the same rate and the renders are left out.
func Gradinka(seed uint64, load float64, withRenders bool, duration time.Duration) Scenario {
	s := Scenario{
		Name: "gradinka", Seed: seed, EntryCount: entryCount, ServerCount: serverCount, SpeedSpread: speedSpread, SpeedDrift: speedDrift,
		Teams: []model.Team{
			{Name: "atelier", Slots: 24, Weight: 3},
			{Name: "cabinet", Slots: 16, Weight: 2},
			{Name: "garden", Slots: 16, Weight: 2},
			{Name: "studio", Slots: 8, Weight: 1},
		},
		Service: model.Service{Name: "design", ShortMs: 500, LimitMs: 600_000, Reserve: 0},
	}
	rng := rand.New(rand.NewPCG(seed, 1))
	rate := load * s.Capacity() / gradinkaMeanSize()
	for arrival := 0.0; ; {
		arrival += rng.ExpFloat64() / rate
		if arrival > duration.Seconds() {
			return s
		}
		j := newGradinkaJob(rng, s.Teams)
		if j.Long && !withRenders {
			continue
		}
		j.ID = strconv.Itoa(len(s.Jobs))
		j.Arrival = seconds(arrival)
		s.Jobs = append(s.Jobs, j)
	}
}

func gradinkaMeanSize() float64 {
	check := checkMedianSeconds * math.Exp(checkSigma*checkSigma/2)
	render := renderMedianSeconds * math.Exp(renderSigma*renderSigma/2) * (1 + stragglerShare*(stragglerFactor-1))
	return (1-renderShare)*check + renderShare*render
}

func newGradinkaJob(rng *rand.Rand, teams []model.Team) Job {
	j := Job{Entry: rng.IntN(entryCount), Team: teams[pickTeam(rng, teams)].Name, Urgency: model.Normal}
	j.Long = rng.Float64() < renderShare
	if j.Long {
		j.Size = logNormal(rng, renderMedianSeconds, renderSigma)
		if rng.Float64() < stragglerShare {
			j.Size *= stragglerFactor
		}
	} else {
		j.Size = logNormal(rng, checkMedianSeconds, checkSigma)
	}
	setDeclared(rng, &j)
	return j
}

func setDeclared(rng *rand.Rand, j *Job) {
	long := j.Long != (rng.Float64() < misdeclaredShare)
	j.DeclaredClass = admit.Short
	if long {
		j.DeclaredClass = admit.Long
	}
	j.DeclaredSizeMs = max(1, int64(1000*logNormal(rng, j.Size, declaredSizeSigma)))
}

func pickTeam(rng *rand.Rand, teams []model.Team) int {
	totalWeight := 0
	for _, t := range teams {
		totalWeight += t.Weight
	}
	remaining := rng.IntN(totalWeight)
	for i, t := range teams {
		remaining -= t.Weight
		if remaining < 0 {
			return i
		}
	}
	return len(teams) - 1
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
