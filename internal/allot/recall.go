package allot

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/knapweedlug/knapweedlug/internal/jobs"
)

// recallDoubt is how little what a former leader knew says at least: a worker may
// have turned slow since.
const recallDoubt = 0.15

// Recall begins with what a former leader has learned.
func (l *Learner) Recall(known jobs.Learned) {
	for _, sp := range known.Speeds {
		s := l.standing(sp.Worker)
		sp.Doubt = max(sp.Doubt, recallDoubt)
		s.prior, s.speed, s.doubt = sp, sp.Log, sp.Doubt
		s.told = sp
	}
	maps.Copy(l.work, known.Work)
	maps.Copy(l.toldWork, known.Work)
}

const (
	// tellAbove is by how much a logarithm has to change before successors are
	// told of it.
	tellAbove = 0.1
	// tellMost bounds how many workers one command tells of.
	tellMost = 64
)

// News returns what has been learned since the last call, for successors, or nil.
func (l *Learner) News() *jobs.Learned {
	n := jobs.Learned{}
	for w, s := range l.workers {
		if len(s.runs) == 0 || math.Abs(s.speed-s.told.Log) < tellAbove && s.told.Doubt > 0 && s.told.Doubt-s.doubt < tellAbove {
			continue
		}
		if len(n.Speeds) == tellMost {
			break
		}
		s.told = jobs.Speed{Worker: w, Log: s.speed, Doubt: s.doubt}
		n.Speeds = append(n.Speeds, s.told)
	}
	for q, work := range l.work {
		if told, ok := l.toldWork[q]; ok && math.Abs(told-work) < tellAbove {
			continue
		}
		if n.Work == nil {
			n.Work = map[string]float64{}
		}
		n.Work[q], l.toldWork[q] = work, work
	}
	if len(n.Speeds)+len(n.Work) == 0 {
		return nil
	}
	slices.SortFunc(n.Speeds, func(a, b jobs.Speed) int { return cmp.Compare(a.Worker.Key(), b.Worker.Key()) })
	return &n
}
