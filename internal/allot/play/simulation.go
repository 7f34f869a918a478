package play

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/allot"
	"github.com/knapweedlug/knapweedlug/internal/jobs"
)

// Policy decides which tasks start and which runs stop. It is the planner of package allot or a baseline.
type Policy func(in allot.Input) allot.Plan

// JobResult tells what became of one job.
type JobResult struct {
	Job       Job
	Started   time.Duration // first start, since the start of the simulation; 0 if never
	Completed time.Duration // since the start of the simulation; 0 if never
	Stops     int           // number of times that its runs were stopped
	Refusals  int           // number of times that it was refused
	Accepted  time.Duration // when it was accepted, since the start of the simulation
}

// InUse reports whether the job was completed while that had a value, counted from its acceptance.
func (r JobResult) InUse() bool {
	return r.Completed > 0 && r.Completed-r.Accepted <= 3*r.Job.Objective()
}

// EarnedValue returns the value of the result to the caller.
func (r JobResult) EarnedValue() float64 {
	took := r.Completed - r.Job.Arrival
	switch {
	case r.Completed == 0:
		return 0
	case took <= r.Job.Objective():
		return r.Job.Value
	case took <= 3*r.Job.Objective():
		return r.Job.LateValue
	}
	return 0
}

// Result is the result of a simulation.
type Result struct {
	Jobs          []JobResult
	Starts        int     // runs that were started
	Stops         int     // runs that were stopped
	LostWork      float64 // core-seconds of work that was lost
	CompletedWork float64 // core-seconds of work that was completed
	LostWorkCost  float64 // cost of a lost core-second, in units of value
	Capacity      float64 // core-seconds of all workers, counting accelerators only, as eight cores each
	Slow          time.Duration
}

// ValueShare returns the share of the possible value that was earned by the jobs of a queue, or of all
// queues if queue is "".
func (r Result) ValueShare(queue string) float64 {
	earned, possible := 0.0, 0.0
	for _, o := range r.Jobs {
		if queue == "" || o.Job.Queue == queue {
			earned += o.EarnedValue()
			possible += o.Job.Value
		}
	}
	if possible == 0 {
		return 1
	}
	return earned / possible
}

// NetValueShare returns the share of the possible value that was earned, minus the cost of lost work.
func (r Result) NetValueShare() float64 {
	possible := 0.0
	for _, o := range r.Jobs {
		possible += o.Job.Value
	}
	if possible == 0 {
		return 1
	}
	return r.ValueShare("") - r.LostWorkCost*r.LostWork/possible
}

// simulation is the state of a simulation.
type simulation struct {
	scenario Scenario
	total    allot.Resources // of all workers
	policy   Policy
	now      time.Duration // since the start of the simulation
	learner  *allot.Learner
	results  []JobResult             // of all jobs that have arrived
	jobs     []*job                  // jobs that have arrived and aren't complete
	tasksOn  map[jobs.Worker][]*task // tasks on each worker
	stored   jobs.Estimates          // estimates stored for the next leader
	claims   []allot.Claim           // claims of the last plan
	promises []allot.Promise         // refused jobs whose callers will come back
	returns  []comeback              // when they do
	use      teamUse
	result   Result
}

// job is a job that has arrived and isn't complete.
type job struct {
	Job
	index     int // in simulation.results
	tasks     []*task
	done      int           // number of tasks that are done
	failsLeft int           // number of runs that have yet to fail
	offeredAt time.Duration // when it was last submitted, since the start of the simulation
}

// task is a task with the state of its last run.
type task struct {
	job          *job
	index        int
	run          int // number of its last run
	worker       jobs.Worker
	started      time.Duration      // when its run started
	factor       float64            // factor on its duration by distance from its data or between members
	duration     time.Duration      // duration of the whole task at the usual speed
	remaining    time.Duration      // part of duration that remains
	stopsAt      time.Duration      // when a stopping run ends
	rate         allot.ProgressRate // measured on its run
	stopping     bool
	running      bool
	done         bool
	fromStart    bool // the run didn't resume from a checkpoint
	singleWorker bool // all tasks that started with it are on one worker
	fails        bool // the run fails halfway
}

