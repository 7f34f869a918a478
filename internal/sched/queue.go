package sched

import (
	"container/heap"
	"time"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// Handicaps by which the queue orders jobs. They are times, so that a job that
// waits overtakes any that is submitted late enough: none starves.
const (
	normalHandicap = 2 * time.Hour
	lowHandicap    = 8 * time.Hour
	lengthFactor   = 4                // of the expected run time
	lengthMost     = 24 * time.Hour   // handicap for length at most
	shareHandicap  = 10 * time.Second // per borrowed accelerator and unit of weight
)

// order returns the job's key in its team's queue.
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

// chunk is how many waiting jobs of one team are copied out of its queue at a
// time. A visit may take jobs out of the queue meanwhile.
const chunk = 32

// cursor walks through one team's queue.
type cursor struct {
	t      *team
	jobs   []*job
	last   *job
	offset time.Duration
	at     time.Time // key of the first job with the team's offset
}

// fill copies the next jobs and reports whether there are any.
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

// next steps over the first job and reports whether there is another.
func (c *cursor) next() bool {
	c.jobs = c.jobs[1:]
	if len(c.jobs) == 0 {
		return c.fill()
	}
	c.at = c.jobs[0].key.Add(c.offset)
	return true
}

// cursors is a heap of the teams by the key of their next job.
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

// walk visits waiting jobs, the first served first, until visit returns false.
// Teams that borrow much for their weight come later.
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

func firstJobs(t *team, most int) []*job {
	js := make([]*job, 0, min(most, t.queue.Len()))
	t.queue.Ascend(func(j *job) bool {
		js = append(js, j)
		return len(js) < most
	})
	return js
}

func (s *Sched) offset(t *team) time.Duration {
	if s.opt.Strict {
		return 0
	}
	return time.Duration(t.lent) * shareHandicap / time.Duration(max(t.Weight, 1))
}
