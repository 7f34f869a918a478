package state

import (
	"github.com/cockroachdb/errors"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// Diff returns what changed between two revisions, one change for each object:
// what it was at the first of them and what it is at the last. An object that
// ended up as it began is left out. A range that the history no longer holds,
// or doesn't hold yet, is refused.
func (v View) Diff(from, to uint64) ([]model.Change, error) {
	oldest, _, ok := v.data.history.first()
	if !ok {
		oldest = 1
	}
	if from > to || to > v.Revision() || from+1 < oldest {
		return nil, errors.Wrapf(ErrNotFound, "revisions %d to %d; held are %d to %d", from, to, oldest-1, v.Revision())
	}
	var merged []model.Change
	at := map[string]int{}
	for n, r := range v.data.history.from(from + 1) {
		if n > to {
			break
		}
		merged = mergeChanges(merged, at, r.Changes)
	}
	return changed(merged), nil
}

// mergeChanges adds later changes to those before; at holds the place of each
// object's change.
func mergeChanges(merged []model.Change, at map[string]int, later []model.Change) []model.Change {
	for _, c := range later {
		i, ok := at[c.What]
		if !ok {
			at[c.What] = len(merged)
			merged = append(merged, c)
			continue
		}
		merged[i].After = c.After
	}
	return merged
}

// changed leaves out what ended as it began.
func changed(all []model.Change) []model.Change {
	var out []model.Change
	for _, c := range all {
		if c.Before != c.After {
			out = append(out, c)
		}
	}
	return out
}
