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
	changedBy     map[string]int // changed object to the index of the operation that changes it
	submittedBy   map[string]int // team to the index of the last operation that submits a job for it
}

// newDraft processes the operations in order; each one sees the effects of the
// operations before it.
func newDraft(d *data, now time.Time, ops []model.Op) *draft {
	g := &draft{data: d, now: now, config: d.config, changedBy: map[string]int{}, submittedBy: map[string]int{}}
	if len(ops) == 0 || len(ops) > maxOps {
		g.addRefusal("ops", len(ops), fmt.Sprintf("must hold 1 to %d operations", maxOps))
		return g
	}
	for i, op := range ops {
		g.addOp(i, op)
	}
	return g
}

func (g *draft) addRefusal(field string, value any, reason string) {
	g.refusals = append(g.refusals, newRefusal(field, value, reason))
}

// accept adds refusals to the draft and reports whether there were none.
func (g *draft) accept(refusals []model.Refusal) bool {
	g.refusals = append(g.refusals, refusals...)
	return len(refusals) == 0
}

func (g *draft) addOp(i int, op model.Op) {
	field := fmt.Sprintf("ops[%d]", i)
	switch op.Kind {
	case model.OpSetTeam:
		g.setTeam(i, field+".team", op.Team)
	case model.OpDropTeam:
		g.dropTeam(i, field+".name", op.Name)
	case model.OpSetService:
		g.setService(i, field+".service", op.Service)
	case model.OpDropService:
		g.dropService(i, field+".name", op.Name)
	case model.OpSubmitJob:
		g.submitJob(i, field+".job", op.Job)
	case model.OpCancelJob:
		g.cancelJob(i, field+".name", op.Name)
	case model.OpCordon, model.OpDrain, model.OpUncordon:
		g.markWorkers(i, field, op)
	default:
		g.addRefusal(field+".kind", op.Kind, "is not a known operation")
	}
}

// recordObject records that ops[i] changes an object. It refuses a second
// operation on the same object.
func (g *draft) recordObject(i int, field, object string) bool {
	if other, ok := g.changedBy[object]; ok {
		g.addRefusal(field, object, fmt.Sprintf("is changed by ops[%d] too", other))
		return false
	}
	g.changedBy[object] = i
	return true
}

func (g *draft) addChange(object, before, after string) {
	g.changes = append(g.changes, model.Change{Subject: object, Before: before, After: after})
}

func (g *draft) setTeam(i int, field string, t *model.Team) {
	if t == nil {
		g.addRefusal(field, "", "is missing")
		return
	}
	if !g.accept(checkFields(field, *t)) || !g.recordObject(i, field+".name", "team "+t.Name) {
		return
	}
	for n, guarantee := range t.Guarantees {
		if !g.accept(g.data.checkGuarantee(fmt.Sprintf("%s.guarantees[%d]", field, n), guarantee)) {
			return
		}
	}
	before, existed := g.config.Team(t.Name)
	g.addChange("team "+t.Name, compactJSON(before, existed), compactJSON(*t, true))
	g.config = g.config.WithTeam(*t)
	g.teams = append(g.teams, t.Name)
}

func (g *draft) dropTeam(i int, field, name string) {
	before, ok := g.config.Team(name)
	if !ok {
		g.addRefusal(field, name, "is not a team")
		return
	}
	if n, _ := g.data.liveJobCounts.get(name); n > 0 {
		g.addRefusal(field, name, fmt.Sprintf("has %d jobs that haven't ended", n))
		return
	}
	if other, ok := g.submittedBy[name]; ok {
		g.addRefusal(field, name, fmt.Sprintf("gets a job from ops[%d]", other))
		return
	}
	for _, s := range g.config.Services() {
		if slices.Contains(s.Teams, name) {
			g.addRefusal(field, name, fmt.Sprintf("is named by service %q", s.Name))
			return
		}
	}
	if !g.recordObject(i, field, "team "+name) {
		return
	}
	g.addChange("team "+name, compactJSON(before, true), "")
	g.config = g.config.WithoutTeam(name)
	g.teams = append(g.teams, name)
}

func (g *draft) setService(i int, field string, s *model.Service) {
	if s == nil {
		g.addRefusal(field, "", "is missing")
		return
	}
	if !g.accept(checkFields(field, *s)) || !g.recordObject(i, field+".name", "service "+s.Name) {
		return
	}
	for n, team := range s.Teams {
		if _, ok := g.config.Team(team); !ok {
			g.addRefusal(fmt.Sprintf("%s.teams[%d]", field, n), team, "is not a team")
			return
		}
	}
	before, existed := g.config.Service(s.Name)
	g.addChange("service "+s.Name, compactJSON(before, existed), compactJSON(*s, true))
	g.config = g.config.WithService(*s)
	g.services = append(g.services, s.Name)
}

func (g *draft) dropService(i int, field, name string) {
	before, ok := g.config.Service(name)
	if !ok {
		g.addRefusal(field, name, "is not a service")
		return
	}
	if !g.recordObject(i, field, "service "+name) {
		return
	}
	g.addChange("service "+name, compactJSON(before, true), "")
	g.config = g.config.WithoutService(name)
	g.services = append(g.services, name)
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
