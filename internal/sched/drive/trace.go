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
	Job     model.Job
	RunTime time.Duration // at speed 1.0
}

// Load describes the arrivals to generate.
type Load struct {
	Seed        uint64     // of the random numbers
	Jobs        int        // number of jobs
	Utilization float64    // work that arrives as a share of the fleet's capacity
	Teams       int        // number of teams, drawn with equal probability
	Sizes       []GangSize // sizes to draw from; their shares sum to 1
}

// GangSize is the size of a gang with its share of the jobs.
type GangSize struct {
	Share   float64 // probability that a job has this size
	Members int
	Accels  int // accelerators of each member
	Near    model.Proximity
}

// TodaySizes are the gang sizes for fleets like those in use today.
var TodaySizes = []GangSize{
	{0.40, 1, 1, model.ProximityWorker},
	{0.15, 1, 2, model.ProximityWorker},
	{0.15, 1, 4, model.ProximityWorker},
	{0.20, 1, 8, model.ProximityWorker},
	{0.07, 2, 8, model.ProximityRack},
	{0.03, 3, 8, model.ProximityDomain},
}

// PlannedSizes are the gang sizes for the planned fleet.
var PlannedSizes = []GangSize{
	{0.40, 1, 1, model.ProximityWorker},
	{0.15, 1, 2, model.ProximityWorker},
	{0.15, 1, 4, model.ProximityWorker},
	{0.20, 1, 8, model.ProximityWorker},
	{0.07, 2, 8, model.ProximityRack},
	{0.03, 8, 8, model.ProximityDomain},
}

const (
	medianRunTime  = 10 * time.Minute
	runTimeSigma   = 1.3 // sigma of the logarithm; gives a heavy tail
	maxRunTime     = 12 * time.Hour
	estimateSigma  = 0.8 // sigma of the logarithm of the ratio of declared to actual run time
	stoppableShare = 0.7 // share of jobs that can be checkpointed and stopped
	urgentShare    = 0.1 // share of urgent jobs
	lowShare       = 0.3 // share of jobs of low urgency
	coresPerAccel  = 3
	memoryPerAccel = 12 << 30      // bytes
	traceStart     = 1_700_000_000 // Unix seconds
	pcgStream      = 6             // second seed of the random generator
)

// GenerateArrivals generates arrivals that load the fleet to the utilization of
// l.
func GenerateArrivals(l Load, ws []model.Worker) []Arrival {
	r := rand.New(rand.NewPCG(l.Seed, pcgStream))
	arrivals := make([]Arrival, l.Jobs)
	work := 0.0
	for i := range arrivals {
		arrivals[i] = generateJob(r, l, i)
		work += arrivals[i].RunTime.Seconds() * float64(arrivals[i].Job.Shape.TotalAccels())
	}
	span := work / (WeightedAccels(ws) * l.Utilization)
	start := time.Unix(traceStart, 0)
	submitted := make([]float64, len(arrivals))
	for i := range submitted {
		submitted[i] = r.Float64() * span
	}
	slices.Sort(submitted)
	for i := range arrivals {
		arrivals[i].Job.Submitted = start.Add(time.Duration(submitted[i] * float64(time.Second)))
	}
	return arrivals
}

func generateJob(r *rand.Rand, l Load, i int) Arrival {
	size := randomSize(r, l.Sizes)
	run := min(time.Duration(float64(medianRunTime)*math.Exp(runTimeSigma*r.NormFloat64())), maxRunTime)
	run = max(run, time.Second)
	estimate := time.Duration(float64(run) * math.Exp(estimateSigma*r.NormFloat64()))
	j := model.Job{
		ID:   fmt.Sprintf("j%06d", i),
		Team: fmt.Sprintf("t%03d", r.IntN(l.Teams)),
		Shape: model.Shape{
			Members: size.Members, Accels: size.Accels, Proximity: size.Near,
			Cores: coresPerAccel * size.Accels, Memory: memoryPerAccel * int64(size.Accels),
		},
		Urgency:    randomUrgency(r),
		EstimateMs: max(estimate.Milliseconds(), 1),
		Stoppable:  r.Float64() < stoppableShare,
		State:      model.JobQueued,
	}
	return Arrival{Job: j, RunTime: run}
}

func randomSize(r *rand.Rand, sizes []GangSize) GangSize {
	x := r.Float64()
	for _, s := range sizes {
		if x < s.Share {
			return s
		}
		x -= s.Share
	}
	return sizes[0]
}

func randomUrgency(r *rand.Rand) model.Urgency {
	switch x := r.Float64(); {
	case x < urgentShare:
		return model.Urgent
	case x < urgentShare+lowShare:
		return model.Low
	default:
		return model.Normal
	}
}

// EarliestEnd returns a lower bound on the end of any schedule: no work is done
// before it arrives, no job runs faster than on the fastest workers, and the
// fleet's capacity is limited.
func EarliestEnd(arrivals []Arrival, ws []model.Worker) time.Time {
	capacity, fastest := WeightedAccels(ws), slices.Max(yearSpeeds)
	var bound time.Time
	work := 0.0
	for _, a := range slices.Backward(arrivals) {
		work += a.RunTime.Seconds() * float64(a.Job.Shape.TotalAccels())
		submitted := a.Job.Submitted
		for _, end := range []time.Time{
			submitted.Add(time.Duration(work / capacity * float64(time.Second))),
			submitted.Add(time.Duration(float64(a.RunTime) / fastest)),
		} {
			if end.After(bound) {
				bound = end
			}
		}
	}
	return bound
}
