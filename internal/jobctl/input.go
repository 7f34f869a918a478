package jobctl

import (
	"maps"
	"slices"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/allot"
	"github.com/knapweedlug/knapweedlug/internal/jobs"
)

// lateFactor is the multiple of its objective after which the completion of a job is
// useless to its caller. The users of the system require this value.
const lateFactor = 3

// planInput returns the input of the next plan.
func (l *leader) planInput() allot.Input {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.durations = &durationCache{tasks: map[jobs.TaskID]time.Duration{}, paths: map[string]criticalPath{}, waiting: map[jobs.TaskID]int{}}
	defer func() { l.durations = nil }()
	defer l.cacheGangs()()
	in := allot.Input{Now: l.now(), Stops: l.c.cfg.Stops, RemoteFactor: l.c.cfg.RemoteFactor, ColdFactor: l.c.cfg.ColdFactor, MaxGuaranteeWait: l.c.cfg.maxReclaimWait(), Claims: l.claims}
	wallMs := l.c.env.Clock.Now().UnixMilli()
	l.serviceResources = l.totalResources()
	l.c.state.Read(func(v jobs.View) {
		guaranteed := l.guaranteedJobs(v)
		in.Use, in.MinShareDifference = planUse(v), l.c.cfg.ShareDifference
		in.Workers = l.planWorkers(v, guaranteed, in.Now, wallMs)
		unfinished := l.unfinishedJobs(v)
		l.c.metrics.jobsWaiting.Update(float64(len(unfinished)))
		for _, j := range unfinished {
			in.Steps = append(in.Steps, l.pendingSteps(v, j, guaranteed[j.ID], wallMs)...)
		}
	})
	return in
}

// totalResources returns the total resources of the workers of each service. It includes
// unreachable workers so that deadlines don't change during a partition. The caller
// holds mu.
func (l *leader) totalResources() map[string]allot.Resources {
	total := map[string]allot.Resources{}
	for _, h := range l.hosts {
		if h.report != nil && !h.report.Lost {
			size := h.capacity()
			total[h.report.Service] = total[h.report.Service].Plus(size)
		}
	}
	return total
}

// unfinishedJobs returns the jobs that haven't ended, in order of acceptance.
func (l *leader) unfinishedJobs(v jobs.View) []*jobs.Job {
	var list []*jobs.Job
	for j := range v.Jobs() {
		if !j.Phase.Ended() {
			list = append(list, j)
		}
	}
	slices.SortFunc(list, func(a, b *jobs.Job) int { return int(a.AcceptedIndex) - int(b.AcceptedIndex) })
	return list
}

// guaranteedJobs returns the jobs that are covered by their teams' guarantees: jobs of
// priority 0, in order of acceptance, as long as they fit into the guaranteed
// accelerators.
func (l *leader) guaranteedJobs(v jobs.View) map[string]bool {
	used := map[string]int64{}
	covered := map[string]bool{}
	for _, j := range l.unfinishedJobs(v) {
		if j.Priority != 0 {
			continue
		}
		n := totalAccels(j.Spec)
		if used[j.Team]+n > v.Config().Guarantee(j.Team) {
			continue
		}
		used[j.Team] += n
		covered[j.ID] = true
	}
	return covered
}

// totalAccels returns the maximum number of accelerators that a job uses at the same time.
func totalAccels(s *jobs.Spec) int64 {
	n := int64(0)
	for _, st := range s.Steps {
		n += st.Accels * int64(st.Count)
	}
	return n
}

// planWorkers returns the workers that have reported, with their runs.
func (l *leader) planWorkers(v jobs.View, guaranteed map[string]bool, now time.Time, wallMs int64) []allot.Worker {
	var list []allot.Worker
	unassigned := l.unassignedRuns(v)
	for _, name := range slices.Sorted(maps.Keys(l.hosts)) {
		h := l.hosts[name]
		if h.report == nil || h.worker.Zero() || !h.report.Listed {
			continue
		}
		w := allot.Worker{
			ID: h.worker, Host: name, Domain: h.domain, Evacuated: v.Evacuated(h.domain), Service: h.report.Service, Labels: h.report.Labels, Rack: h.report.Rack,
			Capacity: h.capacity(),
			Speed:    l.learner.Speed(h.worker), SpeedStdDev: l.learner.SpeedStdDev(h.worker),
			Unschedulable: h.orders == nil || h.report.Draining || h.report.Lost || now.Sub(h.reportedAt) > maxReportAge || now.Before(h.pausedUntil),
			Quarantined:   l.learner.Quarantined(h.worker, now),
		}
		w.Suspect = l.learner.Suspect(h.worker, now) || now.Sub(h.reportedAt) > suspectReportAge || now.Before(h.suspectedUntil)
		w.ColdUntil = h.coldUntil
		if h.report.Draining && h.report.Remainms > 0 {
			w.ShutdownAt = h.reportedAt.Add(time.Duration(h.report.Remainms) * time.Millisecond)
		}
		if record, ok := v.WorkerRecord(h.worker); ok {
			for _, task := range slices.Sorted(maps.Keys(record.Runs)) {
				if r, ok := l.planRun(v, h, task, record.Runs[task], guaranteed, now, wallMs); ok {
					w.Runs = append(w.Runs, r)
				}
			}
		}
		for _, k := range unassigned[name].sorted() {
			if r, ok := unassignedPlanRun(v, k); ok {
				w.Runs = append(w.Runs, r)
			}
		}
		list = append(list, w)
	}
	return list
}

