package play

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/allot"
	"github.com/knapweedlug/knapweedlug/internal/jobs"
)

// Decide is the policy to simulate: allot.Make or a baseline.
type Decide func(in allot.Input) allot.Plan

// Outcome is the result of one job.
type Outcome struct {
	Job   Job
	Begun time.Duration // since the start of the simulation, 0 if never
	Done  time.Duration // likewise
	Stops int           // stops of its runs for other jobs
}

// Worth returns the value of the result to the caller.
func (o Outcome) Worth() float64 {
	took := o.Done - o.Job.At
	switch {
	case o.Done == 0:
		return 0
	case took <= o.Job.Objective():
		return o.Job.Worth
	case took <= 3*o.Job.Objective():
		return o.Job.Late
	}
	return 0
}

// Result is the result of a simulation.
type Result struct {
	Jobs   []Outcome
	Starts int
	Stops  int
	Wasted float64 // core-seconds of work that was lost
	Used   float64 // core-seconds of work that was completed
	Price  float64 // cost of a lost core-second, in units of value
	Room   float64 // capacity in core-seconds, counting accelerators only
	Slow   time.Duration
}

// Share returns the share of the possible value that was earned by the jobs of a queue, or of all
// queues if queue is "".
func (r Result) Share(queue string) float64 {
	got, most := 0.0, 0.0
	for _, o := range r.Jobs {
		if queue == "" || o.Job.Queue == queue {
			got += o.Worth()
			most += o.Job.Worth
		}
	}
	if most == 0 {
		return 1
	}
	return got / most
}

// Net returns the share of the possible value that was earned, minus the cost of lost work.
func (r Result) Net() float64 {
	most := 0.0
	for _, o := range r.Jobs {
		most += o.Job.Worth
	}
	if most == 0 {
		return 1
	}
	return r.Share("") - r.Price*r.Wasted/most
}

// world is the state of a simulation.
type world struct {
	day     Day
	all     allot.Room // of all workers
	decide  Decide
	now     time.Duration // since the start of the simulation
	learner *allot.Learner
	out     []Outcome
	jobs    []*job
	slots   map[jobs.Worker][]*task // tasks on each worker
	known   jobs.Learned            // stored for the next leader
	claims  []allot.Claim
	res     Result
}

type job struct {
	Job
	index int // in world.out
	tasks []*task
	done  int
	fails int // runs that have yet to fail
}

type task struct {
	job      *job
	index    int
	run      int
	on       jobs.Worker
	begun    time.Duration // when its run started
	factor   float64       // of its duration, by distance from data or between members
	work     time.Duration // of the whole task at the usual speed
	left     time.Duration // part of work that remains
	stopped  time.Duration // when a stopping run ends
	pace     allot.Pace
	stopping bool
	running  bool
	done     bool
	whole    bool // the run didn't resume from a checkpoint
	single   bool // all tasks that started with it are on one worker
	fails    bool // the run fails halfway
}

// patient is how long guaranteed work may wait before other work is stopped for it. The users demand
// that it starts within 2.7 s.
const patient = 1200 * time.Millisecond

// tick is the time step of the simulation. Decisions take effect one tick later.
const tick = 20 * time.Millisecond

// Play simulates a scenario under a policy. It ends when grace has passed since the last arrival.
func Play(d Day, decide Decide, grace time.Duration) Result {
	w := &world{day: d, all: d.room(), decide: decide, learner: allot.NewLearner(), slots: map[jobs.Worker][]*task{}}
	arrivals := slices.Clone(d.Jobs)
	slices.SortFunc(arrivals, func(a, b Job) int { return cmp.Compare(a.At, b.At) })
	end := grace
	if len(arrivals) > 0 {
		end += arrivals[len(arrivals)-1].At
	}
	forgets := d.Forgets
	for w.now = 0; w.now < end; w.now += tick {
		news := w.finish()
		if len(forgets) > 0 && forgets[0] <= w.now {
			w.learner, w.claims, forgets = allot.NewLearner(), nil, forgets[1:]
			w.learner.Recall(w.known)
		}
		for len(arrivals) > 0 && arrivals[0].At <= w.now {
			w.arrive(arrivals[0])
			arrivals = arrivals[1:]
			news = true
		}
		if news || w.now%(10*tick) == 0 {
			w.step()
		}
	}
	w.res.Jobs = w.out
	w.res.Room, w.res.Price = end.Seconds()*64*float64(len(d.Workers)), d.Waste
	return w.res
}

