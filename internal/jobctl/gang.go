package jobctl

import (
	"strconv"

	"github.com/knapweedlug/knapweedlug/internal/jobs"
)

// gangRun identifies one run of all members of a gang.
type gangRun struct {
	step jobs.TaskID // its task has index 0
	run  int
}

// gangCache holds what is the same for all members of a gang while many runs are looked at. Without it each member would
// look at all the others.
type gangCache struct {
	stopReasons map[gangRun]string       // why the run has to be stopped, "" for no reason
	progress    map[gangRun]gangProgress // which members have begun
}

// cacheGangs makes gangStopReason and gangBegun look at each gang once until the returned function is called. The caller
// holds mu until then.
func (l *leader) cacheGangs() (done func()) {
	l.gangs = &gangCache{}
	l.gangs.forget()
	return func() { l.gangs = nil }
}

// forget empties the cache. It has to be called when runs are marked to be stopped.
func (c *gangCache) forget() {
	if c != nil {
		c.stopReasons, c.progress = map[gangRun]string{}, map[gangRun]gangProgress{}
	}
}

// gangStopReason returns the reason why a run of a gang has to be stopped because of other members, or "". r is the
// record of its step. The caller holds mu.
func (l *leader) gangStopReason(id jobs.TaskID, run int, r *jobs.StepRecord) string {
	id.Index = 0
	k := gangRun{id, run}
	if l.gangs == nil {
		return l.findGangStopReason(id, run, r)
	}
	reason, ok := l.gangs.stopReasons[k]
	if !ok {
		reason = l.findGangStopReason(id, run, r)
		l.gangs.stopReasons[k] = reason
	}
	return reason
}

func (l *leader) findGangStopReason(id jobs.TaskID, run int, r *jobs.StepRecord) string {
	prefix := id.StepName() + "."
	for i := range r.Tasks {
		if len(l.stopping) > 0 {
			if _, ok := l.stopping[runKey{prefix + strconv.Itoa(i), run}]; ok {
				return "another member makes room"
			}
		}
		if r.Tasks[i].Run == run && r.Tasks[i].Worker.Zero() {
			return "another member ended"
		}
	}
	return ""
}
