package sched

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/place"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// CheckReport is the effect that a plan would have on jobs and guarantees.
type CheckReport struct {
	PreemptedJobs      []string             // jobs that would be stopped
	AffectedGuarantees []string             // guarantees that it changes or that are bound to workers that it changes
	Refusals           []model.Refusal      // reasons why it can't be carried out
	EarliestStarts     map[string]time.Time // earliest start of each submitted job
}

// dryRun applies operations one after the other and collects the report. The
// saved fields hold the state from before the dry run.
type dryRun struct {
	s                 *Sched
	now               time.Time
	report            CheckReport
	submitted         map[string]bool // ids of jobs submitted by earlier operations
	savedBindings     map[*guaranteeUnit][]place.Cell
	savedUnitOfJob    map[*job]*guaranteeUnit
	savedUnits        map[*team][]*guaranteeUnit
	savedTeams        map[*team]model.Team
	savedWorkers      map[string]model.Worker
	savedReservations map[string]*reservation
	createdTeams      []string // teams that the dry run has created
}

// Check reports the effect that the operations would have together. It applies
// them to the state and then restores the state.
func (s *Sched) Check(ops []model.Op, now time.Time) CheckReport {
	d := s.beginDryRun(now)
	for i, op := range ops {
		d.apply(fmt.Sprintf("ops[%d]", i), op)
	}
	d.undo()
	slices.Sort(d.report.PreemptedJobs)
	slices.Sort(d.report.AffectedGuarantees)
	d.report.PreemptedJobs = slices.Compact(d.report.PreemptedJobs)
	d.report.AffectedGuarantees = slices.Compact(d.report.AffectedGuarantees)
	return d.report
}

func (s *Sched) beginDryRun(now time.Time) *dryRun {
	d := &dryRun{
		s: s, now: now,
		report:            CheckReport{EarliestStarts: make(map[string]time.Time)},
		submitted:         make(map[string]bool),
		savedBindings:     make(map[*guaranteeUnit][]place.Cell),
		savedUnitOfJob:    make(map[*job]*guaranteeUnit),
		savedUnits:        make(map[*team][]*guaranteeUnit),
		savedTeams:        make(map[*team]model.Team),
		savedWorkers:      make(map[string]model.Worker),
		savedReservations: maps.Clone(s.reservations),
	}
	for _, t := range s.teams {
		d.savedUnits[t] = slices.Clone(t.units)
		d.savedTeams[t] = t.Team
		for _, u := range t.units {
			d.savedBindings[u] = u.binding
			for _, j := range u.jobs {
				d.savedUnitOfJob[j] = u
			}
		}
	}
	return d
}

// undo restores all bindings, reservations, teams and workers.
func (d *dryRun) undo() {
	s := d.s
	for _, w := range d.savedWorkers {
		s.fleet.SetWorker(w)
	}
	for _, t := range s.teams {
		for _, u := range t.units {
			if binding, known := d.savedBindings[u]; !known || !samePlacement(binding, u.binding) {
				s.unbind(u)
				delete(s.unboundUnits, u)
			}
		}
	}
	for t, units := range d.savedUnits {
		t.units, t.Team = units, d.savedTeams[t]
	}
	for u, placement := range d.savedBindings {
		switch {
		case placement == nil:
			s.unboundUnits[u] = true
		case !u.bound():
			s.bind(u, placement)
		}
	}
	for j, u := range d.savedUnitOfJob {
		if j.unit != u {
			s.attachToUnit(j, u)
		}
	}
	for id, r := range d.savedReservations {
		if s.reservations[id] == nil {
			s.reserve(r.job, r.placement, r.start)
		}
	}
	for _, name := range d.createdTeams {
		delete(s.teams, name)
	}
}

// refuse adds a refusal to the report.
func (d *dryRun) refuse(field string, value any, format string, args ...any) {
	d.report.Refusals = append(d.report.Refusals, model.Refusal{
		Field:  field,
		Value:  fmt.Sprint(value),
		Reason: fmt.Sprintf(format, args...),
	})
}

func (d *dryRun) apply(field string, op model.Op) {
	switch op.Kind {
	case model.OpSetTeam:
		if op.Team != nil {
			d.setTeam(field+".team", *op.Team)
		}
	case model.OpDropTeam:
		d.dropTeam(field+".name", op.Name)
	case model.OpSubmitJob:
		if op.Job != nil {
			d.checkSubmit(field+".job", *op.Job)
		}
	case model.OpCancelJob:
		if d.s.jobs[op.Name] == nil && !d.submitted[op.Name] {
			d.refuse(field+".name", op.Name, "no live job has this id")
		}
	case model.OpCordon, model.OpDrain, model.OpUncordon:
		d.changeWorkers(field, op)
	}
}

func (d *dryRun) ensureTeam(name string) *team {
	if _, ok := d.s.teams[name]; !ok {
		d.createdTeams = append(d.createdTeams, name)
	}
	return d.s.ensureTeam(name)
}