// arrive adds a job.
func (w *world) arrive(a Job) {
	j := &job{Job: a, index: len(w.out), fails: a.Fails}
	for i := range a.Tasks {
		j.tasks = append(j.tasks, &task{job: j, index: i})
	}
	w.out = append(w.out, Outcome{Job: a})
	w.jobs = append(w.jobs, j)
}

// advance progresses all runs by a tick, each at the speed of its worker.
func (w *world) advance() {
	for id, list := range w.slots {
		speed := w.speed(id)
		for _, t := range list {
			if !t.stopping {
				t.left = max(0, t.left-time.Duration(float64(tick)*speed/t.factor))
			}
		}
	}
}

// speed returns the current speed of a worker.
func (w *world) speed(id jobs.Worker) float64 {
	s := w.day.Speeds[id]
	for _, e := range w.day.Slow {
		if w.now >= e.From && w.now < e.To && slices.Contains(e.Workers, id) {
			s /= e.Times
		}
	}
	return s
}

// over reports whether a run has ended.
func (w *world) over(t *task) bool {
	switch {
	case t.stopping:
		return w.now >= t.stopped
	case t.fails:
		return t.left <= t.work/2
	case !t.job.Gang:
		return t.left == 0
	}
	for _, m := range t.job.tasks {
		if m.running && m.left > 0 {
			return false
		}
	}
	return true
}

// finish progresses all runs, ends those that are over and reports whether there were any.
func (w *world) finish() bool {
	w.advance()
	var ended []*task
	for i := range w.day.Workers {
		for _, t := range w.slots[w.day.Workers[i].ID] {
			if w.over(t) {
				ended = append(ended, t)
			}
		}
	}
	for _, t := range ended {
		if t.running {
			w.end(t)
		}
	}
	return len(ended) > 0
}

// end ends a run and records its result.
func (w *world) end(t *task) {
	j := t.job
	t.running = false
	w.slots[t.on] = slices.DeleteFunc(w.slots[t.on], func(o *task) bool { return o == t })
	took := w.now - t.begun
	if t.stopping {
		t.stopping = false
		if !j.Saves {
			w.res.Wasted += took.Seconds() * j.costs()
		}
		return
	}
	if t.fails {
		t.fails = false
		for _, m := range j.tasks {
			if j.Gang && m.running {
				m.fails = false
				m.stopping, m.stopped = true, w.now
				w.end(m)
			}
		}
		return
	}
	t.done = true
	w.res.Used += took.Seconds() * j.costs()
	w.learner.Ended(allot.Outcome{
		Worker: t.on, Task: w.id(t), Queue: j.Queue, Guess: j.Estimate, How: jobs.RunDone, Took: took, Factor: t.factor, Whole: t.whole, Single: t.single, Gang: j.Gang,
	}, time.Unix(0, 0).Add(w.now))
	j.done++
	if j.done == len(j.tasks) {
		w.out[j.index].Done = w.now
		w.jobs = slices.DeleteFunc(w.jobs, func(o *job) bool { return o == j })
	}
}

// sure returns the IDs of the jobs within the guarantees of their teams.
func (w *world) sure() map[string]bool {
	used, covered := map[string]int64{}, map[string]bool{}
	for _, j := range w.jobs {
		n := int64(j.Tasks) * j.Room.Accels
		if j.Priority == 0 && used[j.Team]+n <= w.day.Sure[j.Team] {
			used[j.Team] += n
			covered[j.ID] = true
		}
	}
	return covered
}

