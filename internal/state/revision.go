package state

import (
	"iter"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/conf"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// maxRevisions is the number of revisions kept in the history. A process whose
// revision is older gets a full copy of the configuration.
const maxRevisions = 10_000

// Revision is one entry in the history of the configuration.
type Revision struct {
	Number   uint64         `json:"number"`
	Operator string         `json:"operator"`
	Plan     string         `json:"plan"` // plan that made the revision
	Time     time.Time      `json:"time"`
	Changes  []model.Change `json:"changes,omitempty"`
	Teams    []string       `json:"teams,omitempty"`    // teams set or dropped
	Services []string       `json:"services,omitempty"` // services set or dropped
}

// changesTeamsOrServices reports whether the revision set or dropped teams or
// services.
func (r Revision) changesTeamsOrServices() bool { return len(r.Teams)+len(r.Services) > 0 }

// addRevision stores c as the next revision of the configuration and returns the
// revision's number.
func (d *data) addRevision(r Revision, c conf.Config) uint64 {
	r.Number = d.config.Revision() + 1
	d.config = c.WithRevision(r.Number)
	d.history.set(r.Number, &r)
	if r.changesTeamsOrServices() {
		d.teamServiceRevision = r.Number
	}
	for d.history.size() > maxRevisions {
		n, _, _ := d.history.first()
		d.history.drop(n)
	}
	return r.Number
}

// firstTeamServiceChange returns the first revision after base that changed teams
// or services, if it is still in the history.
func (d *data) firstTeamServiceChange(base uint64) (Revision, bool) {
	for _, r := range d.history.from(base + 1) {
		if r.changesTeamsOrServices() {
			return *r, true
		}
	}
	return Revision{}, false
}

// History yields the kept revisions with this number or a higher one.
func (v View) History(from uint64) iter.Seq[*Revision] {
	return func(yield func(*Revision) bool) {
		for _, r := range v.data.history.from(from) {
			if !yield(r) {
				return
			}
		}
	}
}

// Delta returns the configuration changes since a revision. It returns a full
// copy if the history doesn't reach back that far or the revision doesn't exist.
func (v View) Delta(from uint64) conf.Delta {
	d := v.data
	oldest, _, ok := d.history.first()
	available := ok && from+1 >= oldest && from <= d.config.Revision()
	if from == 0 || !available {
		return d.config.FullDelta()
	}
	var teams, services []string
	for _, r := range d.history.from(from + 1) {
		teams = append(teams, r.Teams...)
		services = append(services, r.Services...)
	}
	return d.config.DeltaSince(from, teams, services)
}