// setTeam replaces the team and binds its guarantees without giving up others.
func (d *dryRun) setTeam(field string, m model.Team) {
	invalid := false
	for i, g := range m.Guarantees {
		path := fmt.Sprintf("%s.guarantees[%d]", field, i)
		invalid = !d.checkCount(path, g) || !d.checkShape(path+".shape", g.Shape) || invalid
	}
	if m.Quota < 0 {
		d.refuse(field+".quota", m.Quota, "must not be negative")
		invalid = true
	}
	if invalid {
		return
	}
	alreadyUnbound := d.unboundUnits()
	t := d.ensureTeam(m.Name)
	if !slices.Equal(t.Guarantees, m.Guarantees) {
		d.reportGuarantees(t.Team)
		d.reportGuarantees(m)
	}
	t.Team = m
	d.s.removeUnits(t)
	d.s.addUnits(t)
	d.s.repair()
	d.refuseUnbound(field, t, alreadyUnbound)
}

func (d *dryRun) checkCount(field string, g model.Guarantee) bool {
	if g.Count < 0 {
		d.refuse(field+".count", g.Count, "must not be negative")
		return false
	}
	workers := d.s.fleet.Len()
	if g.Count > 0 && g.Shape.Members > 0 && g.Count > workers*maxPerWorker/g.Shape.Members {
		d.refuse(field+".count", g.Count, "more than %d workers can hold at %d members each", workers, g.Shape.Members)
		return false
	}
	return true
}

// reportGuarantees adds all guarantees of the team to the report.
func (d *dryRun) reportGuarantees(m model.Team) {
	for i, g := range m.Guarantees {
		d.report.AffectedGuarantees = append(d.report.AffectedGuarantees, fmt.Sprintf("%s[%d] %s", m.Name, i, g.Shape))
	}
}

func (d *dryRun) dropTeam(field, name string) {
	t, ok := d.s.teams[name]
	if !ok {
		d.refuse(field, name, "no team has this name")
		return
	}
	d.reportGuarantees(t.Team)
	t.Team = model.Team{Name: name}
	d.s.removeUnits(t)
}

// unboundUnits returns a copy of the set of unbound units.
func (d *dryRun) unboundUnits() map[*guaranteeUnit]bool {
	unbound := make(map[*guaranteeUnit]bool, len(d.s.unboundUnits))
	for u := range d.s.unboundUnits {
		unbound[u] = true
	}
	return unbound
}

// refuseUnbound refuses an operation that left units unbound that were bound
// before, with the numbers per guarantee.
func (d *dryRun) refuseUnbound(field string, t *team, alreadyUnbound map[*guaranteeUnit]bool) {
	type key struct {
		team  string
		index int
	}
	missing := make(map[key]int)
	var order []key
	for _, u := range sortedUnits(d.s.unboundUnits) {
		if alreadyUnbound[u] {
			continue
		}
		k := key{u.team, u.guaranteeIndex}
		if missing[k] == 0 {
			order = append(order, k)
		}
		missing[k]++
	}
	for _, k := range order {
		g := d.s.teams[k.team].Guarantees[k.index]
		if t != nil && k.team == t.Name {
			d.refuse(fmt.Sprintf("%s.guarantees[%d].count", field, k.index), g.Count,
				"the fleet can hold %d of %d times %s beside all other guarantees and the unstoppable work that runs",
				g.Count-missing[k], g.Count, g.Shape)
			continue
		}
		d.refuse(field, k.team, "would leave %d of %d guaranteed %s of team %s without room",
			missing[k], g.Count, g.Shape, k.team)
	}
}

// changeWorkers cordons, drains or uncordons a worker, rack or domain.
func (d *dryRun) changeWorkers(field string, op model.Op) {
	found := false
	alreadyUnbound := d.unboundUnits()
	for _, name := range d.s.sortedWorkers() {
		w := d.s.workers[name].model
		if !inScope(w, op.Scope, op.Name) {
			continue
		}
		found = true
		d.changeWorker(w, op.Kind)
	}
	if !found {
		d.refuse(field+".name", op.Name, "no worker lies in this %s", op.Scope)
		return
	}
	d.s.repair()
	d.refuseUnbound(field+".name", nil, alreadyUnbound)
}

func inScope(w model.Worker, scope model.Proximity, name string) bool {
	switch scope {
	case model.ProximityRack:
		return w.Rack == name
	case model.ProximityDomain:
		return w.Domain == name
	default:
		return w.Name == name
	}
}

// changeWorker changes the state of one worker and reports the guarantees and
// jobs that this affects.
func (d *dryRun) changeWorker(w model.Worker, kind model.OpKind) {
	if _, known := d.savedWorkers[w.Name]; !known {
		d.savedWorkers[w.Name] = w
	}
	if kind == model.OpUncordon {
		d.s.fleet.SetWorker(w.WithState(model.WorkerReady))
		return
	}
	d.s.fleet.SetWorker(w.WithState(model.WorkerCordoned))
	for u := range d.s.unitsByWorker[w.Name] {
		d.report.AffectedGuarantees = append(d.report.AffectedGuarantees, fmt.Sprintf("%s[%d] %s", u.team, u.guaranteeIndex, u.shape))
	}
	if kind == model.OpDrain {
		for id, j := range d.s.jobsByWorker[w.Name] {
			if j.Stoppable && j.phase == placed {
				d.report.PreemptedJobs = append(d.report.PreemptedJobs, id)
			}
		}
	}
	d.s.moveBindings(w.Name)
}
