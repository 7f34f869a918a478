package play

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/allot"
	"github.com/knapweedlug/knapweedlug/internal/jobs"
)

// Job is a simulated job: one step of tasks of about equal duration.
type Job struct {
	ID          string
	Arrival     time.Duration // since the start of the simulation
	Queue       string
	Team        string
	Priority    int             // 0 is the most urgent
	Tasks       int             // number of tasks
	PerTask     allot.Resources // resources of a task
	Duration    time.Duration   // actual duration of a task at the usual speed
	Estimate    time.Duration   // duration of a task as stated by the caller
	Gang        bool            // tasks run together or not at all
	Compact     bool            // slower if it spans racks
	Checkpoints bool            // writes checkpoints
	Label       string          // label that a worker must have; empty if any will do
	DataRack    string          // rack that holds its data; empty if it has none
	Slack       float64         // factor on the duration in the objective
	Target      time.Duration   // time that the objective adds to that
	Value       float64         // value if complete within the objective
	LateValue   float64         // value if complete within three times the objective
	FailingRuns int             // runs that fail through the job's own fault
	Rounds      float64         // rounds of tasks that the objective allows for
}

// taskCores returns the cores that a task occupies; an accelerator counts as eight cores.
func (j Job) taskCores() float64 { return float64(j.PerTask.CPU)/1000 + 8*float64(j.PerTask.Accels) }

// CoreSeconds returns the work of the job in core-seconds.
func (j Job) CoreSeconds() float64 { return float64(j.Tasks) * j.taskCores() * j.Duration.Seconds() }

// durationFactor returns by which factor the duration of a task differs from the job's mean: 1 in a gang,
// else a random factor with a standard deviation of 0.15 in its logarithm, the same at every call.
func (j Job) durationFactor(index int) float64 {
	if j.Gang {
		return 1
	}
	rng := rand.New(rand.NewPCG(uint64(j.Arrival), uint64(index)))
	return math.Exp(0.15 * rng.NormFloat64())
}

// ScaleValues scales the value of each job with its size relative to the mean of its queue and sets the
// rounds of its objective, following the users' rules.
func (s *Scenario) ScaleValues() {
	total := s.totalResources()
	sum, n := map[string]float64{}, map[string]float64{}
	for _, j := range s.Jobs {
		sum[j.Queue] += j.CoreSeconds()
		n[j.Queue]++
	}
	for i := range s.Jobs {
		j := &s.Jobs[i]
		scale := min(0.3+0.7*j.CoreSeconds()*n[j.Queue]/sum[j.Queue], 4)
		j.Value, j.LateValue = j.Value*scale, j.LateValue*scale
		j.Rounds = allot.Rounds(j.Tasks, j.Gang, j.PerTask, total)
	}
}

// totalResources returns the resources of all workers.
func (s *Scenario) totalResources() allot.Resources {
	total := allot.Resources{}
	for _, w := range s.Workers {
		total = total.Plus(w.Capacity)
	}
	return total
}

// Objective returns the time from its arrival within which the job should be complete.
func (j Job) Objective() time.Duration { return j.objectiveFor(j.Duration) }

// objectiveFor returns the objective for the given duration of a task.
func (j Job) objectiveFor(duration time.Duration) time.Duration {
	return time.Duration(j.Slack*max(1, j.Rounds)*float64(duration)) + j.Target
}

// SlowPeriod is a period during which some workers are slow.
type SlowPeriod struct {
	From, To       time.Duration // since the start of the simulation
	Workers        []jobs.Worker
	DurationFactor float64 // factor on the duration of runs
}

// Scenario holds the workers, jobs and disturbances of a simulation.
type Scenario struct {
	Workers       []allot.Worker
	Speeds        map[jobs.Worker]float64 // actual speeds, which the planner has to estimate
	Guarantees    map[string]int64        // guaranteed accelerators by team
	Jobs          []Job
	RemoteFactor  float64         // factor on the duration of a task outside the rack of its data, and of a compact gang that spans racks
	LostWorkCost  float64         // cost of a lost core-second, in units of value
	LeaderChanges []time.Duration // times at which another leader takes over
	SlowPeriods   []SlowPeriod
	StopDelay     time.Duration // time that a run takes to end after it was told to
	Admission     bool          // jobs are admitted by forecast
}

