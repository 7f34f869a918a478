package allot

import (
	"time"

	"github.com/knapweedlug/knapweedlug/internal/jobs"
)

// Resources is an amount of a worker's resources.
type Resources struct {
	CPU    int64 // thousandths of a core
	Memory int64 // MiB
	Accels int64 // accelerators
	Runs   int64 // runs at a time; each task takes one, or none if the number isn't limited
}

// Plus returns the sum of r and o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.Memory + o.Memory, r.Accels + o.Accels, r.Runs + o.Runs}
}

// Minus returns r without o. Fields may become negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.Memory - o.Memory, r.Accels - o.Accels, r.Runs - o.Runs}
}

// Times returns n times r.
func (r Resources) Times(n int) Resources {
	return Resources{r.CPU * int64(n), r.Memory * int64(n), r.Accels * int64(n), r.Runs * int64(n)}
}

// CapacityFor returns how many times o fits into r, at most limit.
func (r Resources) CapacityFor(o Resources, limit int) int {
	n := int64(limit)
	for _, p := range [][2]int64{{r.CPU, o.CPU}, {r.Memory, o.Memory}, {r.Accels, o.Accels}, {r.Runs, o.Runs}} {
		if p[1] > 0 {
			n = min(n, max(0, p[0])/p[1])
		}
	}
	return int(n)
}

// coresPerAccel is how many cores count as much as one accelerator.
const coresPerAccel = 8

// accelEquivalent returns the amount in accelerators. Memory doesn't count.
func (r Resources) accelEquivalent() float64 {
	return float64(r.Accels) + float64(r.CPU)/1000/coresPerAccel
}

// Worker is a worker of the fleet with its runs.
type Worker struct {
	ID            jobs.Worker
	Host          string // the agent that controls it
	Domain        string // failure domain
	Service       string
	Labels        []string
	Rack          string
	Capacity      Resources
	Speed         float64 // estimated speed; 1 is a healthy worker of the usual kind
	SpeedStdDev   float64 // standard deviation of the logarithm of Speed
	Unschedulable bool    // draining or unreachable: takes no new tasks
	Evacuated     bool    // its failure domain is evacuated: takes no new tasks, and doesn't count as room
	Quarantined   bool    // has failed too often lately: takes only tasks that have waited for too long
	Suspect       bool    // a run failed there a short while ago or its report is overdue: takes tasks only if no other worker can
	// ShutdownAt is the earliest time at which the worker shuts down with all of its runs; zero if it
	// stays.
	ShutdownAt time.Time
	ColdUntil  time.Time // until then it is slow after its start; zero if it isn't
	Runs       []Run
}

// Run is a run that occupies resources of a worker.
type Run struct {
	Task          jobs.TaskID
	Run           int // number of the run, counted for each task
	Resources     Resources
	Priority      int  // 0 is the most urgent
	Guaranteed    bool // its job is within the guarantee of its team
	Gang          bool // its tasks run together or not at all
	Checkpoints   bool // it writes checkpoints
	LongRunning   bool // it runs until the job is cancelled
	Stopping      bool
	Remaining     time.Duration // expected time until it ends
	LostIfStopped time.Duration // work that is lost if it is stopped now
	Deadline      time.Time     // time by which its job should be complete
	HardDeadline  time.Time     // time after which completing the job has no value
}

// PendingStep describes the waiting tasks of one step that may start.
type PendingStep struct {
	Job          string
	Queue        string
	Team         string
	Service      string
	Occurrence   int                  // occurrence of a recurring job
	Step         int                  // number of the step within the job
	Indexes      []int                // indexes of the waiting tasks
	Resources    Resources            // resources of each task
	Gang         bool                 // tasks start together or not at all
	LongRunning  bool                 // tasks run until the job is cancelled
	Compact      bool                 // slower if it spans racks
	Label        string               // label that a worker must have; empty if any will do
	DataRack     string               // rack that holds its data; tasks are slower on any other one
	MaxPerWorker int                  // maximum number of tasks of the step on one worker; 0 is no limit
	TasksOn      map[jobs.Worker]int  // number of running tasks of the step on each worker
	Avoid        map[jobs.Worker]bool // workers on which it failed; used only if no other can take it
	Priority     int                  // 0 is the most urgent
	Guaranteed   bool                 // its job is within the guarantee of its team
	TaskDuration time.Duration        // expected duration of each task at the usual speed
	RestDuration time.Duration        // expected duration of the tasks and steps that follow
	ReadyAt      time.Time            // when it could have started
	IdleSince    time.Time            // since when no task of its job has run (for a long-running step: since when tasks of it have been missing); zero if it isn't idle
	Deadline     time.Time            // time by which the job should be complete
	HardDeadline time.Time            // time after which completing the job has no value
	Place        time.Time            // deadline by which it is ordered if its job was refused at first: the one of its first arrival; zero means Deadline
	Order        uint64               // position of the job in the order of acceptance
}

