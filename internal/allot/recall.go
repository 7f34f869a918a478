package allot

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/knapweedlug/knapweedlug/internal/jobs"
)

// recallDoubt is the least standard deviation of a speed that a former leader has learned, since the
// worker may have become slow since then.
const recallDoubt = 0.15

// Recall initialises the estimates with those of a former leader.
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
	// tellAbove is by how much a logarithm has to change before it is stored for the next leader.
	tellAbove = 0.1
	// tellMost limits the workers in one command.
	tellMost = 64
)

// News returns the estimates that have changed since the last call, to be stored for the next leader,
// or nil.
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