// maxGuaranteeWait is how long guaranteed work may wait before other work is stopped for it. The users demand
// that it starts within 2.7 s.
const maxGuaranteeWait = 1200 * time.Millisecond

// tickInterval is the time step of the simulation. Decisions take effect one tick later.
const tickInterval = 20 * time.Millisecond

// Simulate simulates a scenario under a policy. It ends when grace has passed since the last arrival.
func Simulate(scenario Scenario, policy Policy, grace time.Duration) Result {
	sim := &simulation{scenario: scenario, total: scenario.totalResources(), policy: policy, learner: allot.NewLearner(), tasksOn: map[jobs.Worker][]*task{}}
	arrivals := slices.Clone(scenario.Jobs)
	slices.SortFunc(arrivals, func(a, b Job) int { return cmp.Compare(a.Arrival, b.Arrival) })
	end := grace
	if len(arrivals) > 0 {
		end += arrivals[len(arrivals)-1].Arrival
	}
	leaderChanges := scenario.LeaderChanges
	for sim.now = 0; sim.now < end; sim.now += tickInterval {
		changed := sim.endRuns()
		if len(leaderChanges) > 0 && leaderChanges[0] <= sim.now {
			sim.learner, sim.claims, leaderChanges = allot.NewLearner(), nil, leaderChanges[1:]
			sim.learner.Restore(sim.stored)
		}
		for len(arrivals) > 0 && arrivals[0].Arrival <= sim.now {
			sim.arrive(arrivals[0])
			arrivals = arrivals[1:]
			changed = true
		}
		for _, c := range sim.returns {
			if c.at <= sim.now {
				sim.offer(c.job)
				changed = true
			}
		}
		sim.returns = slices.DeleteFunc(sim.returns, func(c comeback) bool { return c.at <= sim.now })
		if changed || sim.now%(10*tickInterval) == 0 {
			sim.replan()
		}
	}
	sim.result.Jobs = sim.results
	sim.result.Capacity, sim.result.LostWorkCost = end.Seconds()*64*float64(len(scenario.Workers)), scenario.LostWorkCost
	return sim.result
}

// arrive adds a job.
func (sim *simulation) arrive(a Job) {
	j := &job{Job: a, index: len(sim.results), failsLeft: a.FailingRuns}
	for i := range a.Tasks {
		j.tasks = append(j.tasks, &task{job: j, index: i})
	}
	sim.results = append(sim.results, JobResult{Job: a})
	sim.offer(j)
}

// advance adds a tick of progress to all runs, each at the speed of its worker.
func (sim *simulation) advance() {
	for id, list := range sim.tasksOn {
		speed := sim.speed(id)
		for _, t := range list {
			if !t.stopping {
				t.remaining = max(0, t.remaining-time.Duration(float64(tickInterval)*speed/t.factor))
			}
		}
	}
}

// speed returns the current speed of a worker.
func (sim *simulation) speed(id jobs.Worker) float64 {
	s := sim.scenario.Speeds[id]
	for _, period := range sim.scenario.SlowPeriods {
		if sim.now >= period.From && sim.now < period.To && slices.Contains(period.Workers, id) {
			s /= period.DurationFactor
		}
	}
	return s
}

// ended reports whether a run has ended.
func (sim *simulation) ended(t *task) bool {
	switch {
	case t.stopping:
		return sim.now >= t.stopsAt
	case t.fails:
		return t.remaining <= t.duration/2
	case !t.job.Gang:
		return t.remaining == 0
	}
	for _, m := range t.job.tasks {
		if m.running && m.remaining > 0 {
			return false
		}
	}
	return true
}