// step makes a plan and applies it.
func (w *world) step() {
	now := time.Unix(0, 0).Add(w.now)
	in := allot.Input{Now: now, Remote: w.day.Remote, Patient: patient, Claims: w.claims, Workers: slices.Clone(w.day.Workers)}
	sure := w.sure()
	for i := range in.Workers {
		in.Workers[i].Runs = nil
		in.Workers[i].Speed = w.learner.Speed(in.Workers[i].ID)
		in.Workers[i].Doubt = w.learner.Doubt(in.Workers[i].ID)
		for _, t := range w.slots[in.Workers[i].ID] {
			w.sample(t)
			in.Workers[i].Runs = append(in.Workers[i].Runs, w.run(t, sure))
		}
	}
	for _, j := range w.jobs {
		if n, ok := w.need(j, sure, now); ok {
			in.Needs = append(in.Needs, n)
		}
	}
	plan := w.decide(in)
	w.claims = plan.Claims
	if n := w.learner.News(); n != nil {
		w.known.Speeds = append(w.known.Speeds, n.Speeds...)
		if w.known.Work == nil {
			w.known.Work = map[string]float64{}
		}
		maps.Copy(w.known.Work, n.Work)
	}
	for _, s := range plan.Stops {
		w.stop(s)
	}
	for _, s := range plan.Starts {
		w.start(s)
	}
}

// look is the interval of workers' reports.
const look = 500 * time.Millisecond

// sample passes the progress of a run to the learner, like a worker's report.
func (w *world) sample(t *task) {
	if t.stopping || (w.now-t.begun)%look != 0 {
		return
	}
	percent := int(100 * (t.work - t.left) / max(t.work, 1))
	var fresh bool
	if t.pace, fresh = t.pace.WithProgress(percent, int64(w.now/time.Millisecond)+1); fresh {
		w.learner.Progress(allot.Outcome{
			Worker: t.on, Task: w.id(t), Queue: t.job.Queue, Guess: t.job.Estimate, Took: t.pace.Whole(), Factor: t.factor, Whole: t.whole, Single: t.single, Gang: t.job.Gang,
		})
	}
}

// run describes a run to the planner.
func (w *world) run(t *task, sure map[string]bool) allot.Run {
	j := t.job
	usual := w.learner.Work(jobs.TaskID{Job: j.ID}, j.Queue, j.Estimate)
	work := time.Duration(float64(usual) * t.factor)
	elapsed := w.now - t.begun
	r := allot.Run{
		Task: w.id(t), Run: t.run, Room: j.Room, Priority: j.Priority, Sure: sure[j.ID], Gang: j.Gang, Saves: j.Saves,
		Stopping: t.stopping, Left: max(work-elapsed, work/4), Lost: elapsed,
	}
	part := float64(t.left) / float64(max(t.work, 1))
	if whole := t.pace.Whole(); whole > 0 {
		r.Left = time.Duration(float64(whole) * part)
	}
	if j.Saves {
		r.Lost = min(elapsed, restore)
	}
	r.Deadline, r.Late = w.dates(j)
	rest := w.furtherRounds(j, 1+j.waiting(), usual)
	r.Deadline, r.Late = r.Deadline.Add(-rest), r.Late.Add(-rest)
	return r
}

// restore is how long a run takes to resume from a checkpoint.
const restore = 600 * time.Millisecond

// dates returns when a job should be complete and after which time completing it has no value, based
// on the estimated duration of its tasks.
func (w *world) dates(j *job) (deadline, late time.Time) {
	aim := j.aim(w.learner.Work(jobs.TaskID{Job: j.ID}, j.Queue, j.Estimate))
	from := time.Unix(0, 0).Add(j.At)
	return from.Add(aim), from.Add(3 * aim)
}

// waiting returns the number of tasks that are neither done nor running.
func (j *job) waiting() int {
	n := 0
	for _, t := range j.tasks {
		if !t.done && !t.running {
			n++
		}
	}
	return n
}

