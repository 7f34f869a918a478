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
	data     *data
	now      time.Time
	config   conf.Config
	changes  []model.Change
	refusals []model.Refusal
	teams    []string // names of teams set or dropped
	services []string // names of services set or dropped
	submits  []model.Job
	cancels  []string
	marks    []MarkWorker
	seen     map[string]int // changed object to the index of the operation that changes it
	joined   map[string]int // team to the index of the last operation that submits a job for it
}

// newDraft processes the operations in order; each one sees the effects of the
// operations before it.
func newDraft(d *data, now time.Time, ops []model.Op) *draft {
	g := &draft{data: d, now: now, config: d.config, seen: map[string]int{}, joined: map[string]int{}}
	if len(ops) == 0 || len(ops) > maxOps {
		g.refuse("ops", len(ops), fmt.Sprintf("must hold 1 to %d operations", maxOps))
		return g
	}
	for i, op := range ops {
		g.step(i, op)
	}
	return g
}

func (g *draft) refuse(field string, value any, why string) {
	g.refusals = append(g.refusals, refuse(field, value, why))
}

// take adds refusals to the draft and reports whether there were none.
func (g *draft) take(bad []model.Refusal) bool {
	g.refusals = append(g.refusals, bad...)
	return len(bad) == 0
}

func (g *draft) step(i int, op model.Op) {
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
		g.submit(i, field+".job", op.Job)
	case model.OpCancelJob:
		g.cancel(i, field+".name", op.Name)
	case model.OpCordon, model.OpDrain, model.OpUncordon:
		g.mark(i, field, op)
	default:
		g.refuse(field+".kind", op.Kind, "is not a known operation")
	}
}

// once records that ops[i] changes an object. It refuses a second operation on
// the same object.
func (g *draft) once(i int, field, what string) bool {
	if before, ok := g.seen[what]; ok {
		g.refuse(field, what, fmt.Sprintf("is changed by ops[%d] too", before))
		return false
	}
	g.seen[what] = i
	return true
}

func (g *draft) change(what, before, after string) {
	g.changes = append(g.changes, model.Change{What: what, Before: before, After: after})
}

func (g *draft) setTeam(i int, field string, t *model.Team) {
	if t == nil {
		g.refuse(field, "", "is missing")
		return
	}
	if !g.take(checkFields(field, *t)) || !g.once(i, field+".name", "team "+t.Name) {
		return
	}
	for n, q := range t.Guarantees {
		if !g.take(g.data.checkGuarantee(fmt.Sprintf("%s.guarantees[%d]", field, n), q)) {
			return
		}
	}
	before, had := g.config.Team(t.Name)
	g.change("team "+t.Name, compact(before, had), compact(*t, true))
	g.config = g.config.WithTeam(*t)
	g.teams = append(g.teams, t.Name)
}

func (g *draft) dropTeam(i int, field, name string) {
	before, ok := g.config.Team(name)
	if !ok {
		g.refuse(field, name, "is not a team")
		return
	}
	if n, _ := g.data.live.get(name); n > 0 {
		g.refuse(field, name, fmt.Sprintf("has %d jobs that haven't ended", n))
		return
	}
	if at, ok := g.joined[name]; ok {
		g.refuse(field, name, fmt.Sprintf("gets a job from ops[%d]", at))
		return
	}
	for _, s := range g.config.Services() {
		if slices.Contains(s.Teams, name) {
			g.refuse(field, name, fmt.Sprintf("is named by service %q", s.Name))
			return
		}
	}
	if !g.once(i, field, "team "+name) {
		return
	}
	g.change("team "+name, compact(before, true), "")
	g.config = g.config.WithoutTeam(name)
	g.teams = append(g.teams, name)
}

func (g *draft) setService(i int, field string, s *model.Service) {
	if s == nil {
		g.refuse(field, "", "is missing")
		return
	}
	if !g.take(checkFields(field, *s)) || !g.once(i, field+".name", "service "+s.Name) {
		return
	}
	for n, team := range s.Teams {
		if _, ok := g.config.Team(team); !ok {
			g.refuse(fmt.Sprintf("%s.teams[%d]", field, n), team, "is not a team")
			return
		}
	}
	before, had := g.config.Service(s.Name)
	g.change("service "+s.Name, compact(before, had), compact(*s, true))
	g.config = g.config.WithService(*s)
	g.services = append(g.services, s.Name)
}

func (g *draft) dropService(i int, field, name string) {
	before, ok := g.config.Service(name)
	if !ok {
		g.refuse(field, name, "is not a service")
		return
	}
	if !g.once(i, field, "service "+name) {
		return
	}
	g.change("service "+name, compact(before, true), "")
	g.config = g.config.WithoutService(name)
	g.services = append(g.services, name)
}

// compact returns v as JSON on one line, or "" if present is false.
func compact(v any, present bool) string {
	if !present {
		return ""
	}
	b, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprintf("%+v", v)
	}
	return string(b)
}
