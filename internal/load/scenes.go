package load

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/admit"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// Sizes of today's fleets.
const (
	servers = 10
	entries = 2
	spread  = 4.0
	drift   = 0.3
)

// The run times of Gradinka's work at speed 1.0, in seconds.
const (
	checkMedian  = 0.040
	checkSigma   = 0.5
	renderMedian = 2.0
	renderSigma  = 0.7
	straggler    = 10.0 // times longer than the rest
	stragglers   = 0.02 // share of the renders
	renderShare  = 0.3
	misdeclared  = 0.05 // share of requests that declare the wrong class
	declareSigma = 1.0  // how far off declared sizes are
)

func logNormal(rng *rand.Rand, median, sigma float64) float64 {
	return median * math.Exp(sigma*rng.NormFloat64())
}

// Gradinka returns checks and, if wanted, renders at a share of the capacity
// that checks and renders fill together.
func Gradinka(seed uint64, load float64, renders bool, length time.Duration) Scenario {
	s := Scenario{
		Name: "gradinka", Seed: seed, EntryCount: entries, ServerCount: servers, SpeedSpread: spread, SpeedDrift: drift,
		Teams: []model.Team{
			{Name: "atelier", Slots: 24, Weight: 3},
			{Name: "cabinet", Slots: 16, Weight: 2},
			{Name: "garden", Slots: 16, Weight: 2},
			{Name: "studio", Slots: 8, Weight: 1},
		},
		Service: model.Service{Name: "design", ShortMs: 500, LimitMs: 600_000, Reserve: 0},
	}
	rng := rand.New(rand.NewPCG(seed, 1))
	rate := load * s.Capacity() / gradinkaMean()
	for at := 0.0; ; {
		at += rng.ExpFloat64() / rate
		if at > length.Seconds() {
			return s
		}
		j := gradinkaJob(rng, s.Teams)
		if j.Long && !renders {
			continue
		}
		j.ID = strconv.Itoa(len(s.Jobs))
		j.Arrival = seconds(at)
		s.Jobs = append(s.Jobs, j)
	}
}

func gradinkaMean() float64 {
	check := checkMedian * math.Exp(checkSigma*checkSigma/2)
	render := renderMedian * math.Exp(renderSigma*renderSigma/2) * (1 + stragglers*(straggler-1))
	return (1-renderShare)*check + renderShare*render
}

func gradinkaJob(rng *rand.Rand, teams []model.Team) Job {
	j := Job{Entry: rng.IntN(entries), Team: teams[pickTeam(rng, teams)].Name, Urgency: model.Normal}
	j.Long = rng.Float64() < renderShare
	if j.Long {
		j.Size = logNormal(rng, renderMedian, renderSigma)
		if rng.Float64() < stragglers {
			j.Size *= straggler
		}
	} else {
		j.Size = logNormal(rng, checkMedian, checkSigma)
	}
	declare(rng, &j)
	return j
}

func declare(rng *rand.Rand, j *Job) {
	long := j.Long != (rng.Float64() < misdeclared)
	j.DeclaredClass = admit.Short
	if long {
		j.DeclaredClass = admit.Long
	}
	j.DeclaredSizeMs = max(1, int64(1000*logNormal(rng, j.Size, declareSigma)))
}

func pickTeam(rng *rand.Rand, teams []model.Team) int {
	sum := 0
	for _, t := range teams {
		sum += t.Weight
	}
	at := rng.IntN(sum)
	for i, t := range teams {
		at -= t.Weight
		if at < 0 {
			return i
		}
	}
	return len(teams) - 1
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
