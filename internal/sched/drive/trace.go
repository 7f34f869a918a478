package drive

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// Arrival is a job with its actual run time.
type Arrival struct {
	Job model.Job
	Run time.Duration // at speed 1.0
}

// Load describes the arrivals to generate.
type Load struct {
	Seed  uint64
	Jobs  int
	Level float64 // work that arrives as a share of the fleet's capacity
	Teams int
	Sizes []Size
}

// Size is the size of a gang with its share of the jobs.
type Size struct {
	Share   float64
	Members int
	Accels  int
	Near    model.Near
}

// TodaySizes are the gang sizes for today's fleets.
var TodaySizes = []Size{
	{0.40, 1, 1, model.NearWorker},
	{0.15, 1, 2, model.NearWorker},
	{0.15, 1, 4, model.NearWorker},
	{0.20, 1, 8, model.NearWorker},
	{0.07, 2, 8, model.NearRack},
	{0.03, 3, 8, model.NearDomain},
}

// PlannedSizes are the gang sizes for the planned fleet.
var PlannedSizes = []Size{
	{0.40, 1, 1, model.NearWorker},
	{0.15, 1, 2, model.NearWorker},
	{0.15, 1, 4, model.NearWorker},
	{0.20, 1, 8, model.NearWorker},
	{0.07, 2, 8, model.NearRack},
	{0.03, 8, 8, model.NearDomain},
}

const (
	medianRun    = 10 * time.Minute
	spreadRun    = 1.3 // sigma of the logarithm; gives a heavy tail
	longestRun   = 12 * time.Hour
	spreadGuess  = 0.8 // sigma of the logarithm of the ratio of declared to actual run time
	shareStop    = 0.7 // share of jobs that can be checkpointed and stopped
	shareUrgent  = 0.1
	shareLow     = 0.3
	coresPer     = 3
	memoryPer    = 12 << 30
	tracesBegin  = 1_700_000_000 // Unix seconds
	streamOfSeed = 6
)

// Draw generates arrivals that load the fleet to the given level of its capacity.
func Draw(l Load, ws []model.Worker) []Arrival {
	r := rand.New(rand.NewPCG(l.Seed, streamOfSeed))
	as := make([]Arrival, l.Jobs)
	work := 0.0
	for i := range as {
		as[i] = draw(r, l, i)
		work += as[i].Run.Seconds() * float64(as[i].Job.Shape.TotalAccels())
	}
	span := work / (Power(ws) * l.Level)
	begin := time.Unix(tracesBegin, 0)
	at := make([]float64, len(as))
	for i := range at {
		at[i] = r.Float64() * span
	}
	slices.Sort(at)
	for i := range as {
		as[i].Job.Submitted = begin.Add(time.Duration(at[i] * float64(time.Second)))
	}
	return as
}

func draw(r *rand.Rand, l Load, i int) Arrival {
	size := drawSize(r, l.Sizes)
	run := min(time.Duration(float64(medianRun)*math.Exp(spreadRun*r.NormFloat64())), longestRun)
	run = max(run, time.Second)
	guess := time.Duration(float64(run) * math.Exp(spreadGuess*r.NormFloat64()))
	j := model.Job{
		ID:   fmt.Sprintf("j%06d", i),
		Team: fmt.Sprintf("t%03d", r.IntN(l.Teams)),
		Shape: model.Shape{
			Members: size.Members, Accels: size.Accels, Near: size.Near,
			Cores: coresPer * size.Accels, Memory: memoryPer * int64(size.Accels),
		},
		Urgency:    drawUrgency(r),
		EstimateMs: max(guess.Milliseconds(), 1),
		Stoppable:  r.Float64() < shareStop,
		State:      model.JobQueued,
	}
	return Arrival{Job: j, Run: run}
}

func drawSize(r *rand.Rand, sizes []Size) Size {
	x := r.Float64()
	for _, s := range sizes {
		if x < s.Share {
			return s
		}
		x -= s.Share
	}
	return sizes[0]
}

func drawUrgency(r *rand.Rand) model.Urgency {
	switch x := r.Float64(); {
	case x < shareUrgent:
		return model.Urgent
	case x < shareUrgent+shareLow:
		return model.Low
	default:
		return model.Normal
	}
}

// Bound returns a lower bound on the end of any schedule: no work is done before
// it arrives, no job runs faster than on the fastest workers, and the fleet's
// capacity is limited.
func Bound(as []Arrival, ws []model.Worker) time.Time {
	power, fastest := Power(ws), slices.Max(yearSpeeds)
	var bound time.Time
	left := 0.0
	for _, a := range slices.Backward(as) {
		left += a.Run.Seconds() * float64(a.Job.Shape.TotalAccels())
		at := a.Job.Submitted
		for _, end := range []time.Time{
			at.Add(time.Duration(left / power * float64(time.Second))),
			at.Add(time.Duration(float64(a.Run) / fastest)),
		} {
			if end.After(bound) {
				bound = end
			}
		}
	}
	return bound
}