// jobClass describes a kind of jobs, following the users' sheets.
type jobClass struct {
	queue           string
	priority        int     // 0 is the highest
	perSecond       float64 // arrivals per second
	meanTasks       float64
	maxTasks        int
	cpu             int64         // thousandths of a core for each task
	memory          int64         // MiB for each task
	accels          []int64       // accelerators of each task; one is drawn for each job
	duration        time.Duration // mean duration of a task
	stdDev          float64       // standard deviation of the logarithm of durations
	gangShare       float64       // share of jobs that are gangs
	compactShare    float64       // share of gangs that are compact
	checkpointShare float64       // share of jobs that write checkpoints
	dataRackShare   float64       // share of jobs with a data rack
	slack           float64       // as Job.Slack
	target          time.Duration // as Job.Target
	value           float64       // value if complete within the objective
	lateValue       float64       // value if complete within three times the objective
	estimateStdDev  float64       // standard deviation of the logarithm of callers' estimates
	initial         int           // number of jobs that arrive at the start
	failShare       float64       // share of runs that fail through the job's own fault
}

// smallLinenRotaClasses are the job classes of the linen rota deployment at eleven workers.
var smallLinenRotaClasses = []jobClass{
	{"render", 1, 0.41, 1.5, 9, 13000, 68000, []int64{1, 2, 4, 8, 8}, 7200 * time.Millisecond, 0.3, 1, 0.6, 0.45, 0, 3, time.Second, 3, 1.5, 0.9, 0, 0},
	{"confirm", 0, 0.30, 3, 18, 3700, 20000, []int64{1, 2, 4, 8, 8}, 2100 * time.Millisecond, 0.5, 0.8, 0.8, 0, 0, 1.5, 250 * time.Millisecond, 4, 0.8, 0.9, 0, 0},
	{"batch", 2, 0.16, 9.2, 55, 2800, 15000, []int64{1}, 8100 * time.Millisecond, 0.3, 0, 0, 0.45, 0.3, 3, 3 * time.Second, 1, 0.5, 0.9, 0, 0},
}

// birdTableClasses are the job classes of the bird table workshops deployment, scaled up to 62 workers.
var birdTableClasses = []jobClass{
	{"render", 1, 0.81, 6, 39, 13000, 34000, []int64{1, 2, 4, 8, 8}, 5800 * time.Millisecond, 0.3, 1, 0.6, 0.45, 0, 3, time.Second, 3, 0.3, 0.5, 7, 0.02},
	{"confirm", 0, 1.2, 4.7, 28, 3700, 9800, []int64{1, 2, 4, 8, 8}, 2100 * time.Millisecond, 0.5, 1, 0.8, 0, 0, 1.5, 300 * time.Millisecond, 4, 0.8, 0.9, 0, 0.05},
	{"batch", 2, 0.41, 38, 180, 2800, 7400, []int64{1}, 6500 * time.Millisecond, 0.3, 0, 0, 0.6, 0, 3, 3 * time.Second, 1, 0.1, 0.5, 5, 0.02},
}

// linenRotaClasses are the job classes of the linen rota deployment, scaled up to 54 workers.
var linenRotaClasses = []jobClass{
	{"render", 1, 0.72, 5.6, 34, 13000, 53000, []int64{1, 2, 4, 8, 8}, 7200 * time.Millisecond, 0.3, 1, 0.6, 0.45, 0, 3, time.Second, 3, 1.5, 0.9, 5, 0.005},
	{"confirm", 0, 1.05, 5.4, 32, 3700, 15000, []int64{1, 2, 4, 8, 8}, 2100 * time.Millisecond, 0.5, 1, 0.8, 0, 0, 1.5, 250 * time.Millisecond, 4, 0.8, 0.2, 0, 0.05},
	{"batch", 2, 0.24, 44, 230, 2800, 8200, []int64{1}, 8100 * time.Millisecond, 0.3, 0, 0, 0.45, 0, 3, 3 * time.Second, 1, 0.5, 0.5, 4, 0.02},
}

// largeLinenRotaClasses are the job classes of the linen rota deployment at 240 workers.
var largeLinenRotaClasses = []jobClass{
	{"render", 1, 0.688, 25, 150, 13000, 68000, []int64{1, 2, 4, 8, 8}, 7200 * time.Millisecond, 0.3, 1, 0.6, 0.45, 0, 3, time.Second, 3, 1.5, 0.9, 5, 0.02},
	{"confirm", 0, 3.75, 7.6, 46, 3700, 11000, []int64{1, 2, 4, 8, 8}, 2100 * time.Millisecond, 0.5, 1, 0.8, 0, 0, 1.5, 250 * time.Millisecond, 4, 0.8, 0.2, 0, 0.05},
	{"batch", 2, 0.646, 101, 470, 2800, 11000, []int64{1}, 6500 * time.Millisecond, 0.3, 0, 0, 0.45, 0, 3, 3 * time.Second, 1, 0.5, 0.9, 7, 0.005},
}