// endRuns advances all runs by a tick, ends those that are over and reports whether there were any.
func (sim *simulation) endRuns() bool {
	sim.advance()
	var ended []*task
	for i := range sim.scenario.Workers {
		for _, t := range sim.tasksOn[sim.scenario.Workers[i].ID] {
			if sim.ended(t) {
				ended = append(ended, t)
			}
		}
	}
	for _, t := range ended {
		if t.running {
			sim.endRun(t)
		}
	}
	return len(ended) > 0
}

// endRun ends a run and records its result.
func (sim *simulation) endRun(t *task) {
	j := t.job
	t.running = false
	sim.tasksOn[t.worker] = slices.DeleteFunc(sim.tasksOn[t.worker], func(o *task) bool { return o == t })
	took := sim.now - t.started
	if t.stopping {
		t.stopping = false
		if !j.Checkpoints {
			sim.result.LostWork += took.Seconds() * j.taskCores()
		}
		return
	}
	if t.fails {
		t.fails = false
		for _, m := range j.tasks {
			if j.Gang && m.running {
				m.fails = false
				m.stopping, m.stopsAt = true, sim.now
				sim.endRun(m)
			}
		}
		return
	}
	t.done = true
	sim.result.CompletedWork += took.Seconds() * j.taskCores()
	sim.learner.LearnEnd(allot.Observation{
		Worker: t.worker, Task: sim.taskID(t), Queue: j.Queue, Estimate: j.Estimate, Outcome: jobs.RunDone, Duration: took, DistanceFactor: t.factor, FromStart: t.fromStart, SingleWorker: t.singleWorker, Gang: j.Gang,
	}, time.Unix(0, 0).Add(sim.now))
	j.done++
	if j.done == len(j.tasks) {
		sim.results[j.index].Completed = sim.now
		sim.jobs = slices.DeleteFunc(sim.jobs, func(o *job) bool { return o == j })
	}
}

// guaranteedJobs returns the IDs of the jobs within the guarantees of their teams.
func (sim *simulation) guaranteedJobs() map[string]bool {
	used, guaranteed := map[string]int64{}, map[string]bool{}
	for _, j := range sim.jobs {
		n := int64(j.Tasks) * j.PerTask.Accels
		if j.Priority == 0 && used[j.Team]+n <= sim.scenario.Guarantees[j.Team] {
			used[j.Team] += n
			guaranteed[j.ID] = true
		}
	}
	return guaranteed
}

// planInput describes the present state. It calls visit for each running task before it describes its run.
func (sim *simulation) planInput(visit func(*task)) allot.Input {
	now := time.Unix(0, 0).Add(sim.now)
	in := allot.Input{Now: now, RemoteFactor: sim.scenario.RemoteFactor, MaxGuaranteeWait: maxGuaranteeWait, Claims: sim.claims, Workers: slices.Clone(sim.scenario.Workers), Use: sim.use.update(sim), MinShareDifference: minShareDifference}
	guaranteed := sim.guaranteedJobs()
	for i := range in.Workers {
		in.Workers[i].Runs = nil
		in.Workers[i].Speed = sim.learner.Speed(in.Workers[i].ID)
		in.Workers[i].SpeedStdDev = sim.learner.SpeedStdDev(in.Workers[i].ID)
		for _, t := range sim.tasksOn[in.Workers[i].ID] {
			visit(t)
			in.Workers[i].Runs = append(in.Workers[i].Runs, sim.runOf(t, guaranteed))
		}
	}
	for _, j := range sim.jobs {
		if step, ok := sim.pendingStep(j, guaranteed, now); ok {
			in.Steps = append(in.Steps, step)
		}
	}
	return in
}

// replan describes the present state to the policy and carries out its plan.
func (sim *simulation) replan() {
	plan := sim.policy(sim.planInput(sim.reportProgress))
	sim.claims = plan.Claims
	if changes := sim.learner.Changes(); changes != nil {
		sim.stored.Speeds = append(sim.stored.Speeds, changes.Speeds...)
		if sim.stored.LogTaskSeconds == nil {
			sim.stored.LogTaskSeconds = map[string]float64{}
		}
		maps.Copy(sim.stored.LogTaskSeconds, changes.LogTaskSeconds)
	}
	for _, s := range plan.Stops {
		sim.stop(s)
	}
	for _, s := range plan.Starts {
		sim.start(s)
	}
}

