package fakes

import (
	"fmt"
	"slices"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/platf"
)

// GangViolations reads a platform's journal and returns what breaks the promises on
// jobs, one line each: a member started twice under one epoch, a member that ran
// under two epochs at once, and a gang that ran in part for longer than within.
// members gives the size of each job's gang; now ends what still runs.
func GangViolations(events []Event, members map[string]int, within time.Duration, now time.Time) []string {
	var faults []string
	runs := runsOf(events, now)
	for i, r := range runs {
		for _, o := range runs[:i] {
			switch {
			case o.key != r.key:
			case o.epoch == r.epoch:
				faults = append(faults, fmt.Sprintf("job %s member %d: started twice under epoch %d", r.key.job, r.key.member, r.epoch))
			case r.from.Before(o.to) && o.from.Before(r.to):
				faults = append(faults, fmt.Sprintf("job %s member %d: ran under epochs %d and %d at once", r.key.job, r.key.member, o.epoch, r.epoch))
			}
		}
	}
	for _, g := range gangsOf(runs) {
		if part := g.partial(members[g.job]); part > within {
			faults = append(faults, fmt.Sprintf("job %s epoch %d: ran in part for %v", g.job, g.epoch, part))
		}
	}
	return faults
}

// taskRun is one run of one member.
type taskRun struct {
	key      memberKey
	epoch    uint64
	from, to time.Time
	whole    bool // it ended by itself, done
}

// runsOf pairs the starts of a journal with their ends.
func runsOf(events []Event, now time.Time) []taskRun {
	var runs []taskRun
	open := map[string]int{} // index into runs, by lease
	for _, e := range events {
		switch e.Kind {
		case EventStart:
			open[e.Lease] = len(runs)
			runs = append(runs, taskRun{key: memberKey{e.Job, e.Member}, epoch: e.Epoch, from: e.At, to: now})
		case EventEnd:
			if i, started := open[e.Lease]; started {
				runs[i].to = e.At
				runs[i].whole = e.State == string(platf.TaskDone)
			}
		default:
		}
	}
	return runs
}

// gangRun is what ran of one job under one epoch.
type gangRun struct {
	job   string
	epoch uint64
	runs  []taskRun
}

// gangsOf groups runs by job and epoch, in the order of their first start.
func gangsOf(runs []taskRun) []gangRun {
	var gangs []gangRun
	for _, r := range runs {
		i := slices.IndexFunc(gangs, func(g gangRun) bool { return g.job == r.key.job && g.epoch == r.epoch })
		if i < 0 {
			i = len(gangs)
			gangs = append(gangs, gangRun{job: r.key.job, epoch: r.epoch})
		}
		gangs[i].runs = append(gangs[i].runs, r)
	}
	return gangs
}

// partial returns how long some members ran while another had not started, or
// had ended without being done.
func (g gangRun) partial(size int) time.Duration {
	var times []time.Time
	for _, r := range g.runs {
		times = append(times, r.from, r.to)
	}
	slices.SortFunc(times, time.Time.Compare)
	var sum time.Duration
	for i, from := range times[:len(times)-1] {
		if g.partlyAt(from, size) {
			sum += times[i+1].Sub(from)
		}
	}
	return sum
}

// partlyAt reports whether the gang ran in part just after a time. A member that
// is done counts as running.
func (g gangRun) partlyAt(at time.Time, size int) bool {
	running, finished := 0, 0
	for _, r := range g.runs {
		switch {
		case at.Before(r.from):
		case at.Before(r.to):
			running++
		case r.whole:
			finished++
		}
	}
	return running > 0 && running+finished < size
}
