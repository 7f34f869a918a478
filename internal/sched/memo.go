package sched

import (
	"github.com/knapweedlug/knapweedlug/internal/place"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

const maxFailedSearches = 4096 // entries of failedSearches

// failedSearches records the searches that found no room, with the fleet's
// change count at the time. An entry is dropped once room was freed that the
// shape could use.
type failedSearches map[searchKey]uint64

type searchKey struct {
	shape model.Shape
	view  place.View
}

// has reports whether a search for the shape is known to fail.
func (m failedSearches) has(s model.Shape, v place.View, f *place.Fleet) bool {
	key := searchKey{s, v}
	freed, ok := m[key]
	if !ok {
		return false
	}
	if freed == f.FreedCount() {
		return true
	}
	need := place.ResourcesOf(s)
	if s.Proximity == model.ProximityWorker {
		need = need.Times(s.Members)
	}
	if f.MayFitSince(need, freed) {
		delete(m, key)
		return false
	}
	m[key] = f.FreedCount()
	return true
}

func (m failedSearches) add(s model.Shape, v place.View, f *place.Fleet) {
	if len(m) >= maxFailedSearches {
		clear(m)
	}
	m[searchKey{s, v}] = f.FreedCount()
}
