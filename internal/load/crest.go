package load

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// The parameters of the crest scenario: the start and end of its overload, its
// duration, its loads relative to the capacity, and its mix of requests. Medians
// are run times at speed 1.0, and deadlines are relative to the arrival.
const (
	OverloadStart = 30 * time.Second
	OverloadEnd   = 90 * time.Second
	CrestDuration = 120 * time.Second

	normalLoad    = 0.6  // before and after the overload
	overloadLoad  = 3.0  // during the overload
	quietTeamLoad = 0.05 // of QuietTeam, all the time
	urgentShare   = 0.15 // of the bookings

	bookingMedianSeconds = 0.050
	bookingSigma         = 0.6
	patternShare         = 0.02 // share of long pattern renderings; the other requests are bookings
	patternMedianSeconds = 1.0
	patternSigma         = 0.5

	urgentDeadline  = time.Second
	bookingDeadline = 2 * time.Second
	patternDeadline = 15 * time.Second
)

// QuietTeam is the team that stays within its guarantee while the other teams
// overload the fleet.
const QuietTeam = "pressing"

// Crest returns the scenario "crest": an overload of three times the capacity for
// a minute, with normal load before and after it.
func Crest(seed uint64) Scenario {
	return CustomCrest(seed, serverCount, OverloadStart, OverloadEnd, CrestDuration)
}

// CustomCrest returns a crest scenario for count backend servers that lasts until
// finish and is overloaded from start to end.
func CustomCrest(seed uint64, count int, start, end, finish time.Duration) Scenario {
	s := Scenario{
		Name: "crest", Seed: seed, EntryCount: entryCount, ServerCount: count, SpeedSpread: speedSpread, SpeedDrift: speedDrift,
		Teams: []model.Team{
			{Name: "krakow", Slots: 24, Weight: 3},
			{Name: "tarnow", Slots: 16, Weight: 2},
			{Name: "kielce", Slots: 8, Weight: 1},
			{Name: QuietTeam, Slots: 16, Weight: 1},
		},
		Service: model.Service{Name: "rota", ShortMs: 400, LimitMs: 15_000, Reserve: 1},
	}
	for i := range s.Teams {
		s.Teams[i].Slots = s.Teams[i].Slots * count / serverCount
	}
	rng := rand.New(rand.NewPCG(seed, 1))
	otherTeams, quietTeam := s.Teams[:3], s.Teams[3:]
	s.addArrivals(rng, 0, start, normalLoad, otherTeams)
	s.addArrivals(rng, start, end, overloadLoad, otherTeams)
	s.addArrivals(rng, end, finish, normalLoad, otherTeams)
	s.addArrivals(rng, 0, finish, quietTeamLoad, quietTeam)
	return s
}

func crestMeanSize() float64 {
	booking := bookingMedianSeconds * math.Exp(bookingSigma*bookingSigma/2)
	pattern := patternMedianSeconds * math.Exp(patternSigma*patternSigma/2)
	return (1-patternShare)*booking + patternShare*pattern
}

func (s *Scenario) addArrivals(rng *rand.Rand, from, to time.Duration, load float64, teams []model.Team) {
	rate := load * s.Capacity() / crestMeanSize()
	for arrival := from.Seconds(); ; {
		arrival += rng.ExpFloat64() / rate
		if arrival > to.Seconds() {
			return
		}
		j := newCrestJob(rng, teams, seconds(arrival))
		j.ID = strconv.Itoa(len(s.Jobs))
		s.Jobs = append(s.Jobs, j)
	}
}

func newCrestJob(rng *rand.Rand, teams []model.Team, arrival time.Duration) Job {
	j := Job{Entry: rng.IntN(entryCount), Team: teams[pickTeam(rng, teams)].Name, Urgency: model.Normal, Arrival: arrival}
	j.Long = rng.Float64() < patternShare
	switch {
	case j.Long:
		j.Size = logNormal(rng, patternMedianSeconds, patternSigma)
		j.Deadline = arrival + patternDeadline
	case rng.Float64() < urgentShare:
		j.Urgency = model.Urgent
		j.Size = logNormal(rng, bookingMedianSeconds, bookingSigma)
		j.Deadline = arrival + urgentDeadline
	default:
		j.Size = logNormal(rng, bookingMedianSeconds, bookingSigma)
		j.Deadline = arrival + bookingDeadline
	}
	setDeclared(rng, &j)
	return j
}