// ledgerClasses are the job classes of the call detail look-up deployment.
var ledgerClasses = []jobClass{
	{"sweep", 1, 0.654, 7.6, 45, 13000, 34000, []int64{1, 2, 4, 8, 8}, 7200 * time.Millisecond, 0.3, 1, 0.6, 0.45, 0, 3, time.Second, 3, 0.9, 0.2, 5, 0.005},
	{"lookup", 0, 1.29, 5.4, 32, 3700, 9800, []int64{1, 2, 4, 8, 8}, 2100 * time.Millisecond, 0.5, 1, 0.8, 0, 0, 1.5, 300 * time.Millisecond, 4, 0.8, 0.5, 0, 0.05},
	{"extract", 2, 0.298, 39, 230, 2800, 4100, []int64{1}, 8100 * time.Millisecond, 0.3, 0, 0, 0.45, 0, 3, 3 * time.Second, 1, 0.3, 0.9, 4, 0.02},
}

// hutClasses are the job classes of the hut booking deployment.
var hutClasses = []jobClass{
	{"alloc", 1, 0.603, 6.8, 41, 26000, 110000, []int64{1, 2, 4, 8, 8}, 8500 * time.Millisecond, 0.3, 1, 0.6, 0.45, 0, 3, time.Second, 3, 1.5, 0.5, 5, 0.005},
	{"check", 0, 1.08, 5.4, 32, 7500, 22000, []int64{1, 2, 4, 8, 8}, 2500 * time.Millisecond, 0.5, 1, 0.8, 0, 0, 1.5, 250 * time.Millisecond, 4, 0.8, 0.5, 0, 0.05},
	{"manifest", 2, 0.311, 39, 230, 5600, 17000, []int64{1}, 7600 * time.Millisecond, 0.3, 0, 0, 0.45, 0, 3, 3 * time.Second, 1, 0.5, 0.9, 4, 0.02},
}

// LoadConfig holds the parameters of Generate.
type LoadConfig struct {
	CPU           int64           // thousandths of a core of each host; 0 means defaultCPU
	Hosts         int             // number of hosts, with one worker each
	HostsPerRack  int             // number of hosts in a rack
	Memory        int64           // MiB of each host
	Teams         int             // number of teams
	BusyFactor    float64         // factor on the rate of the last team from a sixth to two thirds of the time span; 0 for none
	Speeds        []float64       // one is drawn for each host
	BurstFactor   float64         // factor on the rate of urgent arrivals during a burst
	Duration      time.Duration   // time span of arrivals
	RateFactor    float64         // factor on the rate of all arrivals
	LeaderChanges []time.Duration // times at which another leader takes over
	SlowPeriods   bool            // a fifth of the workers become slow for a while, twice
	LostWorkCost  float64         // cost of a lost core-second, in units of value
	StopDelay     time.Duration   // time that a run takes to end after it was told to
	Admission     bool            // jobs are admitted by forecast
	Lead          time.Duration   // time between the arrival of the initial jobs and that of the others
	classes       []jobClass
}

// SmallLinenRota returns the load of the linen rota deployment, scaled from eleven workers to the given number
// of hosts.
func SmallLinenRota(hosts int, duration time.Duration, rateFactor float64) LoadConfig {
	return LoadConfig{
		Hosts: hosts, HostsPerRack: 3, Memory: 131072, Teams: 4, Speeds: []float64{0.6, 1, 1.6}, BurstFactor: 2.3, Duration: duration,
		RateFactor: rateFactor * float64(hosts) / 11, LostWorkCost: 0.0033, StopDelay: 300 * time.Millisecond, classes: smallLinenRotaClasses,
	}
}

// BirdTable returns the load of the bird table workshops deployment, scaled up to 62 workers.
func BirdTable(rateFactor float64) LoadConfig {
	return LoadConfig{
		Hosts: 62, HostsPerRack: 7, Memory: 65536, Teams: 10, Speeds: []float64{0.6, 1, 1.6}, BurstFactor: 2.3, Duration: 34 * time.Second,
		RateFactor: rateFactor, LostWorkCost: 0.0011, StopDelay: 300 * time.Millisecond, classes: birdTableClasses,
	}
}

