package allot

import (
	"time"

	"github.com/knapweedlug/knapweedlug/internal/jobs"
)

// Room is an amount of a worker's resources.
type Room struct {
	CPU    int64 // thousandths of a core
	Memory int64 // MiB
	Accels int64
}

// Plus returns the sum of r and o.
func (r Room) Plus(o Room) Room {
	return Room{r.CPU + o.CPU, r.Memory + o.Memory, r.Accels + o.Accels}
}

// Minus returns r without o. Fields may become negative.
func (r Room) Minus(o Room) Room {
	return Room{r.CPU - o.CPU, r.Memory - o.Memory, r.Accels - o.Accels}
}

// Times returns n times r.
func (r Room) Times(n int) Room {
	return Room{r.CPU * int64(n), r.Memory * int64(n), r.Accels * int64(n)}
}

// Holds returns how many times o fits into r, at most limit.
func (r Room) Holds(o Room, limit int) int {
	n := int64(limit)
	for _, p := range [][2]int64{{r.CPU, o.CPU}, {r.Memory, o.Memory}, {r.Accels, o.Accels}} {
		if p[1] > 0 {
			n = min(n, max(0, p[0])/p[1])
		}
	}
	return int(n)
}

// coresPerAccel is how many cores count as much as one accelerator.
const coresPerAccel = 8

// accelEquivalent returns the amount in accelerators. Memory doesn't count.
func (r Room) accelEquivalent() float64 {
	return float64(r.Accels) + float64(r.CPU)/1000/coresPerAccel
}

// Worker is a worker of the fleet with its runs.
type Worker struct {
	ID      jobs.Worker
	Host    string // the agent that controls it
	Service string
	Labels  []string
	Rack    string
	Size    Room
	Speed   float64 // learned; 1 is a healthy worker of the usual kind
	Doubt   float64 // standard deviation of the logarithm of Speed
	Barred  bool    // draining or unreachable: takes no new tasks
	Shunned bool    // has failed too often lately: takes only tasks that have waited for too long
	Suspect bool    // a run failed there a short while ago or its report is overdue: takes tasks only if no other worker can
	// Leaves is the earliest time at which the worker shuts down with all of its runs; zero if it
	// stays.
	Leaves time.Time
	Runs   []Run
}

// Run is a run that occupies resources of a worker.
type Run struct {
	Task     jobs.TaskID
	Run      int // number of the run, counted for each task
	Room     Room
	Priority int
	Sure     bool // its job is within the guarantee of its team
	Gang     bool // its tasks run together or not at all
	Saves    bool // it writes checkpoints
	Lasts    bool // it runs until the job is cancelled
	Stopping bool
	Left     time.Duration // expected until it ends
	Lost     time.Duration // work that is lost if it is stopped now
	Deadline time.Time     // at which its job should be complete
	Late     time.Time     // after which completing the job has no value
}

// sameGang reports whether both runs are members of the same gang.
func (r *Run) sameGang(o *Run) bool {
	return r.Task.Job == o.Task.Job && r.Task.Occur == o.Task.Occur && r.Task.Step == o.Task.Step
}

// Need describes the waiting tasks of one step that may start.
type Need struct {
	Job      string
	Queue    string
	Team     string
	Service  string
	Occur    int // occurrence of a recurring job
	Step     int
	Indexes  []int                // of the waiting tasks
	Room     Room                 // of each task
	Gang     bool                 // tasks start together or not at all
	Lasts    bool                 // tasks run until the job is cancelled
	Compact  bool                 // slower if it spans racks
	Label    string               // that a worker must have
	DataRack string               // its data is there; tasks are slower on any other rack
	Spread   int                  // most tasks of the step on one worker; 0 is no limit
	Used     map[jobs.Worker]int  // tasks of the step on each worker
	Avoid    map[jobs.Worker]bool // workers on which it failed; used only if no other can take it
	Priority int
	Sure     bool          // within the guarantee of its team
	Work     time.Duration // expected of each task at the usual speed
	Rest     time.Duration // expected of the tasks and steps that follow
	Ready    time.Time     // since when it could have started
	Idle     time.Time     // since when no task of its job has run (for a long-running step: since when tasks of it have been missing); zero if it isn't idle
	Deadline time.Time     // at which the job should be complete
	Late     time.Time     // after which completing the job has no value
	Order    uint64        // of acceptance of the jobs
}

// Claim reserves resources for a step until the runs there have ended. It is passed to the
// next plan, so that resources freed for one step aren't used for another.
type Claim struct {
	Job    string
	Occur  int
	Step   int
	Shares []Share
}

// Share is a number of tasks on one worker.
type Share struct {
	Worker jobs.Worker
	Tasks  int
}

// Input is everything that a plan depends on.
type Input struct {
	Now     time.Time
	Claims  []Claim       // of the last plan
	Patient time.Duration // longest wait of guaranteed work before other work is stopped for it
	Remote  float64       // factor of a task's duration far from its data, or of a compact gang's across racks
	Workers []Worker
	Needs   []Need
}

// Stop is a run that has to stop.
type Stop struct {
	Worker jobs.Worker
	Task   jobs.TaskID
	Run    int
	For    string // job that needs the resources, or why the run stops although none does
}

// Vacated takes the place of the job in a Stop if a run is stopped because it can't end before its worker
// shuts down.
const Vacated = "nothing: its worker leaves before it ends"

// Verdict tells what a plan decided on a step.
type Verdict string

// The verdicts.
const (
	Started  Verdict = "started"  // all of its tasks started
	Partly   Verdict = "partly"   // some of its tasks started
	Held     Verdict = "held"     // resources of stopping runs are claimed for it
	Reclaims Verdict = "reclaims" // runs are stopped for it
	Waits    Verdict = "waits"    // too few resources are free
	Better   Verdict = "better"   // it completes sooner if it waits for a better placement
)

// Ruling is the verdict on one step and what it was based on.
type Ruling struct {
	Job      string
	Step     int
	Verdict  Verdict
	Tasks    int           // tasks that start
	Workers  int           // that may run its tasks
	Free     int64         // accelerators free on them
	Work     time.Duration // expected of each task
	Deadline time.Time
	Sure     bool
}

// Plan tells which tasks start and which runs stop, and what the next plan has to know.
type Plan struct {
	Starts  []jobs.Start
	Stops   []Stop
	Claims  []Claim
	Rulings []Ruling
}
