package play

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/allot"
	"github.com/knapweedlug/knapweedlug/internal/jobs"
)

// Job is a simulated job: one step of tasks of about equal duration.
type Job struct {
	ID       string
	At       time.Duration // arrival since the start of the simulation
	Queue    string
	Team     string
	Priority int
	Tasks    int
	Room     allot.Room    // of each task
	Work     time.Duration // actual duration of a task at the usual speed
	Estimate time.Duration // stated by the caller
	Gang     bool
	Compact  bool
	Saves    bool // writes checkpoints
	Label    string
	DataRack string
	Slack    float64       // factor of the duration in the objective
	Target   time.Duration // added to that
	Worth    float64       // value if complete within the objective
	Late     float64       // value if complete within three times the objective
	Fails    int           // runs that fail through the job's own fault
	Rounds   float64       // rounds of tasks that the objective allows for
}

// costs returns the cores that a task occupies; an accelerator counts as eight cores.
func (j Job) costs() float64 { return float64(j.Room.CPU)/1000 + 8*float64(j.Room.Accels) }

// Cores returns the work of the job in core-seconds.
func (j Job) Cores() float64 { return float64(j.Tasks) * j.costs() * j.Work.Seconds() }

// uneven returns by which factor the duration of a task differs from the job's mean.
func (j Job) uneven(index int) float64 {
	if j.Gang {
		return 1
	}
	rng := rand.New(rand.NewPCG(uint64(j.At), uint64(index)))
	return math.Exp(0.15 * rng.NormFloat64())
}

// Weigh scales the value of each job with its size relative to the mean of its queue and sets the
// rounds of its objective, following the users' rules.
func (d *Day) Weigh() {
	all := d.room()
	sum, n := map[string]float64{}, map[string]float64{}
	for _, j := range d.Jobs {
		sum[j.Queue] += j.Cores()
		n[j.Queue]++
	}
	for i := range d.Jobs {
		j := &d.Jobs[i]
		f := min(0.3+0.7*j.Cores()*n[j.Queue]/sum[j.Queue], 4)
		j.Worth, j.Late = j.Worth*f, j.Late*f
		j.Rounds = allot.Rounds(j.Tasks, j.Gang, j.Room, all)
	}
}

// room returns the resources of all workers.
func (d *Day) room() allot.Room {
	all := allot.Room{}
	for _, w := range d.Workers {
		all = all.Plus(w.Size)
	}
	return all
}

// Objective returns how long the job may take.
func (j Job) Objective() time.Duration { return j.aim(j.Work) }

// aim returns the objective for the given duration of a task.
func (j Job) aim(work time.Duration) time.Duration {
	return time.Duration(j.Slack*max(1, j.Rounds)*float64(work)) + j.Target
}

// Spell is a period during which some workers are slow.
type Spell struct {
	From, To time.Duration
	Workers  []jobs.Worker
	Times    float64 // factor of the duration of runs
}

// Day is a scenario to simulate.
type Day struct {
	Workers []allot.Worker
	Speeds  map[jobs.Worker]float64 // actual speeds, which the planner has to estimate
	Sure    map[string]int64        // guaranteed accelerators by team
	Jobs    []Job
	Remote  float64         // factor of the duration far from the data or across racks
	Waste   float64         // cost of a lost core-second, in units of value
	Forgets []time.Duration // times at which another leader takes over
	Slow    []Spell
	Stop    time.Duration // time that a run takes to end after it was told to
}

// class describes a kind of jobs, following the users' sheets.
type class struct {
	queue    string
	priority int     // 0 is the highest
	perS     float64 // arrivals per second
	width    float64 // mean number of tasks
	most     int     // largest number of tasks
	cpu      int64
	memory   int64         // MiB
	accels   []int64       // one is drawn for each job
	work     time.Duration // mean duration of a task
	spread   float64       // standard deviation of the logarithm of durations
	gang     float64       // share of jobs
	compact  float64       // share of jobs
	saves    float64       // share of jobs
	near     float64       // share of jobs with data on a rack
	slack    float64
	target   time.Duration
	worth    float64
	late     float64
	off      float64 // standard deviation of the logarithm of callers' estimates
	before   int     // jobs that arrive at the start
	fails    float64 // share of runs that fail through the job's own fault
}