// planRun returns the planner's description of a run on a worker. It returns false if the
// job is unknown.
func (l *leader) planRun(v jobs.View, h *host, task string, run int, guaranteed map[string]bool, now time.Time, wallMs int64) (allot.Run, bool) {
	id, err := jobs.ParseTaskID(task)
	if err != nil {
		return allot.Run{}, false
	}
	j, ok := v.Job(id.Job)
	if !ok {
		return allot.Run{}, false
	}
	st := j.Spec.Steps[id.Step]
	r := allot.Run{
		Task: id, Run: run, Resources: taskResources(st), Priority: j.Priority, Guaranteed: guaranteed[j.ID], Gang: st.Gang, Checkpoints: st.Checkpoints, LongRunning: st.LongRunning,
		Stopping: l.stopReason(v, task, run) != "",
	}
	duration := l.taskDuration(j, id.Step)
	elapsed := duration / 2 // unknown if an earlier leader started the run
	if active, ok := l.runs[runKey{task, run}]; ok {
		elapsed = now.Sub(active.startedAt)
		if !active.begun {
			elapsed = 0
		}
		duration = time.Duration(float64(duration) * active.slowdown)
	}
	r.Remaining = max(duration-elapsed, duration/4)
	if total := l.runs[runKey{task, run}].progressRate.Total(); total > 0 {
		if reported := h.listing()[runKey{task, run}]; reported != nil {
			completed := total * time.Duration(min(reported.Percent, 100)) / 100
			r.Remaining, elapsed = total-completed, max(elapsed, completed)
		}
	}
	r.LostIfStopped = elapsed
	if st.Checkpoints {
		r.LostIfStopped = min(elapsed, time.Duration(l.c.cfg.RestoreMs)*time.Millisecond)
	}
	r.Deadline, r.HardDeadline = l.deadlines(j, id.Occur, wallMs)
	if o, ok := j.Occurrences[id.Occur]; ok {
		// This run has to end earlier than the job, because the waiting tasks of the
		// step still have to run after it.
		rest := l.furtherRoundsDuration(j, id.Step, 1+l.countWaiting(id, o.Steps[id.Step].Tasks))
		r.Deadline, r.HardDeadline = r.Deadline.Add(-rest), r.HardDeadline.Add(-rest)
	}
	return r, true
}

// taskResources returns the resources that a task of a step reserves on its worker.
func taskResources(st jobs.Step) allot.Resources {
	r := allot.Resources{CPU: st.CPU, Memory: st.Memory, Accels: st.Accels, Runs: 1}
	if st.BestEffortCPU {
		r.CPU = 0
	}
	return r
}

// pendingSteps returns the steps of a job that have waiting tasks which may start now,
// for the occurrences that are due. The caller holds mu.
func (l *leader) pendingSteps(v jobs.View, j *jobs.Job, guaranteed bool, wallMs int64) []allot.PendingStep {
	var list []allot.PendingStep
	idleSince := l.idleSince(j)
	left := j.Spec.OpenOccurrences()
	for k := j.FinishedBefore; k < j.Spec.Occurrences() && j.Spec.DueMs(k) <= wallMs && left > 0; k++ {
		if j.OccurrenceFinished(k) {
			continue
		}
		steps := l.pendingStepsOf(v, j, k, wallMs)
		for i := range steps {
			steps[i].Guaranteed = guaranteed
			if !steps[i].LongRunning {
				steps[i].IdleSince = idleSince
			}
		}
		if len(steps) > 0 {
			left--
		}
		list = append(list, steps...)
	}
	return list
}