// LinenRota returns the load of the linen rota deployment, scaled up to 54 workers.
func LinenRota(rateFactor float64) LoadConfig {
	return LoadConfig{
		Hosts: 54, HostsPerRack: 8, Memory: 131072, Teams: 10, Speeds: []float64{0.55, 1.2, 1.2, 1.2}, BurstFactor: 2.3, Duration: 34 * time.Second,
		RateFactor: rateFactor, LostWorkCost: 0.0012, StopDelay: 300 * time.Millisecond, classes: linenRotaClasses,
	}
}

// LargeLinenRota returns the load of the linen rota deployment at 240 workers.
func LargeLinenRota(rateFactor float64) LoadConfig {
	return LoadConfig{
		Hosts: 240, HostsPerRack: 20, Memory: 131072, Teams: 24, Speeds: []float64{0.55, 1.2, 1.2, 1.2}, BurstFactor: 2.3, Duration: 34 * time.Second,
		RateFactor: rateFactor, LostWorkCost: 0.00079, StopDelay: 700 * time.Millisecond, Lead: 7 * time.Second, classes: largeLinenRotaClasses,
	}
}

// Ledger returns the load of the call detail look-up deployment.
func Ledger(rateFactor float64) LoadConfig {
	return LoadConfig{
		Hosts: 73, HostsPerRack: 8, Memory: 65536, Teams: 10, Speeds: []float64{1, 1, 1.3}, BurstFactor: 2.3, Duration: 34 * time.Second,
		RateFactor: rateFactor, LostWorkCost: 0.0011, StopDelay: 200 * time.Millisecond, classes: ledgerClasses,
	}
}

// Hut returns the load of the hut booking deployment.
func Hut(rateFactor float64) LoadConfig {
	return LoadConfig{
		CPU: 64000, Hosts: 66, HostsPerRack: 8, Memory: 262144, Teams: 10, Speeds: []float64{0.55, 1.2, 1.2, 1.2}, BurstFactor: 2.3, Duration: 34 * time.Second,
		RateFactor: rateFactor, LostWorkCost: 0.0012, StopDelay: 200 * time.Millisecond, classes: hutClasses,
	}
}

// WithRoom returns the load on the given number of hosts with a rate at which the arrivals of a second take that many
// times the accelerators.
func (cfg LoadConfig) WithRoom(times float64, hosts int, duration time.Duration) LoadConfig {
	perSecond := 0.0
	for _, c := range cfg.classes {
		accels := 0.0
		for _, n := range c.accels {
			accels += float64(n) / float64(len(c.accels))
		}
		perSecond += c.perSecond * c.meanTasks * accels * c.duration.Seconds()
	}
	cfg.Hosts, cfg.Duration, cfg.BurstFactor = hosts, duration, 1
	cfg.RateFactor = times * float64(hosts) * float64(cfg.hostCapacity().Accels) / perSecond
	return cfg
}

// defaultCPU is the size of a host unless a load sets another one, in thousandths of a core.
const defaultCPU = 32000

// hostCapacity returns the resources of a host.
func (cfg LoadConfig) hostCapacity() allot.Resources {
	return allot.Resources{CPU: cmp.Or(cfg.CPU, defaultCPU), Memory: cfg.Memory, Accels: 8}
}

// newWorkers returns the workers of a load.
func (cfg LoadConfig) newWorkers() []allot.Worker {
	var list []allot.Worker
	for i := range cfg.Hosts {
		w := allot.Worker{
			Host: fmt.Sprintf("host-%d", i), Service: "s", Rack: fmt.Sprintf("r%d", i/cfg.HostsPerRack), Labels: []string{"a"},
			Capacity: cfg.hostCapacity(), Speed: 1,
		}
		w.ID.Name = fmt.Sprintf("w%02d", i)
		list = append(list, w)
	}
	return list
}

// guaranteedShare is the share of all accelerators that is guaranteed to teams.
const guaranteedShare = 0.62

