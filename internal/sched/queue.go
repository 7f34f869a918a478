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
	normalPenalty        = 2 * time.Hour
	lowPenalty           = 8 * time.Hour
	runTimePenaltyFactor = 4                // penalty in multiples of the expected run time
	maxRunTimePenalty    = 24 * time.Hour   // highest penalty for the expected run time
	borrowPenalty        = 10 * time.Second // per borrowed accelerator, divided by the team's weight
)

// queueKey returns the job's sort key in its team's queue. The key of a job
// with a deadline is at most its latest start that still meets the deadline.
func (s *Sched) queueKey(j *job) time.Time {
	if s.opt.StrictFIFO {
		return j.Submitted
	}
	median, high := s.estimateRunTime(j.Job)
	key := j.Submitted.Add(min(runTimePenaltyFactor*median, maxRunTimePenalty))
	switch j.Urgency {
	case model.Normal:
		key = key.Add(normalPenalty)
	case model.Low:
		key = key.Add(lowPenalty)
	}
	if j.Deadline.IsZero() {
		return key
	}
	if latest := j.Deadline.Add(-high); latest.Before(key) {
		return latest
	}
	return key
}

// cursorBatchSize is the number of waiting jobs that a cursor copies from a
// queue at a time. They are copied because the visitor may remove jobs from the
// queue.
const cursorBatchSize = 32

// cursor iterates over one team's queue.
type cursor struct {
	team    *team
	batch   []*job        // copied jobs from the current one on
	last    *job          // copy of the last job that was copied from the queue
	penalty time.Duration // penalty on all jobs of the team
	nextKey time.Time     // sort key of the next job plus the team's penalty
}

// fill copies the next jobs from the queue and reports whether there are any.
func (c *cursor) fill() bool {
	c.batch = c.batch[:0]
	take := func(j *job) bool {
		if c.last == nil || jobLess(c.last, j) {
			c.batch = append(c.batch, j)
		}
		return len(c.batch) < cursorBatchSize
	}
	if c.last == nil {
		c.team.queue.Ascend(take)
	} else {
		c.team.queue.AscendGreaterOrEqual(c.last, take)
	}
	if len(c.batch) == 0 {
		return false
	}
	last := *c.batch[len(c.batch)-1]
	c.last = &last
	c.nextKey = c.batch[0].queueKey.Add(c.penalty)
	return true
}

// next advances to the next job and reports whether there is one.
func (c *cursor) next() bool {
	c.batch = c.batch[1:]
	if len(c.batch) == 0 {
		return c.fill()
	}
	c.nextKey = c.batch[0].queueKey.Add(c.penalty)
	return true
}

// cursorHeap is a heap of one cursor per team, ordered by the key of the next
// job.
type cursorHeap []*cursor

func (c cursorHeap) Len() int { return len(c) }
func (c cursorHeap) Less(i, j int) bool {
	a, b := c[i].nextKey, c[j].nextKey
	if a.Equal(b) {
		return c[i].team.Name < c[j].team.Name
	}
	return a.Before(b)
}
func (c cursorHeap) Swap(i, j int) { c[i], c[j] = c[j], c[i] }

// Push implements heap.Interface.
func (c *cursorHeap) Push(x any) { *c = append(*c, x.(*cursor)) }

// Pop implements heap.Interface.
func (c *cursorHeap) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

// walkQueues calls visit for the waiting jobs of all teams in order of their
// keys, until it returns false. The jobs of a team come later the more it
// borrows in proportion to its weight.
func (s *Sched) walkQueues(visit func(*job) bool) {
	var h cursorHeap
	for _, t := range s.teams {
		if t.queue.Len() == 0 {
			continue
		}
		c := &cursor{team: t, penalty: s.borrowPenalty(t)}
		if c.fill() {
			h = append(h, c)
		}
	}
	heap.Init(&h)
	for h.Len() > 0 {
		c := h[0]
		if !visit(c.batch[0]) {
			return
		}
		if c.next() {
			heap.Fix(&h, 0)
		} else {
			heap.Pop(&h)
		}
	}
}

// firstJobs returns up to limit jobs from the head of the team's queue.
func firstJobs(t *team, limit int) []*job {
	js := make([]*job, 0, min(limit, t.queue.Len()))
	t.queue.Ascend(func(j *job) bool {
		js = append(js, j)
		return len(js) < limit
	})
	return js
}

// borrowPenalty returns the penalty on the keys of all jobs of the team for
// what it borrows.
func (s *Sched) borrowPenalty(t *team) time.Duration {
	if s.opt.StrictFIFO {
		return 0
	}
	return time.Duration(t.borrowed) * borrowPenalty / time.Duration(max(t.Weight, 1))
}
