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

// Plus returns the sum of two rooms.
func (r Room) Plus(o Room) Room {
	return Room{r.CPU + o.CPU, r.Memory + o.Memory, r.Accels + o.Accels}
}

// Minus returns what is left without o. It may be negative.
func (r Room) Minus(o Room) Room {
	return Room{r.CPU - o.CPU, r.Memory - o.Memory, r.Accels - o.Accels}
}

// Times returns n times the room.
func (r Room) Times(n int) Room {
	return Room{r.CPU * int64(n), r.Memory * int64(n), r.Accels * int64(n)}
}

// Holds returns how many times o fits, at most limit.
func (r Room) Holds(o Room, limit int) int {
	n := int64(limit)
	for _, p := range [][2]int64{{r.CPU, o.CPU}, {r.Memory, o.Memory}, {r.Accels, o.Accels}} {
		if p[1] > 0 {
			n = min(n, max(0, p[0])/p[1])
		}
	}
	return int(n)
}

// coresPerAccel is how many cores an accelerator counts as.
const coresPerAccel = 8

// weight returns the room in accelerators.
func (r Room) weight() float64 {
	return float64(r.Accels) + float64(r.CPU)/1000/coresPerAccel
}

// Worker is a worker that may be given tasks.
type Worker struct {
	ID      jobs.Worker
	Host    string // the agent beside it
	Service string
	Labels  []string
	Rack    string
	Size    Room
	Speed   float64 // learned, 1 is a sound worker of the usual kind
	Doubt   float64 // standard deviation of the logarithm of Speed
	Barred  bool    // draining or out of reach: takes no new tasks
	Shunned bool    // has failed too much lately: takes only tasks that have waited for too long
	Suspect bool    // a run has failed there lately, or its report is overdue: takes tasks only if there is nowhere else
	// Leaves is when the worker ends at the earliest, with all that runs there;
	// zero if it stays.
	Leaves time.Time
	Runs   []Run
}

// Run is what a worker is busy with.
type Run struct {
	Task     jobs.TaskID
	Run      int
	Room     Room
	Priority int
	Sure     bool // belongs to a job within its team's guarantee
	Gang     bool
	Saves    bool
	Lasts    bool
	Stopping bool
	Left     time.Duration // expected until its end
	Lost     time.Duration // work that is thrown away if it is stopped now
	Deadline time.Time     // by which its job ought to be complete
	Late     time.Time     // after which its completion is of no use
}

// sameGang tells whether two members belong to one gang.
func (r *Run) sameGang(o *Run) bool {
	return r.Task.Job == o.Task.Job && r.Task.Occur == o.Task.Occur && r.Task.Step == o.Task.Step
}

// Need is the waiting tasks of one step that may start.
type Need struct {
	Job      string
	Queue    string
	Team     string
	Service  string
	Occur    int
	Step     int
	Indexes  []int // of the tasks that wait
	Room     Room  // of each task
	Gang     bool
	Lasts    bool // its tasks run until the job is cancelled
	Compact  bool // slower on more than one rack
	Label    string
	DataRack string // slower elsewhere
	Spread   int    // most tasks of the step on one worker; 0 is any
	Used     map[jobs.Worker]int
	Avoid    map[jobs.Worker]bool // where it failed before; used only if there is nowhere else
	Priority int
	Sure     bool // within its team's guarantee
	Work     time.Duration
	Rest     time.Duration // of the tasks and steps after this one
	Ready    time.Time     // since when it could have started
	Idle     time.Time     // since when nothing of its job has run (tasks of the step, if it lasts), zero if something does
	Deadline time.Time     // by which the job ought to be complete
	Late     time.Time     // after which its completion is of no use
	Order    uint64
}

// Claim is room that a plan keeps for a need until the runs there have ended. It
// is handed to the next plan, so that what is cleared for one isn't given away.
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

// Input is what a plan is made from.
type Input struct {
	Now     time.Time
	Claims  []Claim       // of the last plan
	Patient time.Duration // how long what a guarantee covers may wait for its room
	Remote  float64       // how many times as long work takes far from its data or over racks
	Workers []Worker
	Needs   []Need
}

// Stop is a run that has to make room.
type Stop struct {
	Worker jobs.Worker
	Task   jobs.TaskID
	Run    int
	For    string // the job that needs the room, Vacated
}

// Vacated stands in the place of a job that needs room: the run can't end before
// its worker does.
const Vacated = "nothing: its worker leaves before it ends"

// Verdict says what became of a need in a plan, for logs and reports.
type Verdict string

// The verdicts on a need.
const (
	Started  Verdict = "started"
	Partly   Verdict = "partly"   // some of its tasks started
	Held     Verdict = "held"     // room is kept for it, from runs that are stopping
	Reclaims Verdict = "reclaims" // runs are stopped for it
	Waits    Verdict = "waits"    // there is no room
	Better   Verdict = "better"   // waiting for a nearer place ends it sooner
)

// Ruling is the verdict on one need.
type Ruling struct {
	Job     string
	Step    int
	Verdict Verdict
	Tasks   int
	// What it was decided from.
	Workers  int           // that may run its tasks
	Free     int64         // accelerators free on them
	Work     time.Duration // expected of each task
	Deadline time.Time
	Sure     bool
}

// Plan is what to do now.
type Plan struct {
	Starts  []jobs.Start
	Stops   []Stop
	Claims  []Claim
	Rulings []Ruling
}