// reportInterval is the time between two progress reports of a run.
const reportInterval = 500 * time.Millisecond

// reportProgress passes the progress of a run to the learner, like a worker's report.
func (sim *simulation) reportProgress(t *task) {
	if t.stopping || (sim.now-t.started)%reportInterval != 0 {
		return
	}
	percent := int(100 * (t.duration - t.remaining) / max(t.duration, 1))
	var updated bool
	if t.rate, updated = t.rate.WithProgress(percent, int64(sim.now/time.Millisecond)+1); updated {
		sim.learner.LearnProgress(allot.Observation{
			Worker: t.worker, Task: sim.taskID(t), Queue: t.job.Queue, Estimate: t.job.Estimate, Duration: t.rate.Total(), DistanceFactor: t.factor, FromStart: t.fromStart, SingleWorker: t.singleWorker, Gang: t.job.Gang,
		})
	}
}

// runOf describes a run to the planner.
func (sim *simulation) runOf(t *task, guaranteed map[string]bool) allot.Run {
	j := t.job
	expected := sim.learner.TaskDuration(jobs.TaskID{Job: j.ID}, j.Queue, j.Estimate)
	duration := time.Duration(float64(expected) * t.factor)
	elapsed := sim.now - t.started
	r := allot.Run{
		Task: sim.taskID(t), Run: t.run, Resources: j.PerTask, Priority: j.Priority, Guaranteed: guaranteed[j.ID], Gang: j.Gang, Checkpoints: j.Checkpoints,
		Stopping: t.stopping, Remaining: max(duration-elapsed, duration/4), LostIfStopped: elapsed,
	}
	remainingShare := float64(t.remaining) / float64(max(t.duration, 1))
	if total := t.rate.Total(); total > 0 {
		r.Remaining = time.Duration(float64(total) * remainingShare)
	}
	if j.Checkpoints {
		r.LostIfStopped = min(elapsed, restoreTime)
	}
	r.Deadline, r.HardDeadline = sim.deadlines(j)
	rest := sim.furtherRounds(j, 1+j.waitingTasks(), expected)
	r.Deadline, r.HardDeadline = r.Deadline.Add(-rest), r.HardDeadline.Add(-rest)
	return r
}

// restoreTime is how long a run takes to resume from a checkpoint.
const restoreTime = 600 * time.Millisecond

// deadlines returns when a job should be complete and after which time completing it has no value, based
// on the estimated duration of its tasks.
func (sim *simulation) deadlines(j *job) (deadline, hardDeadline time.Time) {
	objective := j.objectiveFor(sim.learner.TaskDuration(jobs.TaskID{Job: j.ID}, j.Queue, j.Estimate))
	arrival := time.Unix(0, 0).Add(j.offeredAt)
	return arrival.Add(objective), arrival.Add(3 * objective)
}

// waitingTasks returns the number of tasks that are neither done nor running.
func (j *job) waitingTasks() int {
	n := 0
	for _, t := range j.tasks {
		if !t.done && !t.running {
			n++
		}
	}
	return n
}

// furtherRounds returns the expected duration of the given number of tasks beyond the first round.
func (sim *simulation) furtherRounds(j *job, tasks int, duration time.Duration) time.Duration {
	return time.Duration((allot.Rounds(tasks, j.Gang, j.PerTask, sim.total) - 1) * float64(duration))
}

func (sim *simulation) taskID(t *task) jobs.TaskID { return jobs.TaskID{Job: t.job.ID, Index: t.index} }