// pendingStepsOf returns those steps of one occurrence. The caller holds mu.
func (l *leader) pendingStepsOf(v jobs.View, j *jobs.Job, k int, wallMs int64) []allot.PendingStep {
	var list []allot.PendingStep
	o, started := j.Occurrences[k]
	for i := range j.Spec.Steps {
		if started && !o.StepReady(j.Spec, i) || !started && len(j.Spec.Steps[i].DependsOn) > 0 {
			continue
		}
		step := jobs.TaskID{Job: j.ID, Occur: k, Step: i}
		p, ok := l.pendingStep(j, k, i, o)
		awaiting := 0
		if j.Spec.Steps[i].LongRunning && started {
			awaiting = l.countAwaitingBegin(step, o.Steps[i].Tasks)
		}
		if !ok {
			if awaiting == 0 {
				delete(l.shortages, step)
			}
			continue
		}
		if p.LongRunning {
			p.IdleSince = l.stepIdleSince(step, len(p.Indexes)+awaiting)
		}
		p.ReadyAt = l.readySince(step)
		if j.Spec.RepeatCount == 0 && len(j.Spec.Steps[i].DependsOn) == 0 {
			p.ReadyAt = l.acceptedAt(j)
		}
		p.Service = v.ServiceOf(j)
		l.setDeadlines(&p, j, i, k, wallMs)
		p.Place = l.placeOf(j, p.Deadline)
		list = append(list, p)
	}
	return list
}

// idleSince returns since when no task of a job has been running, zero if one is or may
// be. A start that a worker refuses doesn't end that time.
func (l *leader) idleSince(j *jobs.Job) time.Time {
	assigned := false
	for k, o := range j.Occurrences {
		for i := range o.Steps {
			for index, t := range o.Steps[i].Tasks {
				if t.Worker.Zero() {
					continue
				}
				assigned = true
				if !l.awaitsBegin(jobs.TaskID{Job: j.ID, Occur: k, Step: i, Index: index}, t.Run) {
					delete(l.idleTimes, j.ID)
					return time.Time{}
				}
			}
		}
	}
	if assigned {
		return time.Time{}
	}
	at, ok := l.idleTimes[j.ID]
	if !ok {
		at = l.now()
		l.idleTimes[j.ID] = at
	}
	return at
}

// awaitsBegin reports whether this leader has started a run that its worker hasn't listed yet. The caller holds mu.
func (l *leader) awaitsBegin(task jobs.TaskID, run int) bool {
	active, ok := l.runs[runKey{task.String(), run}]
	return ok && !active.begun
}

// countAwaitingBegin returns the number of tasks of a step that were started and that no worker has listed yet. The
// caller holds mu.
func (l *leader) countAwaitingBegin(step jobs.TaskID, tasks []jobs.Task) int {
	n := 0
	for index, t := range tasks {
		step.Index = index
		if !t.Worker.Zero() && l.awaitsBegin(step, t.Run) {
			n++
		}
	}
	return n
}

// stepIdleSince returns since when tasks of a long-running step have been missing, that is
// waiting or started and not begun. All of its tasks have to run all the time, so running
// ones don't count. The time restarts when the number of missing tasks falls.
func (l *leader) stepIdleSince(step jobs.TaskID, missing int) time.Time {
	w, ok := l.shortages[step]
	if !ok || missing < w.tasks {
		w.since = l.now()
	}
	w.tasks = missing
	l.shortages[step] = w
	return w.since
}

// readySince returns when a step was first found ready to start.
func (l *leader) readySince(step jobs.TaskID) time.Time {
	at, ok := l.readyTimes[step]
	if !ok {
		at = l.now()
		l.readyTimes[step] = at
	}
	return at
}

// pendingStep returns a step of an occurrence of a job with its waiting tasks, and
// whether there are any that may start. o is nil for an occurrence that hasn't started.
func (l *leader) pendingStep(j *jobs.Job, occurrence, step int, o *jobs.Occurrence) (allot.PendingStep, bool) {
	st := j.Spec.Steps[step]
	p := allot.PendingStep{
		Job: j.ID, Queue: j.Queue, Team: j.Team, Service: j.Service, Occurrence: occurrence, Step: step, Resources: taskResources(st), Gang: st.Gang, LongRunning: st.LongRunning,
		Compact: st.RackLocal, Label: st.RequiredLabel, DataRack: st.DataRack, MaxPerWorker: st.MaxPerWorker, Priority: j.Priority,
		Order: j.AcceptedIndex, Avoid: maps.Clone(l.failedOn[j.ID]), TasksOn: map[jobs.Worker]int{},
	}
	for index := range st.Count {
		if o == nil {
			p.Indexes = append(p.Indexes, index)
			continue
		}
		t := &o.Steps[step].Tasks[index]
		switch {
		case t.Done:
		case !t.Worker.Zero():
			if st.Gang {
				// A member of the gang's last run hasn't ended yet.
				return p, false
			}
			p.TasksOn[t.Worker]++
		default:
			p.Indexes = append(p.Indexes, index)
		}
	}
	return p, len(p.Indexes) > 0
}

