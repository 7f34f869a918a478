package sched

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/place"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// Report is the effect that a plan would have on jobs and guarantees.
type Report struct {
	Preempts []string             // jobs that would be stopped
	Touches  []string             // guarantees that it changes or that are bound to workers that it changes
	Refusals []model.Refusal      // reasons why it can't be carried out
	Starts   map[string]time.Time // earliest start of each submitted job
}

// trial applies operations one after the other and collects the report. The
// fields that end in At hold the state before the trial.
type trial struct {
	s        *Sched
	now      time.Time
	report   Report
	jobs     map[string]bool // ids of jobs submitted by earlier operations
	unitsAt  map[*unit][]place.Cell
	jobsAt   map[*job]*unit
	listAt   map[*team][]*unit
	modelAt  map[*team]model.Team
	workerAt map[string]model.Worker
	heldAt   map[string]*hold
	added    []string // teams that were created by the trial
}

// Check reports the effect that the operations would have together. It applies
// them to the state and then restores the state.
func (s *Sched) Check(ops []model.Op, now time.Time) Report {
	t := s.begin(now)
	for i, op := range ops {
		t.try(fmt.Sprintf("ops[%d]", i), op)
	}
	t.undo()
	slices.Sort(t.report.Preempts)
	slices.Sort(t.report.Touches)
	t.report.Preempts = slices.Compact(t.report.Preempts)
	t.report.Touches = slices.Compact(t.report.Touches)
	return t.report
}

func (s *Sched) begin(now time.Time) *trial {
	t := &trial{
		s: s, now: now,
		report:   Report{Starts: make(map[string]time.Time)},
		jobs:     make(map[string]bool),
		unitsAt:  make(map[*unit][]place.Cell),
		jobsAt:   make(map[*job]*unit),
		listAt:   make(map[*team][]*unit),
		modelAt:  make(map[*team]model.Team),
		workerAt: make(map[string]model.Worker),
		heldAt:   maps.Clone(s.held),
	}
	for _, tm := range s.teams {
		t.listAt[tm] = slices.Clone(tm.units)
		t.modelAt[tm] = tm.Team
		for _, u := range tm.units {
			t.unitsAt[u] = u.cells
			for _, j := range u.jobs {
				t.jobsAt[j] = u
			}
		}
	}
	return t
}

// undo restores all bindings, reservations, teams and workers.
func (t *trial) undo() {
	s := t.s
	for _, w := range t.workerAt {
		s.fleet.SetWorker(w)
	}
	for _, tm := range s.teams {
		for _, u := range tm.units {
			if at, known := t.unitsAt[u]; !known || !sameCells(at, u.cells) {
				s.unbind(u)
				delete(s.short, u)
			}
		}
	}
	for tm, list := range t.listAt {
		tm.units, tm.Team = list, t.modelAt[tm]
	}
	for u, cells := range t.unitsAt {
		switch {
		case cells == nil:
			s.short[u] = true
		case !u.bound():
			s.bind(u, cells)
		}
	}
	for j, u := range t.jobsAt {
		if j.unit != u {
			s.attach(j, u)
		}
	}
	for id, h := range t.heldAt {
		if s.held[id] == nil {
			s.reserve(h.j, h.cells, h.at)
		}
	}
	for _, name := range t.added {
		delete(s.teams, name)
	}
}

func (t *trial) refuse(field string, value any, format string, args ...any) {
	t.report.Refusals = append(t.report.Refusals, model.Refusal{
		Field:  field,
		Value:  fmt.Sprint(value),
		Reason: fmt.Sprintf(format, args...),
	})
}

func (t *trial) try(field string, op model.Op) {
	switch op.Kind {
	case model.OpSetTeam:
		if op.Team != nil {
			t.setTeam(field+".team", *op.Team)
		}
	case model.OpDropTeam:
		t.dropTeam(field+".name", op.Name)
	case model.OpSubmitJob:
		if op.Job != nil {
			t.submit(field+".job", *op.Job)
		}
	case model.OpCancelJob:
		if t.s.jobs[op.Name] == nil && !t.jobs[op.Name] {
			t.refuse(field+".name", op.Name, "no live job has this id")
		}
	case model.OpCordon, model.OpDrain, model.OpUncordon:
		t.changeWorkers(field, op)
	}
}

func (t *trial) team(name string) *team {
	if _, ok := t.s.teams[name]; !ok {
		t.added = append(t.added, name)
	}
	return t.s.team(name)
}

