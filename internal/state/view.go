package state

import (
	"iter"

	"github.com/knapweedlug/knapweedlug/internal/conf"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// View is the state at one log index. It is immutable and can be read without
// locks. Values returned by its methods must not be modified.
type View struct {
	data *data
}

// Index returns the log index of the last command applied.
func (v View) Index() uint64 { return v.data.index }

// Term returns the highest leader term among the commands applied.
func (v View) Term() uint64 { return v.data.term }

// FleetIndex returns the log index of the last change that reduced the available
// capacity: a placement, the loss or removal of a worker, or a change of
// guarantees. A command that was decided on this view carries the index.
func (v View) FleetIndex() uint64 { return v.data.fleetIndex }

// Config returns the configuration in force.
func (v View) Config() conf.Config { return v.data.config }

// Revision returns the configuration's revision.
func (v View) Revision() uint64 { return v.data.config.Revision() }

// Worker returns the worker with this name.
func (v View) Worker(name string) (Worker, bool) { return deref(v.data.workers.get(name)) }

// Workers yields all workers, ordered by name.
func (v View) Workers() iter.Seq[*Worker] { return values(v.data.workers) }

// Job returns the job with this id.
func (v View) Job(id string) (Job, bool) { return deref(v.data.jobs.get(id)) }

// Jobs yields all stored jobs, including ended ones, ordered by id.
func (v View) Jobs() iter.Seq[*Job] { return values(v.data.jobs) }

// LiveJobs yields the jobs that haven't ended, ordered by id.
func (v View) LiveJobs() iter.Seq[*Job] {
	return func(yield func(*Job) bool) {
		for id := range v.data.liveJobs.all() {
			j, _ := v.data.jobs.get(id)
			if !yield(j) {
				return
			}
		}
	}
}

// Plan returns the plan with this id.
func (v View) Plan(id string) (model.Plan, bool) {
	rec, ok := v.data.plans.get(id)
	if !ok {
		return model.Plan{}, false
	}
	return rec.Plan, true
}

// PlanForIntent returns the plan for an operator's intent.
func (v View) PlanForIntent(operator, intent string) (model.Plan, bool) {
	id, ok := v.data.intents.get(intentKey(operator, intent))
	if !ok {
		return model.Plan{}, false
	}
	return v.Plan(id)
}

// Claim returns the claim on a team's request key.
func (v View) Claim(team, key string) (Claim, bool) {
	return deref(v.data.claims.get(claimKey(team, key)))
}

// Counts holds the number of records in the state.
type Counts struct {
	Revisions      int `json:"revisions"`
	Workers        int `json:"workers"`
	Jobs           int `json:"jobs"`
	LiveJobs       int `json:"live"` // jobs that haven't ended
	Plans          int `json:"plans"`
	Claims         int `json:"claims"`
	ClaimsInFlight int `json:"flight"` // claims without an outcome
	Deadlines      int `json:"due"`    // deadlines of records and open plans
}

// Counts returns the number of records in the state.
func (v View) Counts() Counts {
	d := v.data
	return Counts{
		Revisions: d.history.size(), Workers: d.workers.size(), Jobs: d.jobs.size(),
		LiveJobs: d.liveJobs.size(), Plans: d.plans.size(), Claims: d.claims.size(), ClaimsInFlight: d.inFlight.size(), Deadlines: d.deadlines.size(),
	}
}

func deref[T any](p *T, ok bool) (T, bool) {
	if !ok {
		var zero T
		return zero, false
	}
	return *p, true
}

func values[V any](t table[string, V]) iter.Seq[V] {
	return func(yield func(V) bool) {
		for _, v := range t.all() {
			if !yield(v) {
				return
			}
		}
	}
}