// Generate returns a random scenario with the given load. Urgent jobs arrive in a burst from an eighth to a
// third of the time span.
func Generate(seed uint64, cfg LoadConfig) Scenario {
	rng := rand.New(rand.NewPCG(seed, 1))
	s := Scenario{Workers: cfg.newWorkers(), Speeds: map[jobs.Worker]float64{}, Guarantees: map[string]int64{}, RemoteFactor: 3, LostWorkCost: cfg.LostWorkCost, StopDelay: cfg.StopDelay, LeaderChanges: cfg.LeaderChanges, Admission: cfg.Admission}
	for _, w := range s.Workers {
		s.Speeds[w.ID] = cfg.Speeds[rng.IntN(len(cfg.Speeds))]
	}
	var teams []string
	for i := range cfg.Teams {
		teams = append(teams, fmt.Sprintf("t%d", i))
		s.Guarantees[teams[i]] = int64(float64(cfg.Hosts) * 8 * guaranteedShare / float64(cfg.Teams))
	}
	for _, c := range cfg.classes {
		for range c.initial {
			s.Jobs = append(s.Jobs, c.newJob(rng, 0, teams, len(s.Jobs), cfg))
		}
		rate := c.perSecond * cfg.RateFactor
		for at := time.Duration(0); at < cfg.Duration; {
			burstRate := rate
			if c.priority == 0 && at > cfg.Duration/8 && at < cfg.Duration/3 {
				burstRate *= cfg.BurstFactor
			}
			at += time.Duration(rng.ExpFloat64() / burstRate * float64(time.Second))
			if at < cfg.Duration {
				s.Jobs = append(s.Jobs, c.newJob(rng, cfg.Lead+at, teams, len(s.Jobs), cfg))
			}
		}
	}
	s.Jobs = append(s.Jobs, cfg.busyTeamJobs(seed, teams, len(s.Jobs))...)
	s.ScaleValues()
	if cfg.SlowPeriods {
		s.SlowPeriods = slowPeriods(rng, s.Workers, cfg.Duration)
	}
	return s
}

// slowPeriods draws two periods in which a fifth of the workers are slow.
func slowPeriods(rng *rand.Rand, workers []allot.Worker, duration time.Duration) []SlowPeriod {
	var list []SlowPeriod
	for _, at := range []time.Duration{duration / 6, duration / 2} {
		s := SlowPeriod{From: at, To: at + 6500*time.Millisecond, DurationFactor: 4.5}
		for _, i := range rng.Perm(len(workers))[:(len(workers)+4)/5] {
			s.Workers = append(s.Workers, workers[i].ID)
		}
		list = append(list, s)
	}
	return list
}

// newJob draws a job of the class. Its number of tasks and its duration are log-normal, with half of the
// variance subtracted so that the means stay those of the class.
func (c jobClass) newJob(rng *rand.Rand, at time.Duration, teams []string, index int, cfg LoadConfig) Job {
	hosts := cfg.Hosts
	tasks := int(math.Round(c.meanTasks * math.Exp(0.8*rng.NormFloat64()-0.32)))
	duration := time.Duration(float64(c.duration) * math.Exp(c.stdDev*rng.NormFloat64()-c.stdDev*c.stdDev/2))
	j := Job{
		ID: fmt.Sprintf("%016x", index+1), Arrival: at, Queue: c.queue, Team: teams[rng.IntN(len(teams))], Priority: c.priority,
		Tasks: min(max(tasks, 1), c.maxTasks), Duration: duration, Gang: rng.Float64() < c.gangShare,
		Checkpoints: rng.Float64() < c.checkpointShare, Slack: c.slack, Target: c.target, Value: c.value, LateValue: c.lateValue,
		PerTask:  allot.Resources{CPU: c.cpu, Memory: c.memory, Accels: c.accels[rng.IntN(len(c.accels))]},
		Estimate: time.Duration(float64(duration) * math.Exp(c.estimateStdDev*rng.NormFloat64())),
	}
	for rng.Float64() < c.failShare && j.FailingRuns < 2 {
		j.FailingRuns++
	}
	compact := rng.Float64() < c.compactShare
	// A gang that uses more than half of all accelerators is never submitted.
	for j.Gang && int64(j.Tasks)*j.PerTask.Accels > int64(hosts)*8/2 {
		j.Tasks = max(1, j.Tasks/2)
		if j.Tasks == 1 {
			break
		}
	}
	j.Gang = j.Gang && j.Tasks > 1
	// Gangs that use more than half of a rack don't ask to stay in one.
	host := cfg.hostCapacity()
	j.Compact = j.Gang && compact && 2*j.Tasks <= cfg.HostsPerRack*host.CapacityFor(j.PerTask, j.Tasks)
	if rng.Float64() < c.dataRackShare {
		j.DataRack = fmt.Sprintf("r%d", rng.IntN((hosts+cfg.HostsPerRack-1)/cfg.HostsPerRack))
	}
	return j
}
