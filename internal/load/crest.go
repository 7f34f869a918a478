package load

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// The phases of the crest.
const (
	OverloadStart  = 30 * time.Second
	OverloadEnd    = 90 * time.Second
	CrestDuration = 120 * time.Second

	calmLoad    = 0.6
	crestLoad   = 3.0
	quietLoad   = 0.05 // of the team within its guarantee, at all times
	urgentShare = 0.15

	bookMedian   = 0.050
	bookSigma    = 0.6
	patternShare = 0.02 // renders of patterns among the bookings
	patternSize  = 1.0
	patternSigma = 0.5

	urgentLimit  = time.Second
	bookLimit    = 2 * time.Second
	patternLimit = 15 * time.Second
)

// QuietTeam stays within its guarantee while the others bring the crest.
const QuietTeam = "pressing"

// Crest returns a crest of three times the capacity for a minute, with a calm
// time before and after it.
func Crest(seed uint64) Scenario {
	return CustomCrest(seed, servers, OverloadStart, OverloadEnd, CrestDuration)
}

// CustomCrest returns a crest from start to end for a number of backend servers.
func CustomCrest(seed uint64, count int, start, end, finish time.Duration) Scenario {
	s := Scenario{
		Name: "crest", Seed: seed, EntryCount: entries, ServerCount: count, SpeedSpread: spread, SpeedDrift: drift,
		Teams: []model.Team{
			{Name: "krakow", Slots: 24, Weight: 3},
			{Name: "tarnow", Slots: 16, Weight: 2},
			{Name: "kielce", Slots: 8, Weight: 1},
			{Name: QuietTeam, Slots: 16, Weight: 1},
		},
		Service: model.Service{Name: "rota", ShortMs: 400, LimitMs: 15_000, Reserve: 1},
	}
	for i := range s.Teams {
		s.Teams[i].Slots = s.Teams[i].Slots * count / servers
	}
	rng := rand.New(rand.NewPCG(seed, 1))
	crowd, quiet := s.Teams[:3], s.Teams[3:]
	s.addPart(rng, 0, start, calmLoad, crowd)
	s.addPart(rng, start, end, crestLoad, crowd)
	s.addPart(rng, end, finish, calmLoad, crowd)
	s.addPart(rng, 0, finish, quietLoad, quiet)
	return s
}

func crestMean() float64 {
	book := bookMedian * math.Exp(bookSigma*bookSigma/2)
	pattern := patternSize * math.Exp(patternSigma*patternSigma/2)
	return (1-patternShare)*book + patternShare*pattern
}

func (s *Scenario) addPart(rng *rand.Rand, from, to time.Duration, load float64, teams []model.Team) {
	rate := load * s.Capacity() / crestMean()
	for at := from.Seconds(); ; {
		at += rng.ExpFloat64() / rate
		if at > to.Seconds() {
			return
		}
		j := crestJob(rng, teams, seconds(at))
		j.ID = strconv.Itoa(len(s.Jobs))
		s.Jobs = append(s.Jobs, j)
	}
}

func crestJob(rng *rand.Rand, teams []model.Team, at time.Duration) Job {
	j := Job{Entry: rng.IntN(entries), Team: teams[pickTeam(rng, teams)].Name, Urgency: model.Normal, Arrival: at}
	j.Long = rng.Float64() < patternShare
	switch {
	case j.Long:
		j.Size = logNormal(rng, patternSize, patternSigma)
		j.Deadline = at + patternLimit
	case rng.Float64() < urgentShare:
		j.Urgency = model.Urgent
		j.Size = logNormal(rng, bookMedian, bookSigma)
		j.Deadline = at + urgentLimit
	default:
		j.Size = logNormal(rng, bookMedian, bookSigma)
		j.Deadline = at + bookLimit
	}
	declare(rng, &j)
	return j
}
