package state

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/conf"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// maxOps is the maximum number of operations in an intent.
const maxOps = 1000

// draft collects what the operations of an intent would change. It doesn't modify
// the state that it is based on.
type draft struct {
	data          *data
	now           time.Time
	config        conf.Config
	changes       []model.Change
	refusals      []model.Refusal
	teams         []string // names of teams set or dropped
	services      []string // names of services set or dropped
	newJobs       []model.Job
	cancelledJobs []string
	marks         []MarkWorker
	changedBy     map[string]int // index of the operation that changes an object, by object
	submittedBy   map[string]int // index of the last operation that submits a job, by team
}

// newDraft processes the operations in order; each one sees the effects of the
// operations before it.
func newDraft(d *data, now time.Time, ops []model.Op) *draft {
	dr := &draft{data: d, now: now, config: d.config, changedBy: map[string]int{}, submittedBy: map[string]int{}}
	if len(ops) == 0 || len(ops) > maxOps {
		dr.addRefusal("ops", len(ops), fmt.Sprintf("must hold 1 to %d operations", maxOps))
		return dr
	}
	for i, op := range ops {
		dr.addOp(i, op)
	}
	return dr
}

func (dr *draft) addRefusal(field string, value any, reason string) {
	dr.refusals = append(dr.refusals, newRefusal(field, value, reason))
}

// accept adds refusals to the draft and reports whether there were none.
func (dr *draft) accept(refusals []model.Refusal) bool {
	dr.refusals = append(dr.refusals, refusals...)
	return len(refusals) == 0
}

func (dr *draft) addOp(i int, op model.Op) {
	field := fmt.Sprintf("ops[%d]", i)
	switch op.Kind {
	case model.OpSetTeam:
		dr.setTeam(i, field+".team", op.Team)
	case model.OpDropTeam:
		dr.dropTeam(i, field+".name", op.Name)
	case model.OpSetService:
		dr.setService(i, field+".service", op.Service)
	case model.OpDropService:
		dr.dropService(i, field+".name", op.Name)
	case model.OpSubmitJob:
		dr.submitJob(i, field+".job", op.Job)
	case model.OpCancelJob:
		dr.cancelJob(i, field+".name", op.Name)
	case model.OpCordon, model.OpDrain, model.OpUncordon:
		dr.markWorkers(i, field, op)
	default:
		dr.addRefusal(field+".kind", op.Kind, "is not a known operation")
	}
}

// recordObject records that ops[i] changes an object, and reports whether it is
// the first operation to do so. It refuses a second operation on the same object.
func (dr *draft) recordObject(i int, field, object string) bool {
	if other, ok := dr.changedBy[object]; ok {
		dr.addRefusal(field, object, fmt.Sprintf("is changed by ops[%d] too", other))
		return false
	}
	dr.changedBy[object] = i
	return true
}

func (dr *draft) addChange(object, before, after string) {
	dr.changes = append(dr.changes, model.Change{Subject: object, Before: before, After: after})
}

func (dr *draft) setTeam(i int, field string, t *model.Team) {
	if t == nil {
		dr.addRefusal(field, "", "is missing")
		return
	}
	if !dr.accept(checkFields(field, *t)) || !dr.recordObject(i, field+".name", "team "+t.Name) {
		return
	}
	for n, guarantee := range t.Guarantees {
		if !dr.accept(dr.data.checkGuarantee(fmt.Sprintf("%s.guarantees[%d]", field, n), guarantee)) {
			return
		}
	}
	before, existed := dr.config.Team(t.Name)
	dr.addChange("team "+t.Name, compactJSON(before, existed), compactJSON(*t, true))
	dr.config = dr.config.WithTeam(*t)
	dr.teams = append(dr.teams, t.Name)
}

func (dr *draft) dropTeam(i int, field, name string) {
	before, ok := dr.config.Team(name)
	if !ok {
		dr.addRefusal(field, name, "is not a team")
		return
	}
	if n, _ := dr.data.liveJobCounts.get(name); n > 0 {
		dr.addRefusal(field, name, fmt.Sprintf("has %d jobs that haven't ended", n))
		return
	}
	if other, ok := dr.submittedBy[name]; ok {
		dr.addRefusal(field, name, fmt.Sprintf("gets a job from ops[%d]", other))
		return
	}
	for _, s := range dr.config.Services() {
		if slices.Contains(s.Teams, name) {
			dr.addRefusal(field, name, fmt.Sprintf("is named by service %q", s.Name))
			return
		}
	}
	if !dr.recordObject(i, field, "team "+name) {
		return
	}
	dr.addChange("team "+name, compactJSON(before, true), "")
	dr.config = dr.config.WithoutTeam(name)
	dr.teams = append(dr.teams, name)
}

func (dr *draft) setService(i int, field string, s *model.Service) {
	if s == nil {
		dr.addRefusal(field, "", "is missing")
		return
	}
	if !dr.accept(checkFields(field, *s)) || !dr.recordObject(i, field+".name", "service "+s.Name) {
		return
	}
	for n, team := range s.Teams {
		if _, ok := dr.config.Team(team); !ok {
			dr.addRefusal(fmt.Sprintf("%s.teams[%d]", field, n), team, "is not a team")
			return
		}
	}
	before, existed := dr.config.Service(s.Name)
	dr.addChange("service "+s.Name, compactJSON(before, existed), compactJSON(*s, true))
	dr.config = dr.config.WithService(*s)
	dr.services = append(dr.services, s.Name)
}

func (dr *draft) dropService(i int, field, name string) {
	before, ok := dr.config.Service(name)
	if !ok {
		dr.addRefusal(field, name, "is not a service")
		return
	}
	if !dr.recordObject(i, field, "service "+name) {
		return
	}
	dr.addChange("service "+name, compactJSON(before, true), "")
	dr.config = dr.config.WithoutService(name)
	dr.services = append(dr.services, name)
}

// compactJSON returns v as JSON on one line, or "" if present is false.
func compactJSON(v any, present bool) string {
	if !present {
		return ""
	}
	b, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprintf("%+v", v)
	}
	return string(b)
}
