package sched

import (
	"github.com/knapweedlug/knapweedlug/internal/place"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

const memoMost = 4096 // entries of a memo

// memo records the searches that found no room, with the fleet's change count at
// the time. An entry is dropped once room was freed that the shape could use.
type memo map[memoKey]uint64

type memoKey struct {
	shape model.Shape
	view  place.View
}

// has reports whether a search for the shape is known to fail.
func (m memo) has(s model.Shape, v place.View, f *place.Fleet) bool {
	key := memoKey{s, v}
	at, ok := m[key]
	if !ok {
		return false
	}
	if at == f.Freed() {
		return true
	}
	need := place.NeedOf(s)
	if s.Near == model.NearWorker {
		need = need.Times(s.Members)
	}
	if f.MayFit(need, at) {
		delete(m, key)
		return false
	}
	m[key] = f.Freed()
	return true
}

func (m memo) add(s model.Shape, v place.View, f *place.Fleet) {
	if len(m) >= memoMost {
		clear(m)
	}
	m[memoKey{s, v}] = f.Freed()
}