// setDeadlines sets the expected durations and the deadlines of a pending step.
func (l *leader) setDeadlines(p *allot.PendingStep, j *jobs.Job, step, occur int, wallMs int64) {
	path := l.criticalPath(j)
	p.TaskDuration = l.taskDuration(j, step)
	p.RestDuration = path.total - path.stepEnds[step] + l.furtherRoundsDuration(j, step, len(p.Indexes))
	p.Deadline, p.HardDeadline = l.deadlines(j, occur, wallMs)
}

// countWaiting returns the number of tasks of a step that are neither done nor running.
func (l *leader) countWaiting(step jobs.TaskID, tasks []jobs.Task) int {
	step.Index = 0
	if n, ok := l.durations.waiting[step]; ok {
		return n
	}
	n := 0
	for i := range tasks {
		if !tasks[i].Done && tasks[i].Worker.Zero() {
			n++
		}
	}
	l.durations.waiting[step] = n
	return n
}

// rounds returns the expected duration of a number of tasks of a step, in multiples of
// the duration of one task.
func (l *leader) rounds(j *jobs.Job, step, tasks int) float64 {
	st := j.Spec.Steps[step]
	return allot.Rounds(tasks, st.Gang, taskResources(st), l.serviceResources[j.Service])
}

// furtherRoundsDuration returns the expected duration of a number of tasks of a step
// beyond the duration of one task.
func (l *leader) furtherRoundsDuration(j *jobs.Job, step, tasks int) time.Duration {
	return multiply(l.taskDuration(j, step), l.rounds(j, step, tasks)-1)
}

// maxExpected bounds each expected duration, so that their sums and small multiples fit into a time.Duration whatever
// callers and operators state.
const maxExpected = 1000 * time.Hour

// multiply returns a multiple of an expected duration.
func multiply(d time.Duration, factor float64) time.Duration {
	return time.Duration(min(max(float64(d)*factor, 0), float64(maxExpected)))
}

// durationCache holds the expected durations of tasks and jobs, and what else is the same for all runs of a step, while
// the input of one plan is put together.
type durationCache struct {
	tasks   map[jobs.TaskID]time.Duration // by step: the task has index 0 and occurrence 0
	paths   map[string]criticalPath       // by job
	waiting map[jobs.TaskID]int           // number of waiting tasks, by step: the task has index 0
}

// criticalPath describes how long a job takes if its share of the resources is free at once.
type criticalPath struct {
	stepEnds []time.Duration // when each step ends, counted from the start of the job
	total    time.Duration   // end of the last step
}

// taskDuration returns the expected duration of a task of a step.
func (l *leader) taskDuration(j *jobs.Job, step int) time.Duration {
	id := jobs.TaskID{Job: j.ID, Step: step}
	if l.durations != nil {
		if d, ok := l.durations.tasks[id]; ok {
			return d
		}
	}
	estimate := time.Duration(min(j.Spec.Steps[step].EstimateMs, maxExpected.Milliseconds())) * time.Millisecond
	d := min(l.learner.TaskDuration(id, j.Queue, estimate), maxExpected)
	if l.durations != nil {
		l.durations.tasks[id] = d
	}
	return d
}

// criticalPath returns the critical path of a job.
func (l *leader) criticalPath(j *jobs.Job) criticalPath {
	if l.durations != nil {
		if path, ok := l.durations.paths[j.ID]; ok {
			return path
		}
	}
	path := criticalPath{stepEnds: make([]time.Duration, len(j.Spec.Steps))}
	for i, st := range j.Spec.Steps {
		duration := multiply(l.taskDuration(j, i), l.rounds(j, i, st.Count))
		path.stepEnds[i] = duration
		for _, dep := range st.DependsOn {
			path.stepEnds[i] = max(path.stepEnds[i], path.stepEnds[dep]+duration)
		}
		path.total = max(path.total, path.stepEnds[i])
	}
	if l.durations != nil {
		l.durations.paths[j.ID] = path
	}
	return path
}

// deadlines returns the time by which an occurrence of a job should be complete, and the
// time after which its completion is useless.
func (l *leader) deadlines(j *jobs.Job, occur int, wallMs int64) (deadline, hardDeadline time.Time) {
	start := l.acceptedAt(j)
	if j.Spec.RepeatCount > 0 {
		start = l.now().Add(-time.Duration(wallMs-j.Spec.DueMs(occur)) * time.Millisecond)
	}
	target := time.Duration(min(j.TargetMs, maxExpected.Milliseconds())) * time.Millisecond
	objective := multiply(l.criticalPath(j).total, j.SlackFactor) + target
	return start.Add(objective), start.Add(lateFactor * objective)
}
