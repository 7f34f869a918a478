package sched

import (
	"github.com/knapweedlug/knapweedlug/internal/place"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// maxFailedSearches is the maximum number of entries of failedSearches, and of
// Sched.feasibility. A full map is cleared.
const maxFailedSearches = 4096

// failedSearches maps the searches that found no room to the value of the
// fleet's FreedCount at the time. An entry is dropped once room was freed that
// the shape could use.
type failedSearches map[searchKey]uint64

// searchKey holds everything that the result of a cacheable search depends on
// besides the fleet.
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

// add records that a search has failed now.
func (m failedSearches) add(s model.Shape, v place.View, f *place.Fleet) {
	if len(m) >= maxFailedSearches {
		clear(m)
	}
	m[searchKey{s, v}] = f.FreedCount()
}
