package sched

import (
	"github.com/knapweedlug/knapweedlug/internal/place"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

const memoMost = 4096 // shapes that a memo holds

// memo remembers which shapes found no room, until room is made where it could
// help them.
type memo map[memoKey]uint64

type memoKey struct {
	shape model.Shape
	view  place.View
}

// has reports whether a search for the shape would fail again.
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