// pendingStep describes the waiting tasks of a job to the planner. It reports false if there are none or if
// members of its gang are still running.
func (sim *simulation) pendingStep(j *job, guaranteed map[string]bool, now time.Time) (allot.PendingStep, bool) {
	duration := sim.learner.TaskDuration(jobs.TaskID{Job: j.ID}, j.Queue, j.Estimate)
	arrival := now.Add(j.offeredAt - sim.now)
	deadline, hardDeadline := sim.deadlines(j)
	step := allot.PendingStep{
		Job: j.ID, Queue: j.Queue, Team: j.Team, Service: "s", Resources: j.PerTask, Gang: j.Gang, Compact: j.Compact, Label: j.Label,
		DataRack: j.DataRack, Priority: j.Priority, Guaranteed: guaranteed[j.ID], TaskDuration: duration, ReadyAt: arrival, Order: uint64(j.index),
		Deadline: deadline, HardDeadline: hardDeadline, TasksOn: map[jobs.Worker]int{},
	}
	for _, t := range j.tasks {
		switch {
		case t.running && j.Gang:
			return step, false
		case t.running:
			step.TasksOn[t.worker]++
		case !t.done:
			step.Indexes = append(step.Indexes, t.index)
		}
	}
	step.RestDuration = sim.furtherRounds(j, len(step.Indexes), duration)
	if j.offeredAt > j.Arrival {
		step.Place = deadline.Add(j.Arrival - j.offeredAt)
	}
	return step, len(step.Indexes) > 0
}

// findTask returns the task with that ID, or nil if its job is complete.
func (sim *simulation) findTask(id jobs.TaskID) *task {
	at := slices.IndexFunc(sim.jobs, func(j *job) bool { return j.ID == id.Job })
	if at < 0 {
		return nil
	}
	return sim.jobs[at].tasks[id.Index]
}

// stop stops a run and the other members of its gang.
func (sim *simulation) stop(s allot.Stop) {
	t := sim.findTask(s.Task)
	if t == nil || !t.running || t.stopping {
		return
	}
	members := []*task{t}
	if t.job.Gang {
		members = t.job.tasks
	}
	sim.results[t.job.index].Stops++
	for _, m := range members {
		if m.running && !m.stopping {
			sim.result.Stops++
			m.stopping, m.stopsAt = true, sim.now+sim.scenario.StopDelay
		}
	}
}

// start starts tasks on their workers.
func (sim *simulation) start(s jobs.Start) {
	racks := map[jobs.Worker]string{}
	for i := range sim.scenario.Workers {
		racks[sim.scenario.Workers[i].ID] = sim.scenario.Workers[i].Rack
	}
	first := sim.findTask(s.Placements[0].Task)
	if first == nil {
		return
	}
	j := first.job
	factor, singleWorker := 1.0, true
	for _, p := range s.Placements {
		singleWorker = singleWorker && p.Worker == s.Placements[0].Worker
		if (j.Compact && racks[p.Worker] != racks[s.Placements[0].Worker]) || (j.DataRack != "" && racks[p.Worker] != j.DataRack) {
			factor = sim.scenario.RemoteFactor
		}
	}
	if sim.results[j.index].Started == 0 {
		sim.results[j.index].Started = sim.now
	}
	for _, p := range s.Placements {
		t := j.tasks[p.Task.Index]
		t.run++
		resumed := j.Checkpoints && t.remaining < t.duration // it resumes from a checkpoint
		if !resumed {
			t.duration = time.Duration(float64(j.Duration) * j.durationFactor(p.Task.Index))
			t.remaining = t.duration
		} else {
			t.remaining += min(t.duration-t.remaining, time.Duration(float64(restoreTime)*sim.scenario.Speeds[p.Worker]))
		}
		t.worker, t.started, t.factor, t.running, t.stopping, t.fromStart = p.Worker, sim.now, factor, true, false, !resumed
		t.singleWorker, t.rate = singleWorker, allot.ProgressRate{}
		sim.tasksOn[p.Worker] = append(sim.tasksOn[p.Worker], t)
		sim.result.Starts++
		// A gang fails as a whole, other tasks one by one.
		if j.failsLeft > 0 {
			t.fails = true
			if !j.Gang {
				j.failsLeft--
			}
		}
	}
	if j.Gang && j.failsLeft > 0 {
		j.failsLeft--
	}
}