// small are the job classes of the linen rota deployment at eleven workers.
var small = []class{
	{"render", 1, 0.41, 1.5, 9, 13000, 68000, []int64{1, 2, 4, 8, 8}, 7200 * time.Millisecond, 0.3, 1, 0.6, 0.45, 0, 3, time.Second, 3, 1.5, 0.9, 0, 0},
	{"confirm", 0, 0.30, 3, 18, 3700, 20000, []int64{1, 2, 4, 8, 8}, 2100 * time.Millisecond, 0.5, 0.8, 0.8, 0, 0, 1.5, 250 * time.Millisecond, 4, 0.8, 0.9, 0, 0},
	{"batch", 2, 0.16, 9.2, 55, 2800, 15000, []int64{1}, 8100 * time.Millisecond, 0.3, 0, 0, 0.45, 0.3, 3, 3 * time.Second, 1, 0.5, 0.9, 0, 0},
}

// birds are the job classes of the bird table workshops deployment, scaled up to 62 workers.
var birds = []class{
	{"render", 1, 0.81, 6, 39, 13000, 34000, []int64{1, 2, 4, 8, 8}, 5800 * time.Millisecond, 0.3, 1, 0.6, 0.45, 0, 3, time.Second, 3, 0.3, 0.5, 7, 0.02},
	{"confirm", 0, 1.2, 4.7, 28, 3700, 9800, []int64{1, 2, 4, 8, 8}, 2100 * time.Millisecond, 0.5, 1, 0.8, 0, 0, 1.5, 300 * time.Millisecond, 4, 0.8, 0.9, 0, 0.05},
	{"batch", 2, 0.41, 38, 180, 2800, 7400, []int64{1}, 6500 * time.Millisecond, 0.3, 0, 0, 0.6, 0, 3, 3 * time.Second, 1, 0.1, 0.5, 5, 0.02},
}

// linens are the job classes of the linen rota deployment, scaled up to 54 workers.
var linens = []class{
	{"render", 1, 0.72, 5.6, 34, 13000, 53000, []int64{1, 2, 4, 8, 8}, 7200 * time.Millisecond, 0.3, 1, 0.6, 0.45, 0, 3, time.Second, 3, 1.5, 0.9, 5, 0.005},
	{"confirm", 0, 1.05, 5.4, 32, 3700, 15000, []int64{1, 2, 4, 8, 8}, 2100 * time.Millisecond, 0.5, 1, 0.8, 0, 0, 1.5, 250 * time.Millisecond, 4, 0.8, 0.2, 0, 0.05},
	{"batch", 2, 0.24, 44, 230, 2800, 8200, []int64{1}, 8100 * time.Millisecond, 0.3, 0, 0, 0.45, 0, 3, 3 * time.Second, 1, 0.5, 0.5, 4, 0.02},
}

// Load holds the parameters from which scenarios are generated.
type Load struct {
	Hosts   int
	Rack    int   // hosts in a rack
	Memory  int64 // of a host, MiB
	Teams   int
	Speeds  []float64       // one is drawn for each host
	Surge   float64         // factor of urgent arrivals during a burst
	Length  time.Duration   // time span of arrivals
	Times   float64         // factor of all arrivals
	Forgets []time.Duration // times at which another leader takes over
	Slow    bool            // a fifth of the workers become slow for a while, twice
	Waste   float64         // cost of a lost core-second, in units of value
	classes []class
}

// Small returns the load of the linen rota deployment, scaled from eleven workers to n.
func Small(n int, length time.Duration, times float64) Load {
	return Load{
		Hosts: n, Rack: 3, Memory: 131072, Teams: 4, Speeds: []float64{0.6, 1, 1.6}, Surge: 2.3, Length: length,
		Times: times * float64(n) / 11, Waste: 0.0033, classes: small,
	}
}

// Birds returns the load of the bird table workshops deployment, scaled up to 62 workers.
func Birds(times float64) Load {
	return Load{
		Hosts: 62, Rack: 7, Memory: 65536, Teams: 10, Speeds: []float64{0.6, 1, 1.6}, Surge: 2.3, Length: 34 * time.Second,
		Times: times, Waste: 0.0011, classes: birds,
	}
}

// Linens returns the load of the linen rota deployment, scaled up to 54 workers.
func Linens(times float64) Load {
	return Load{
		Hosts: 54, Rack: 8, Memory: 131072, Teams: 10, Speeds: []float64{0.55, 1.2, 1.2, 1.2}, Surge: 2.3, Length: 34 * time.Second,
		Times: times, Waste: 0.0012, classes: linens,
	}
}

