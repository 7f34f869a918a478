package play

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/allot"
	"github.com/knapweedlug/knapweedlug/internal/jobs"
)

// Job is a job of a day: one step of like tasks.
type Job struct {
	ID       string
	At       time.Duration // since the beginning of the day
	Queue    string
	Team     string
	Priority int
	Tasks    int
	Room     allot.Room // of each task
	Work     time.Duration
	Estimate time.Duration // what the caller says
	Gang     bool
	Compact  bool
	Saves    bool
	Label    string
	DataRack string
	Slack    float64
	Target   time.Duration
	Worth    float64 // if complete within the objective
	Late     float64 // if complete within three times that
}

// cores is what a job works, in core-seconds, where an accelerator counts as
// eight cores.
func (j Job) cores() float64 {
	return float64(j.Tasks) * (float64(j.Room.CPU)/1000 + 8*float64(j.Room.Accels)) * j.Work.Seconds()
}

// uneven returns how many times the usual a task of a job takes.
func (j Job) uneven(index int) float64 {
	if j.Gang {
		return 1
	}
	rng := rand.New(rand.NewPCG(uint64(j.At), uint64(index)))
	return math.Exp(0.15 * rng.NormFloat64())
}

// weigh scales the worth of jobs with their size against the mean of their queue,
// as the users' pages do.
func (d *Day) weigh() {
	sum, n := map[string]float64{}, map[string]float64{}
	for _, j := range d.Jobs {
		sum[j.Queue] += j.cores()
		n[j.Queue]++
	}
	for i := range d.Jobs {
		j := &d.Jobs[i]
		f := min(0.3+0.7*j.cores()*n[j.Queue]/sum[j.Queue], 4)
		j.Worth, j.Late = j.Worth*f, j.Late*f
	}
}

// objective is how long the job may take.
func (j Job) objective() time.Duration {
	return time.Duration(j.Slack*float64(j.Work)) + j.Target
}

// Day is what a day brings.
type Day struct {
	Workers []allot.Worker
	Speeds  map[jobs.Worker]float64 // which the decisions have to find out
	Sure    map[string]int64        // guaranteed accelerators by team
	Jobs    []Job
	Remote  float64
	Stop    time.Duration // that a run takes to end when it is told to
}

// class is a kind of job, as the users' sheets give it.
type class struct {
	queue    string
	priority int
	perS     float64
	width    float64
	most     int
	cpu      int64
	memory   int64
	accels   []int64
	work     time.Duration
	spread   float64
	gang     float64 // share
	compact  float64 // share
	saves    float64 // share
	near     float64 // share with data on a rack
	slack    float64
	target   time.Duration
	worth    float64
	late     float64
}

// classes are the kinds of jobs of the linen rota, whose load the tests play.
var classes = []class{
	{"render", 1, 0.41, 1.5, 9, 13000, 68000, []int64{1, 2, 4, 8, 8}, 7200 * time.Millisecond, 0.3, 1, 0.6, 0.45, 0, 3, time.Second, 3, 1.5},
	{"confirm", 0, 0.30, 3, 18, 3700, 20000, []int64{1, 2, 4, 8, 8}, 2100 * time.Millisecond, 0.5, 0.8, 0.8, 0, 0, 1.5, 250 * time.Millisecond, 4, 0.8},
	{"batch", 2, 0.16, 9.2, 55, 2800, 15000, []int64{1}, 8100 * time.Millisecond, 0.3, 0, 0, 0.45, 0.3, 3, 3 * time.Second, 1, 0.5},
}

// Fleet returns workers in racks of three, as on the users' smaller deployments.
func Fleet(n int) []allot.Worker {
	var list []allot.Worker
	for i := range n {
		w := allot.Worker{
			Host: fmt.Sprintf("host-%d", i), Service: "s", Rack: fmt.Sprintf("r%d", i/3), Labels: []string{"a"},
			Size: allot.Room{CPU: 32000, Memory: 131072, Accels: 8}, Speed: 1,
		}
		w.ID.Name = fmt.Sprintf("w%02d", i)
		list = append(list, w)
	}
	return list
}

// Generate returns a day of a length on n workers, with load times the usual
// traffic and a burst of urgent jobs.
func Generate(seed uint64, n int, length time.Duration, load float64) Day {
	rng := rand.New(rand.NewPCG(seed, 1))
	d := Day{Workers: Fleet(n), Speeds: map[jobs.Worker]float64{}, Sure: map[string]int64{}, Remote: 3, Stop: 300 * time.Millisecond}
	for _, w := range d.Workers {
		d.Speeds[w.ID] = []float64{0.6, 1, 1.6}[rng.IntN(3)]
	}
	teams := []string{"t0", "t1", "t2", "t3"}
	for _, t := range teams {
		d.Sure[t] = int64(float64(n) * 8 * 0.62 / float64(len(teams)))
	}
	for _, c := range classes {
		rate := c.perS * load * float64(n) / 11
		for at := time.Duration(0); at < length; {
			r := rate
			if c.priority == 0 && at > length/8 && at < length/3 {
				r *= 2.3
			}
			at += time.Duration(rng.ExpFloat64() / r * float64(time.Second))
			if at < length {
				d.Jobs = append(d.Jobs, c.job(rng, at, teams, len(d.Jobs), n))
			}
		}
	}
	d.weigh()
	return d
}

func (c class) job(rng *rand.Rand, at time.Duration, teams []string, i, n int) Job {
	tasks := int(math.Round(c.width * math.Exp(0.8*rng.NormFloat64()-0.32)))
	work := time.Duration(float64(c.work) * math.Exp(c.spread*rng.NormFloat64()-c.spread*c.spread/2))
	j := Job{
		ID: fmt.Sprintf("%016x", i+1), At: at, Queue: c.queue, Team: teams[rng.IntN(len(teams))], Priority: c.priority,
		Tasks: min(max(tasks, 1), c.most), Work: work, Gang: rng.Float64() < c.gang,
		Saves: rng.Float64() < c.saves, Slack: c.slack, Target: c.target, Worth: c.worth, Late: c.late,
		Room:     allot.Room{CPU: c.cpu, Memory: c.memory, Accels: c.accels[rng.IntN(len(c.accels))]},
		Estimate: time.Duration(float64(work) * math.Exp(0.9*rng.NormFloat64())),
	}
	j.Compact = j.Gang && rng.Float64() < c.compact
	// What no fleet of this size could run isn't handed in.
	for j.Gang && int64(j.Tasks)*j.Room.Accels > int64(n)*8/2 {
		j.Tasks = max(1, j.Tasks/2)
		if j.Tasks == 1 {
			break
		}
	}
	if rng.Float64() < c.near {
		j.DataRack = fmt.Sprintf("r%d", rng.IntN((n+2)/3))
	}
	return j
}
