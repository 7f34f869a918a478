package jobctl

import (
	"maps"
	"slices"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/allot"
	"github.com/knapweedlug/knapweedlug/internal/jobs"
)

// lateTimes is the multiple of its objective after which the completion of a job is
// useless to its caller. The users of the system require this value.
const lateTimes = 3

// input returns the input of the next plan.
func (l *lead) input() allot.Input {
	l.mu.Lock()
	defer l.mu.Unlock()
	in := allot.Input{Now: l.now(), Remote: l.c.cfg.Remote, Patient: l.c.cfg.patient(), Claims: l.claims}
	wall := l.c.env.Clock.Now().UnixMilli()
	l.rooms = l.allRoom()
	l.c.state.Read(func(v jobs.View) {
		sure := l.sure(v)
		in.Workers = l.workers(v, sure, in.Now, wall)
		active := l.active(v)
		l.c.meters.waiting.Update(float64(len(active)))
		for _, j := range active {
			in.Needs = append(in.Needs, l.needs(v, j, sure[j.ID], wall)...)
		}
	})
	return in
}

// allRoom returns the total resources of the workers of each service. It includes
// unreachable workers so that deadlines don't change during a partition.
func (l *lead) allRoom() map[string]allot.Room {
	rooms := map[string]allot.Room{}
	for _, h := range l.hosts {
		if h.rep != nil && !h.rep.Lost {
			size := allot.Room{CPU: h.rep.Cpu, Memory: h.rep.Memory, Accels: h.rep.Accels}
			rooms[h.rep.Service] = rooms[h.rep.Service].Plus(size)
		}
	}
	return rooms
}

// active returns the jobs that haven't ended, in order of acceptance.
func (l *lead) active(v jobs.View) []*jobs.Job {
	var list []*jobs.Job
	for j := range v.Jobs() {
		if !j.Phase.Ended() {
			list = append(list, j)
		}
	}
	slices.SortFunc(list, func(a, b *jobs.Job) int { return int(a.Order) - int(b.Order) })
	return list
}

// sure returns the jobs that are covered by their teams' guarantees: jobs of priority
// 0, in order of acceptance, as long as they fit into the guaranteed accelerators.
func (l *lead) sure(v jobs.View) map[string]bool {
	used := map[string]int64{}
	covered := map[string]bool{}
	for _, j := range l.active(v) {
		if j.Priority != 0 {
			continue
		}
		n := accels(j.Spec)
		if used[j.Team]+n > v.Config().Guarantee(j.Team) {
			continue
		}
		used[j.Team] += n
		covered[j.ID] = true
	}
	return covered
}

// accels returns the maximum number of accelerators that a job uses at the same time.
func accels(s *jobs.Spec) int64 {
	n := int64(0)
	for _, st := range s.Steps {
		n += st.Accels * int64(st.Count)
	}
	return n
}

// workers returns the workers that have reported, with their runs.
func (l *lead) workers(v jobs.View, sure map[string]bool, now time.Time, wall int64) []allot.Worker {
	var list []allot.Worker
	for _, name := range slices.Sorted(maps.Keys(l.hosts)) {
		h := l.hosts[name]
		if h.rep == nil || h.worker.Zero() || !h.rep.Listed {
			continue
		}
		w := allot.Worker{
			ID: h.worker, Host: name, Service: h.rep.Service, Labels: h.rep.Labels, Rack: h.rep.Rack,
			Size:  allot.Room{CPU: h.rep.Cpu, Memory: h.rep.Memory, Accels: h.rep.Accels},
			Speed: l.learner.Speed(h.worker), Doubt: l.learner.Doubt(h.worker),
			Barred:  h.out == nil || h.rep.Draining || h.rep.Lost || now.Sub(h.heard) > quiet,
			Shunned: l.learner.Barred(h.worker, now),
		}
		w.Suspect = l.learner.Suspect(h.worker, now) || now.Sub(h.heard) > overdue
		if h.rep.Draining && h.rep.Remainms > 0 {
			w.Leaves = h.heard.Add(time.Duration(h.rep.Remainms) * time.Millisecond)
		}
		if held, ok := v.Held(h.worker); ok {
			for _, task := range slices.Sorted(maps.Keys(held.Runs)) {
				if r, ok := l.busy(v, h, task, held.Runs[task], sure, now, wall); ok {
					w.Runs = append(w.Runs, r)
				}
			}
		}
		list = append(list, w)
	}
	return list
}

