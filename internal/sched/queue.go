package sched

import (
	"container/heap"
	"time"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// A job's sort key in the queue is its time of submission plus these penalties.
// As the penalties are bounded durations, a waiting job comes before every job
// that is submitted late enough, so that no job starves.
const (
	normalHandicap = 2 * time.Hour
	lowHandicap    = 8 * time.Hour
	lengthFactor   = 4                // times the expected run time
	lengthMost     = 24 * time.Hour   // highest penalty for the expected run time
	shareHandicap  = 10 * time.Second // per borrowed accelerator, divided by the team's weight
)

// order returns the job's sort key in its team's queue. A job with a deadline is
// due no later than its latest start.
func (s *Sched) order(j *job) time.Time {
	if s.opt.Strict {
		return j.Submitted
	}
	mid, high := s.expect(j.Job)
	key := j.Submitted.Add(min(lengthFactor*mid, lengthMost))
	switch j.Urgency {
	case model.Normal:
		key = key.Add(normalHandicap)
	case model.Low:
		key = key.Add(lowHandicap)
	}
	if j.Deadline.IsZero() {
		return key
	}
	if latest := j.Deadline.Add(-high); latest.Before(key) {
		return latest
	}
	return key
}

// chunk is the number of waiting jobs that a cursor copies from a queue at a
// time. They are copied because the visitor may remove jobs from the queue.
const chunk = 32

// cursor iterates over one team's queue.
type cursor struct {
	t      *team
	jobs   []*job
	last   *job
	offset time.Duration
	at     time.Time // sort key of the next job, with the team's offset
}

// fill copies the next jobs from the queue and reports whether there are any.
func (c *cursor) fill() bool {
	c.jobs = c.jobs[:0]
	take := func(j *job) bool {
		if c.last == nil || jobLess(c.last, j) {
			c.jobs = append(c.jobs, j)
		}
		return len(c.jobs) < chunk
	}
	if c.last == nil {
		c.t.queue.Ascend(take)
	} else {
		c.t.queue.AscendGreaterOrEqual(c.last, take)
	}
	if len(c.jobs) == 0 {
		return false
	}
	last := *c.jobs[len(c.jobs)-1]
	c.last = &last
	c.at = c.jobs[0].key.Add(c.offset)
	return true
}

// next advances to the next job and reports whether there is one.
func (c *cursor) next() bool {
	c.jobs = c.jobs[1:]
	if len(c.jobs) == 0 {
		return c.fill()
	}
	c.at = c.jobs[0].key.Add(c.offset)
	return true
}

// cursors is a heap of one cursor per team, ordered by the key of the next job.
type cursors []*cursor

func (c cursors) Len() int { return len(c) }
func (c cursors) Less(i, j int) bool {
	a, b := c[i].at, c[j].at
	if a.Equal(b) {
		return c[i].t.Name < c[j].t.Name
	}
	return a.Before(b)
}
func (c cursors) Swap(i, j int) { c[i], c[j] = c[j], c[i] }

// Push implements heap.Interface.
func (c *cursors) Push(x any) { *c = append(*c, x.(*cursor)) }

// Pop implements heap.Interface.
func (c *cursors) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

// walk calls visit for the waiting jobs of all teams in order of their keys,
// until it returns false. The jobs of a team come later the more it borrows in
// proportion to its weight.
func (s *Sched) walk(visit func(*job) bool) {
	var h cursors
	for _, t := range s.teams {
		if t.queue.Len() == 0 {
			continue
		}
		c := &cursor{t: t, offset: s.offset(t)}
		if c.fill() {
			h = append(h, c)
		}
	}
	heap.Init(&h)
	for h.Len() > 0 {
		c := h[0]
		if !visit(c.jobs[0]) {
			return
		}
		if c.next() {
			heap.Fix(&h, 0)
		} else {
			heap.Pop(&h)
		}
	}
}

// firstJobs returns up to most jobs from the head of the team's queue.
func firstJobs(t *team, most int) []*job {
	js := make([]*job, 0, min(most, t.queue.Len()))
	t.queue.Ascend(func(j *job) bool {
		js = append(js, j)
		return len(js) < most
	})
	return js
}

// offset returns the penalty on the keys of all jobs of the team for what it
// borrows.
func (s *Sched) offset(t *team) time.Duration {
	if s.opt.Strict {
		return 0
	}
	return time.Duration(t.lent) * shareHandicap / time.Duration(max(t.Weight, 1))
}
