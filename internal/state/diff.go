package state

import (
	"github.com/cockroachdb/errors"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// Diff returns the changes between two revisions, one for each object, with its
// value at the first revision and at the last. Objects whose value is the same at
// both are left out. Diff returns ErrNotFound for a range that isn't in the
// history.
func (v View) Diff(from, to uint64) ([]model.Change, error) {
	oldest, _, ok := v.data.history.first()
	if !ok {
		oldest = 1
	}
	if from > to || to > v.Revision() || from+1 < oldest {
		return nil, errors.Wrapf(ErrNotFound, "revisions %d to %d; available are %d to %d", from, to, oldest-1, v.Revision())
	}
	var merged []model.Change
	positions := map[string]int{}
	for n, r := range v.data.history.from(from + 1) {
		if n > to {
			break
		}
		merged = mergeChanges(merged, positions, r.Changes)
	}
	return dropUnchanged(merged), nil
}

// mergeChanges merges later changes into merged; positions maps each object to
// the index of its change.
func mergeChanges(merged []model.Change, positions map[string]int, later []model.Change) []model.Change {
	for _, c := range later {
		i, ok := positions[c.Subject]
		if !ok {
			positions[c.Subject] = len(merged)
			merged = append(merged, c)
			continue
		}
		merged[i].After = c.After
	}
	return merged
}

// dropUnchanged returns the changes whose values before and after differ.
func dropUnchanged(all []model.Change) []model.Change {
	var out []model.Change
	for _, c := range all {
		if c.Before != c.After {
			out = append(out, c)
		}
	}
	return out
}