// fleet returns the workers of a load.
func (l Load) fleet() []allot.Worker {
	var list []allot.Worker
	for i := range l.Hosts {
		w := allot.Worker{
			Host: fmt.Sprintf("host-%d", i), Service: "s", Rack: fmt.Sprintf("r%d", i/l.Rack), Labels: []string{"a"},
			Size: allot.Room{CPU: 32000, Memory: l.Memory, Accels: 8}, Speed: 1,
		}
		w.ID.Name = fmt.Sprintf("w%02d", i)
		list = append(list, w)
	}
	return list
}

// surePart is the share of all accelerators that is guaranteed to teams.
const surePart = 0.62

// Generate returns a random scenario with the given load.
func Generate(seed uint64, l Load) Day {
	rng := rand.New(rand.NewPCG(seed, 1))
	d := Day{Workers: l.fleet(), Speeds: map[jobs.Worker]float64{}, Sure: map[string]int64{}, Remote: 3, Waste: l.Waste, Stop: 300 * time.Millisecond, Forgets: l.Forgets}
	for _, w := range d.Workers {
		d.Speeds[w.ID] = l.Speeds[rng.IntN(len(l.Speeds))]
	}
	var teams []string
	for i := range l.Teams {
		teams = append(teams, fmt.Sprintf("t%d", i))
		d.Sure[teams[i]] = int64(float64(l.Hosts) * 8 * surePart / float64(l.Teams))
	}
	for _, c := range l.classes {
		for range c.before {
			d.Jobs = append(d.Jobs, c.job(rng, 0, teams, len(d.Jobs), l))
		}
		rate := c.perS * l.Times
		for at := time.Duration(0); at < l.Length; {
			r := rate
			if c.priority == 0 && at > l.Length/8 && at < l.Length/3 {
				r *= l.Surge
			}
			at += time.Duration(rng.ExpFloat64() / r * float64(time.Second))
			if at < l.Length {
				d.Jobs = append(d.Jobs, c.job(rng, at, teams, len(d.Jobs), l))
			}
		}
	}
	d.Weigh()
	if l.Slow {
		d.Slow = spells(rng, d.Workers, l.Length)
	}
	return d
}

// spells draws two periods in which a fifth of the workers are slow.
func spells(rng *rand.Rand, workers []allot.Worker, length time.Duration) []Spell {
	var list []Spell
	for _, at := range []time.Duration{length / 6, length / 2} {
		s := Spell{From: at, To: at + 6500*time.Millisecond, Times: 4.5}
		for _, i := range rng.Perm(len(workers))[:(len(workers)+4)/5] {
			s.Workers = append(s.Workers, workers[i].ID)
		}
		list = append(list, s)
	}
	return list
}

// job draws a job of the class.
func (c class) job(rng *rand.Rand, at time.Duration, teams []string, i int, l Load) Job {
	n := l.Hosts
	tasks := int(math.Round(c.width * math.Exp(0.8*rng.NormFloat64()-0.32)))
	work := time.Duration(float64(c.work) * math.Exp(c.spread*rng.NormFloat64()-c.spread*c.spread/2))
	j := Job{
		ID: fmt.Sprintf("%016x", i+1), At: at, Queue: c.queue, Team: teams[rng.IntN(len(teams))], Priority: c.priority,
		Tasks: min(max(tasks, 1), c.most), Work: work, Gang: rng.Float64() < c.gang,
		Saves: rng.Float64() < c.saves, Slack: c.slack, Target: c.target, Worth: c.worth, Late: c.late,
		Room:     allot.Room{CPU: c.cpu, Memory: c.memory, Accels: c.accels[rng.IntN(len(c.accels))]},
		Estimate: time.Duration(float64(work) * math.Exp(c.off*rng.NormFloat64())),
	}
	for rng.Float64() < c.fails && j.Fails < 2 {
		j.Fails++
	}
	compact := rng.Float64() < c.compact
	// A gang that uses more than half of all accelerators is never submitted.
	for j.Gang && int64(j.Tasks)*j.Room.Accels > int64(n)*8/2 {
		j.Tasks = max(1, j.Tasks/2)
		if j.Tasks == 1 {
			break
		}
	}
	j.Gang = j.Gang && j.Tasks > 1
	// Gangs that use more than half of a rack don't ask to stay in one.
	host := allot.Room{CPU: 32000, Memory: l.Memory, Accels: 8}
	j.Compact = j.Gang && compact && 2*j.Tasks <= l.Rack*host.Holds(j.Room, j.Tasks)
	if rng.Float64() < c.near {
		j.DataRack = fmt.Sprintf("r%d", rng.IntN((n+l.Rack-1)/l.Rack))
	}
	return j
}
