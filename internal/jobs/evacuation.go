package jobs

import (
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
)

// ErrUnknownDomain means that an operator named a failure domain that doesn't exist.
var ErrUnknownDomain = errors.New("no such failure domain")

// RefusedEvacuated is the reason for refusing a start in an evacuated failure domain.
const RefusedEvacuated = "failure domain is evacuated"

// maxDomainBytes is the largest length of the name of a failure domain.
const maxDomainBytes = 255

// Evacuation is in force for a failure domain from the commit of the operator's request until that of its withdrawal.
// No run starts there; the runs that are there go on.
type Evacuation struct {
	Domain  string `json:"domain"`
	SinceMs int64  `json:"since"` // wall clock of the leader that committed it, Unix milliseconds
}

// ValidDomain reports whether a string can be the name of a failure domain.
func ValidDomain(name string) bool {
	return name != "" && len(name) <= maxDomainBytes && utf8.ValidString(name) && !strings.ContainsFunc(name, unicode.IsControl)
}

// evacuate begins the evacuation of a failure domain. Repeating it has no effect.
func (d *stateData) evacuate(domain string, nowMs int64) {
	if _, ok := d.Evacuations[domain]; ok {
		return
	}
	if d.Evacuations == nil {
		d.Evacuations = map[string]Evacuation{}
	}
	d.Evacuations[domain] = Evacuation{Domain: domain, SinceMs: nowMs}
}

// Evacuated reports whether a failure domain is evacuated.
func (v View) Evacuated(domain string) bool {
	_, ok := v.data.Evacuations[domain]
	return ok
}

// Evacuations returns the evacuations in force, by name of the failure domain.
func (v View) Evacuations() []Evacuation {
	list := make([]Evacuation, 0, len(v.data.Evacuations))
	for _, e := range v.data.Evacuations {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b Evacuation) int { return strings.Compare(a.Domain, b.Domain) })
	return list
}