// setTeam replaces the team and binds its guarantees without giving up others.
func (t *trial) setTeam(field string, m model.Team) {
	bad := false
	for i, g := range m.Guarantees {
		at := fmt.Sprintf("%s.guarantees[%d]", field, i)
		bad = !t.checkCount(at, g) || !t.checkShape(at+".shape", g.Shape) || bad
	}
	if m.Quota < 0 {
		t.refuse(field+".quota", m.Quota, "must not be negative")
		bad = true
	}
	if bad {
		return
	}
	before := t.shortNow()
	tm := t.team(m.Name)
	if !slices.Equal(tm.Guarantees, m.Guarantees) {
		t.touch(tm.Team)
		t.touch(m)
	}
	tm.Team = m
	t.s.shrinkUnits(tm)
	t.s.growUnits(tm)
	t.s.repair()
	t.explainShort(field, tm, before)
}

func (t *trial) checkCount(field string, g model.Guarantee) bool {
	if g.Count < 0 {
		t.refuse(field+".count", g.Count, "must not be negative")
		return false
	}
	have := t.s.fleet.Len()
	if g.Count > 0 && g.Shape.Members > 0 && g.Count > have*maxPerWorker/g.Shape.Members {
		t.refuse(field+".count", g.Count, "more than %d workers can hold at %d members each", have, g.Shape.Members)
		return false
	}
	return true
}

// touch adds all guarantees of the team to the report.
func (t *trial) touch(m model.Team) {
	for i, g := range m.Guarantees {
		t.report.Touches = append(t.report.Touches, fmt.Sprintf("%s[%d] %s", m.Name, i, g.Shape))
	}
}

func (t *trial) dropTeam(field, name string) {
	tm, ok := t.s.teams[name]
	if !ok {
		t.refuse(field, name, "no team has this name")
		return
	}
	t.touch(tm.Team)
	tm.Team = model.Team{Name: name}
	t.s.shrinkUnits(tm)
}

// shortNow returns a copy of the set of unbound units.
func (t *trial) shortNow() map[*unit]bool {
	short := make(map[*unit]bool, len(t.s.short))
	for u := range t.s.short {
		short[u] = true
	}
	return short
}

// explainShort refuses an operation that left units unbound that were bound
// before, with the numbers per guarantee.
func (t *trial) explainShort(field string, tm *team, before map[*unit]bool) {
	type key struct {
		team  string
		index int
	}
	missing := make(map[key]int)
	var order []key
	for _, u := range sortedUnits(t.s.short) {
		if before[u] {
			continue
		}
		k := key{u.team, u.index}
		if missing[k] == 0 {
			order = append(order, k)
		}
		missing[k]++
	}
	for _, k := range order {
		g := t.s.teams[k.team].Guarantees[k.index]
		if tm != nil && k.team == tm.Name {
			t.refuse(fmt.Sprintf("%s.guarantees[%d].count", field, k.index), g.Count,
				"the fleet can hold %d of %d times %s beside all other guarantees and the unstoppable work that runs",
				g.Count-missing[k], g.Count, g.Shape)
			continue
		}
		t.refuse(field, k.team, "would leave %d of %d guaranteed %s of team %s without room",
			missing[k], g.Count, g.Shape, k.team)
	}
}

// changeWorkers cordons, drains or uncordons a worker, rack or domain.
func (t *trial) changeWorkers(field string, op model.Op) {
	found := false
	before := t.shortNow()
	for _, name := range t.s.sortedWorkers() {
		w := t.s.workers[name].model
		if !inScope(w, op.Scope, op.Name) {
			continue
		}
		found = true
		t.changeWorker(w, op.Kind)
	}
	if !found {
		t.refuse(field+".name", op.Name, "no worker lies in this %s", op.Scope)
		return
	}
	t.s.repair()
	t.explainShort(field+".name", nil, before)
}

func inScope(w model.Worker, scope model.Near, name string) bool {
	switch scope {
	case model.NearRack:
		return w.Rack == name
	case model.NearDomain:
		return w.Domain == name
	default:
		return w.Name == name
	}
}

func (t *trial) changeWorker(w model.Worker, kind model.OpKind) {
	if _, known := t.workerAt[w.Name]; !known {
		t.workerAt[w.Name] = w
	}
	if kind == model.OpUncordon {
		t.s.fleet.SetWorker(w.WithState(model.WorkerReady))
		return
	}
	t.s.fleet.SetWorker(w.WithState(model.WorkerCordoned))
	for u := range t.s.units[w.Name] {
		t.report.Touches = append(t.report.Touches, fmt.Sprintf("%s[%d] %s", u.team, u.index, u.shape))
	}
	if kind == model.OpDrain {
		for id, j := range t.s.on[w.Name] {
			if j.Stoppable && j.phase == placed {
				t.report.Preempts = append(t.report.Preempts, id)
			}
		}
	}
	t.s.evict(w.Name)
}