// Claim reserves resources for a step until the runs there have ended. It is passed to the
// next plan, so that resources freed for one step aren't used for another.
type Claim struct {
	Job         string
	Occurrence  int          // occurrence of a recurring job
	Step        int          // number of the step within the job
	Assignments []Assignment // where its tasks will start
}

// Assignment is a number of tasks on one worker.
type Assignment struct {
	Worker jobs.Worker
	Tasks  int
}

// StopRule tells how the loss by a stop is estimated.
type StopRule string

// The rules. The empty rule is StopsEach.
const (
	StopsEach  StopRule = "each"  // workers are compared one by one, and every stopped run restarts after the same time
	StopsWhole StopRule = "whole" // also gangs that cover several of the workers needed; restarts wait for what waits
)

// Input is everything that a plan depends on.
type Input struct {
	Now              time.Time
	Claims           []Claim       // claims of the last plan
	MaxGuaranteeWait time.Duration // longest wait of guaranteed work before other work is stopped for it
	Stops            StopRule      // how the loss by a stop is estimated
	RemoteFactor     float64       // factor on the duration of a task outside the rack of its data, and of a compact gang that spans racks
	ColdFactor       float64       // factor on the duration of a task on a cold worker; 0 if it isn't known
	Workers          []Worker      // all workers with their runs
	Steps            []PendingStep // steps with waiting tasks
	// Use holds what teams hold and held lately, by name. Without it, steps of a class are served by deadline only.
	Use map[string]TeamUse
	// MinShareDifference is the least difference of two teams' shares that counts. Below it, and below an equal share, the
	// deadline decides.
	MinShareDifference float64
}

// TeamUse tells what a team holds now and what it held on average lately.
type TeamUse struct{ Held, Lately Resources }

// Stop is a run that has to stop.
type Stop struct {
	Worker jobs.Worker
	Task   jobs.TaskID
	Run    int    // number of the run, counted for each task
	ForJob string // id of the job that needs the resources, or ForShutdown
}

// ForShutdown takes the place of the job in a Stop if a run is stopped because it can't end before its worker
// shuts down.
const ForShutdown = "nothing: its worker leaves before it ends"

// Verdict tells what a plan decided on a step.
type Verdict string

// The verdicts.
const (
	Started        Verdict = "started"  // all of its tasks started
	PartlyStarted  Verdict = "partly"   // some of its tasks started
	WaitsForClaim  Verdict = "held"     // it waits for stopping runs whose resources are claimed for it
	Reclaims       Verdict = "reclaims" // runs are stopped for it
	Waits          Verdict = "waits"    // too few resources are free
	WaitsForBetter Verdict = "better"   // it completes sooner if it waits for a better placement
	// WaitsForEvacuated means that only workers in evacuated failure domains are large enough, or have the label.
	WaitsForEvacuated Verdict = "evacuated"
)

// Decision is the verdict on one step and what it was based on.
type Decision struct {
	Job          string
	Step         int
	Verdict      Verdict
	Tasks        int           // number of tasks that start
	Workers      int           // number of workers that may run its tasks
	Evacuated    int           // number of workers that could but are in an evacuated failure domain
	FreeAccels   int64         // accelerators that are free on these workers
	TaskDuration time.Duration // expected duration of each task at the usual speed
	Deadline     time.Time     // time by which the job should be complete
	Guaranteed   bool          // its job is within the guarantee of its team
}

// TeamShare tells how a plan saw a team that waited for too little room.
type TeamShare struct {
	Team    string
	Share   float64 // before the plan, of the resource of which it has the largest share
	Waiting int     // tasks that waited in the contended classes before the plan
	Started int     // of these, tasks that the plan starts
}

// Plan tells which tasks start and which runs stop, and what the next plan has to know.
type Plan struct {
	Starts    []jobs.Start
	Stops     []Stop
	Claims    []Claim    // to be passed to the next plan
	Decisions []Decision // one for each step, in the order in which they were planned
	// Shares has the teams between which shares decided; none if there was room for all or only one team waited.
	Shares []TeamShare
}