// busy returns the planner's description of a run on a worker. It returns false if the
// job is unknown.
func (l *lead) busy(v jobs.View, h *host, task string, run int, sure map[string]bool, now time.Time, wall int64) (allot.Run, bool) {
	id, err := jobs.ParseTask(task)
	if err != nil {
		return allot.Run{}, false
	}
	j, ok := v.Job(id.Job)
	if !ok {
		return allot.Run{}, false
	}
	st := j.Spec.Steps[id.Step]
	r := allot.Run{
		Task: id, Run: run, Room: room(st), Priority: j.Priority, Sure: sure[j.ID], Gang: st.Gang, Saves: st.Saves, Lasts: st.Lasts,
		Stopping: l.stopWhy(v, task, run) != "",
	}
	work := l.workOf(j, id.Step)
	elapsed := work / 2 // unknown if an earlier leader started the run
	if b, ok := l.runs[runKey{task, run}]; ok {
		elapsed = now.Sub(b.at)
		work = time.Duration(float64(work) * b.factor)
	}
	r.Left = max(work-elapsed, work/4)
	if whole := l.runs[runKey{task, run}].pace.Whole(); whole > 0 {
		for _, seen := range h.rep.Runs {
			if seen.Task == task && int(seen.Run) == run {
				done := whole * time.Duration(min(seen.Percent, 100)) / 100
				r.Left, elapsed = whole-done, max(elapsed, done)
			}
		}
	}
	r.Lost = elapsed
	if st.Saves {
		r.Lost = min(elapsed, time.Duration(l.c.cfg.RestoreM)*time.Millisecond)
	}
	r.Deadline, r.Late = l.dueDates(j, id.Occur, wall)
	if o, ok := j.Occurs[id.Occur]; ok {
		// The waiting tasks of the step still have to run after this one.
		rest := l.furtherRounds(j, id.Step, 1+waiting(o.Steps[id.Step].Tasks))
		r.Deadline, r.Late = r.Deadline.Add(-rest), r.Late.Add(-rest)
	}
	return r, true
}

// room returns the resources that a task of a step reserves.
func room(st jobs.Step) allot.Room {
	r := allot.Room{CPU: st.CPU, Memory: st.Memory, Accels: st.Accels}
	if st.Fills {
		r.CPU = 0
	}
	return r
}

// needs returns the waiting tasks of all steps of a job that may start now.
func (l *lead) needs(v jobs.View, j *jobs.Job, sure bool, wall int64) []allot.Need {
	var list []allot.Need
	idle := l.idleSince(j)
	for k := range j.Spec.Occurrences() {
		due := j.Spec.DueMs(k)
		if due > wall {
			break
		}
		o, begun := j.Occurs[k]
		for i := range j.Spec.Steps {
			if begun && !o.Ready(j.Spec, i) || !begun && len(j.Spec.Steps[i].After) > 0 {
				continue
			}
			step := jobs.TaskID{Job: j.ID, Occur: k, Step: i}
			n, ok := l.need(j, k, i, o)
			if !ok {
				delete(l.short, step)
				continue
			}
			n.Sure, n.Idle = sure, idle
			if n.Lasts {
				n.Idle = l.stepIdleSince(step, len(n.Indexes))
			}
			n.Ready = l.readySince(step)
			if j.Spec.Times == 0 && len(j.Spec.Steps[i].After) == 0 {
				n.Ready = l.acceptedAt(j)
			}
			if q, ok := v.Config().Queue(j.Queue); ok {
				n.Service = q.Service
			}
			l.dates(&n, j, i, k, wall)
			list = append(list, n)
		}
	}
	return list
}

// idleSince returns since when no task of a job has been running, zero if one is.
func (l *lead) idleSince(j *jobs.Job) time.Time {
	for _, o := range j.Occurs {
		for i := range o.Steps {
			if slices.ContainsFunc(o.Steps[i].Tasks, func(t jobs.Task) bool { return !t.On.Zero() }) {
				delete(l.idle, j.ID)
				return time.Time{}
			}
		}
	}
	at, ok := l.idle[j.ID]
	if !ok {
		at = l.now()
		l.idle[j.ID] = at
	}
	return at
}

// stepIdleSince returns since when tasks of a long-running step have been waiting. All
// of its tasks have to run all the time, so running ones don't count. The time restarts
// when the number of waiting tasks falls.
func (l *lead) stepIdleSince(step jobs.TaskID, waiting int) time.Time {
	w, ok := l.short[step]
	if !ok || waiting < w.tasks {
		w.since = l.now()
	}
	w.tasks = waiting
	l.short[step] = w
	return w.since
}

