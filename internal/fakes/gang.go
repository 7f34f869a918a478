package fakes

import (
	"fmt"
	"slices"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/platf"
)

// GangViolations checks the journal of a platform and returns a line for each violation of
// the guarantees for gangs: a member started twice under one epoch, a member that ran
// under two epochs at once, and a gang that ran in part for longer than maxPartial.
// gangSizes holds the number of members of each job. Tasks still running are taken to run until now.
func GangViolations(events []Event, gangSizes map[string]int, maxPartial time.Duration, now time.Time) []string {
	var violations []string
	runs := pairRuns(events, now)
	for i, r := range runs {
		for _, earlier := range runs[:i] {
			switch {
			case earlier.key != r.key:
			case earlier.epoch == r.epoch:
				violations = append(violations, fmt.Sprintf("job %s member %d: started twice under epoch %d", r.key.job, r.key.member, r.epoch))
			case r.start.Before(earlier.end) && earlier.start.Before(r.end):
				violations = append(violations, fmt.Sprintf("job %s member %d: ran under epochs %d and %d at once", r.key.job, r.key.member, earlier.epoch, r.epoch))
			}
		}
	}
	for _, g := range groupByGang(runs) {
		if partial := g.partialDuration(gangSizes[g.job]); partial > maxPartial {
			violations = append(violations, fmt.Sprintf("job %s epoch %d: ran in part for %v", g.job, g.epoch, partial))
		}
	}
	return violations
}

// memberRun is one run of one member.
type memberRun struct {
	key        memberKey
	epoch      uint64
	start, end time.Time
	done       bool // it ended as done
}

// pairRuns returns the runs in a journal. A run without an end lasts until now.
func pairRuns(events []Event, now time.Time) []memberRun {
	var runs []memberRun
	indexByLease := map[string]int{} // indices into runs
	for _, e := range events {
		switch e.Kind {
		case EventStart:
			indexByLease[e.Lease] = len(runs)
			runs = append(runs, memberRun{key: memberKey{e.Job, e.Member}, epoch: e.Epoch, start: e.At, end: now})
		case EventEnd:
			if i, started := indexByLease[e.Lease]; started {
				runs[i].end = e.At
				runs[i].done = e.State == string(platf.TaskDone)
			}
		default:
		}
	}
	return runs
}

// gangRun holds the runs of one job under one epoch.
type gangRun struct {
	job   string
	epoch uint64
	runs  []memberRun
}

// groupByGang groups runs by job and epoch, in the order of their first start.
func groupByGang(runs []memberRun) []gangRun {
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

// partialDuration returns for how long the gang ran in part: some members ran while
// another had not started or had ended without being done.
func (g gangRun) partialDuration(size int) time.Duration {
	var times []time.Time
	for _, r := range g.runs {
		times = append(times, r.start, r.end)
	}
	slices.SortFunc(times, time.Time.Compare)
	var total time.Duration
	for i, start := range times[:len(times)-1] {
		if g.isPartialAt(start, size) {
			total += times[i+1].Sub(start)
		}
	}
	return total
}

// isPartialAt reports whether the gang ran in part directly after a time. Members that are
// done don't count as missing.
func (g gangRun) isPartialAt(at time.Time, size int) bool {
	running, done := 0, 0
	for _, r := range g.runs {
		switch {
		case at.Before(r.start):
		case at.Before(r.end):
			running++
		case r.done:
			done++
		}
	}
	return running > 0 && running+done < size
}
