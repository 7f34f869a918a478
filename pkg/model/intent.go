package model

import "time"

// OpKind names what one operation of an intent changes.
type OpKind string

// The operations of an intent.
const (
	OpSetTeam     OpKind = "set-team"
	OpDropTeam    OpKind = "drop-team"
	OpSetService  OpKind = "set-service"
	OpDropService OpKind = "drop-service"
	OpSubmitJob   OpKind = "submit-job"
	OpCancelJob   OpKind = "cancel-job"
	OpCordon      OpKind = "cordon"
	OpDrain       OpKind = "drain"
	OpUncordon    OpKind = "uncordon"
)

// Op is one operation of an intent. Only the field that its kind needs is set.
type Op struct {
	Kind    OpKind   `json:"kind"`
	Team    *Team    `json:"team,omitempty"`
	Service *Service `json:"service,omitempty"`
	Job     *Job     `json:"job,omitempty"`
	Name    string   `json:"name,omitempty"`  // team, service or job to drop or cancel
	Scope   Proximity     `json:"scope,omitempty"` // what Name is for cordon, drain and uncordon: worker, rack or domain
}

// Intent states what an operator wants. The id is chosen by the operator and
// scoped to the operator: a resend with the same content gets the same plan.
type Intent struct {
	ID       string `json:"id"`
	Operator string `json:"operator"`
	BaseRevision     uint64 `json:"base,omitempty"` // revision that the operator looked at; 0 means the latest
	DryRun   bool   `json:"dryrun,omitempty"`
	Ops      []Op   `json:"ops"`
}

// Change is one difference that a plan would make.
type Change struct {
	Subject   string `json:"what"` // for example "team linen"
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// Refusal is one reason for which an intent can't be carried out.
type Refusal struct {
	Field  string `json:"field"` // for example "ops[0].team.guarantees[1].count"
	Value  string `json:"value,omitempty"`
	Reason string `json:"reason"`
}

// PlanState is where a plan stands.
type PlanState string

// The states of a plan.
const (
	PlanOpen      PlanState = "open"      // waits to be confirmed
	PlanConfirmed PlanState = "confirmed" // its changes are committed
	PlanRefused   PlanState = "refused"   // can't be carried out; see its refusals
	PlanConflict  PlanState = "conflict"  // another change came first
	PlanExpired   PlanState = "expired"   // not confirmed before its deadline
)

// Plan is the system's answer to an intent. Nothing changes until it is
// confirmed at the base revision that it names.
type Plan struct {
	ID       string    `json:"id"`
	Intent   string    `json:"intent"`
	Operator string    `json:"operator"`
	State    PlanState `json:"state"`
	BaseRevision     uint64    `json:"base"`               // revision that it was made against
	Revision uint64    `json:"revision,omitempty"` // revision that it made, once confirmed
	Deadline time.Time `json:"deadline"`           // when it expires unless confirmed
	Changes  []Change  `json:"changes,omitempty"`
	PreemptedJobs []string  `json:"preempts,omitempty"` // ids of jobs that would be stopped
	AffectedGuarantees  []string  `json:"touches,omitempty"`  // guarantees that it touches
	Refusals []Refusal `json:"refusals,omitempty"`
}