// readySince returns when a step was first found ready to start.
func (l *lead) readySince(step jobs.TaskID) time.Time {
	at, ok := l.ready[step]
	if !ok {
		at = l.now()
		l.ready[step] = at
	}
	return at
}

// need returns the waiting tasks of step i of occurrence k, and whether there are any
// that may start.
func (l *lead) need(j *jobs.Job, k, i int, o *jobs.Occur) (allot.Need, bool) {
	st := j.Spec.Steps[i]
	n := allot.Need{
		Job: j.ID, Queue: j.Queue, Team: j.Team, Service: j.Service, Occur: k, Step: i, Room: room(st), Gang: st.Gang, Lasts: st.Lasts,
		Compact: st.Compact, Label: st.Label, DataRack: st.DataRack, Spread: st.Spread, Priority: j.Priority,
		Order: j.Order, Avoid: l.failedOn[j.ID], Used: map[jobs.Worker]int{},
	}
	for x := range st.Count {
		if o == nil {
			n.Indexes = append(n.Indexes, x)
			continue
		}
		t := &o.Steps[i].Tasks[x]
		switch {
		case t.Done:
		case !t.On.Zero():
			if st.Gang {
				// A member of the gang's last run hasn't ended yet.
				return n, false
			}
			n.Used[t.On]++
		default:
			n.Indexes = append(n.Indexes, x)
		}
	}
	return n, len(n.Indexes) > 0
}

// dates sets the expected durations and the deadlines of a need.
func (l *lead) dates(n *allot.Need, j *jobs.Job, i, occur int, wall int64) {
	chain, total := l.chain(j)
	n.Work = l.workOf(j, i)
	n.Rest = total - chain[i] + l.furtherRounds(j, i, len(n.Indexes))
	n.Deadline, n.Late = l.dueDates(j, occur, wall)
}

// waiting returns the number of tasks that are neither done nor running.
func waiting(tasks []jobs.Task) int {
	n := 0
	for i := range tasks {
		if !tasks[i].Done && tasks[i].On.Zero() {
			n++
		}
	}
	return n
}

// rounds returns the expected duration of a number of tasks of a step, in multiples of
// the duration of one task.
func (l *lead) rounds(j *jobs.Job, step, tasks int) float64 {
	st := j.Spec.Steps[step]
	return allot.Rounds(tasks, st.Gang, room(st), l.rooms[j.Service])
}

// furtherRounds returns the expected duration of a number of tasks of a step beyond
// the duration of one task.
func (l *lead) furtherRounds(j *jobs.Job, step, tasks int) time.Duration {
	return time.Duration((l.rounds(j, step, tasks) - 1) * float64(l.workOf(j, step)))
}

// workOf returns the expected duration of a task of a step.
func (l *lead) workOf(j *jobs.Job, step int) time.Duration {
	return l.learner.Work(jobs.TaskID{Job: j.ID, Step: step}, j.Queue, time.Duration(j.Spec.Steps[step].EstimateMs)*time.Millisecond)
}

// chain returns when each step of a job would end, counted from the start of the job,
// if its share of the resources were free at once. It also returns the length of the
// critical path, which is the end of the last step.
func (l *lead) chain(j *jobs.Job) ([]time.Duration, time.Duration) {
	chain := make([]time.Duration, len(j.Spec.Steps))
	total := time.Duration(0)
	for x, st := range j.Spec.Steps {
		work := time.Duration(l.rounds(j, x, st.Count) * float64(l.workOf(j, x)))
		chain[x] = work
		for _, dep := range st.After {
			chain[x] = max(chain[x], chain[dep]+work)
		}
		total = max(total, chain[x])
	}
	return chain, total
}

// dueDates returns the time by which an occurrence of a job should be complete, and the
// time after which its completion is useless.
func (l *lead) dueDates(j *jobs.Job, occur int, wall int64) (deadline, late time.Time) {
	_, total := l.chain(j)
	from := l.acceptedAt(j)
	if j.Spec.Times > 0 {
		from = l.now().Add(-time.Duration(wall-j.Spec.DueMs(occur)) * time.Millisecond)
	}
	aim := time.Duration(j.Slack*float64(total)) + time.Duration(j.TargetMs)*time.Millisecond
	return from.Add(aim), from.Add(lateTimes * aim)
}
