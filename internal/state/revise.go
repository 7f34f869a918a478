package state

import (
	"iter"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/conf"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// keepRevisions is how many revisions the history holds. A process further
// behind gets a full copy.
const keepRevisions = 10_000

// Revision is one entry of the configuration's history.
type Revision struct {
	Number   uint64         `json:"number"`
	Operator string         `json:"operator"`
	Plan     string         `json:"plan"`
	Time     time.Time      `json:"time"`
	Changes  []model.Change `json:"changes,omitempty"`
	Teams    []string       `json:"teams,omitempty"`    // teams set or dropped
	Services []string       `json:"services,omitempty"` // services set or dropped
}

// rules reports whether the revision changed teams or services.
func (r Revision) rules() bool { return len(r.Teams)+len(r.Services) > 0 }

// addRevision makes the configuration of a draft the next revision.
func (d *data) addRevision(r Revision, c conf.Config) uint64 {
	r.Number = d.config.Revision() + 1
	d.config = c.WithRevision(r.Number)
	d.history.set(r.Number, &r)
	if r.rules() {
		d.rules = r.Number
	}
	for d.history.size() > keepRevisions {
		n, _, _ := d.history.first()
		d.history.drop(n)
	}
	return r.Number
}

// firstRules returns the first revision after base that changed teams or
// services, if the history still holds it.
func (d *data) firstRules(base uint64) (Revision, bool) {
	for _, r := range d.history.from(base + 1) {
		if r.rules() {
			return *r, true
		}
	}
	return Revision{}, false
}

// History yields the revisions kept, at and after a number.
func (v View) History(from uint64) iter.Seq[*Revision] {
	return func(yield func(*Revision) bool) {
		for _, r := range v.data.history.from(from) {
			if !yield(r) {
				return
			}
		}
	}
}

// Delta returns what changed since a revision, or a full copy when the history
// doesn't reach back that far or the revision isn't one of this state's.
func (v View) Delta(from uint64) conf.Delta {
	d := v.data
	oldest, _, ok := d.history.first()
	known := ok && from+1 >= oldest && from <= d.config.Revision()
	if from == 0 || !known {
		return d.config.Full()
	}
	var teams, services []string
	for _, r := range d.history.from(from + 1) {
		teams = append(teams, r.Teams...)
		services = append(services, r.Services...)
	}
	return d.config.Since(from, teams, services)
}