// furtherRounds returns the expected duration of the given number of tasks beyond the first round.
func (w *world) furtherRounds(j *job, tasks int, work time.Duration) time.Duration {
	return time.Duration((allot.Rounds(tasks, j.Gang, j.Room, w.all) - 1) * float64(work))
}

func (w *world) id(t *task) jobs.TaskID { return jobs.TaskID{Job: t.job.ID, Index: t.index} }

// need describes the waiting tasks of a job to the planner. It reports false if there are none or if
// members of its gang are still running.
func (w *world) need(j *job, sure map[string]bool, now time.Time) (allot.Need, bool) {
	work := w.learner.Work(jobs.TaskID{Job: j.ID}, j.Queue, j.Estimate)
	from := now.Add(j.At - w.now)
	deadline, late := w.dates(j)
	n := allot.Need{
		Job: j.ID, Queue: j.Queue, Team: j.Team, Service: "s", Room: j.Room, Gang: j.Gang, Compact: j.Compact, Label: j.Label,
		DataRack: j.DataRack, Priority: j.Priority, Sure: sure[j.ID], Work: work, Ready: from, Order: uint64(j.index),
		Deadline: deadline, Late: late, Used: map[jobs.Worker]int{},
	}
	for _, t := range j.tasks {
		switch {
		case t.running && j.Gang:
			return n, false
		case t.running:
			n.Used[t.on]++
		case !t.done:
			n.Indexes = append(n.Indexes, t.index)
		}
	}
	n.Rest = w.furtherRounds(j, len(n.Indexes), work)
	return n, len(n.Indexes) > 0
}

func (w *world) find(id jobs.TaskID) *task {
	at := slices.IndexFunc(w.jobs, func(j *job) bool { return j.ID == id.Job })
	if at < 0 {
		return nil
	}
	return w.jobs[at].tasks[id.Index]
}

// stop stops a run and the other members of its gang.
func (w *world) stop(s allot.Stop) {
	t := w.find(s.Task)
	if t == nil || !t.running || t.stopping {
		return
	}
	members := []*task{t}
	if t.job.Gang {
		members = t.job.tasks
	}
	w.out[t.job.index].Stops++
	for _, m := range members {
		if m.running && !m.stopping {
			w.res.Stops++
			m.stopping, m.stopped = true, w.now+w.day.Stop
		}
	}
}

// start starts tasks on their workers.
func (w *world) start(s jobs.Start) {
	racks := map[jobs.Worker]string{}
	for i := range w.day.Workers {
		racks[w.day.Workers[i].ID] = w.day.Workers[i].Rack
	}
	first := w.find(s.Places[0].Task)
	if first == nil {
		return
	}
	j := first.job
	factor, single := 1.0, true
	for _, p := range s.Places {
		single = single && p.Worker == s.Places[0].Worker
		if (j.Compact && racks[p.Worker] != racks[s.Places[0].Worker]) || (j.DataRack != "" && racks[p.Worker] != j.DataRack) {
			factor = w.day.Remote
		}
	}
	if w.out[j.index].Begun == 0 {
		w.out[j.index].Begun = w.now
	}
	for _, p := range s.Places {
		t := j.tasks[p.Task.Index]
		t.run++
		again := j.Saves && t.left < t.work // it resumes from a checkpoint
		if !again {
			t.work = time.Duration(float64(j.Work) * j.uneven(p.Task.Index))
			t.left = t.work
		} else {
			t.left += min(t.work-t.left, time.Duration(float64(restore)*w.day.Speeds[p.Worker]))
		}
		t.on, t.begun, t.factor, t.running, t.stopping, t.whole = p.Worker, w.now, factor, true, false, !again
		t.single, t.pace = single, allot.Pace{}
		w.slots[p.Worker] = append(w.slots[p.Worker], t)
		w.res.Starts++
		// A gang fails as a whole, other tasks one by one.
		if j.fails > 0 {
			t.fails = true
			if !j.Gang {
				j.fails--
			}
		}
	}
	if j.Gang && j.fails > 0 {
		j.fails--
	}
}
