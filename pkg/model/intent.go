package model

import "time"

// OpKind is the kind of an operation of an intent.
type OpKind string

// The kinds of operations.
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

// Op is one operation of an intent. Only the fields that its kind needs are set.
type Op struct {
	Kind    OpKind    `json:"kind"`
	Team    *Team     `json:"team,omitempty"`
	Service *Service  `json:"service,omitempty"`
	Job     *Job      `json:"job,omitempty"`
	Name    string    `json:"name,omitempty"`  // team, service or job to drop or cancel
	Scope   Proximity `json:"scope,omitempty"` // whether Name is a worker, rack or domain; for cordon, drain and uncordon
}

// Intent states what an operator wants. The id is chosen by the operator and
// unique per operator: sending the same intent again returns the same plan.
type Intent struct {
	ID           string `json:"id"`
	Operator     string `json:"operator"`
	BaseRevision uint64 `json:"base,omitempty"`   // revision that the intent is based on; 0 means the latest
	DryRun       bool   `json:"dryrun,omitempty"` // the plan is returned but not stored
	Ops          []Op   `json:"ops"`
}

// Change is one difference that a plan would make.
type Change struct {
	Subject string `json:"what"`             // object that changes, for example "team linen"
	Before  string `json:"before,omitempty"` // empty if the object is created
	After   string `json:"after,omitempty"`  // empty if the object is removed
}

// Refusal is one reason why an intent can't be carried out.
type Refusal struct {
	Field  string `json:"field"` // path of the field at fault, for example "ops[0].team.guarantees[1].count"
	Value  string `json:"value,omitempty"`
	Reason string `json:"reason"`
}

// PlanState is the state of a plan.
type PlanState string

// The states of a plan.
const (
	PlanOpen      PlanState = "open"      // waits for its confirmation
	PlanConfirmed PlanState = "confirmed" // its changes are committed
	PlanRefused   PlanState = "refused"   // can't be carried out; see its refusals
	PlanConflict  PlanState = "conflict"  // another change was committed after its base revision
	PlanExpired   PlanState = "expired"   // not confirmed before its deadline
)

// Plan lists what an intent would change. Nothing changes until the plan is
// confirmed, and it can only be confirmed at its base revision.
type Plan struct {
	ID                 string    `json:"id"`
	Intent             string    `json:"intent"`
	Operator           string    `json:"operator"`
	State              PlanState `json:"state"`
	BaseRevision       uint64    `json:"base"`               // revision that it was computed from
	Revision           uint64    `json:"revision,omitempty"` // revision that its confirmation created
	Deadline           time.Time `json:"deadline"`           // when it expires unless confirmed
	Changes            []Change  `json:"changes,omitempty"`
	PreemptedJobs      []string  `json:"preempts,omitempty"` // ids of jobs that would be stopped
	AffectedGuarantees []string  `json:"touches,omitempty"`  // guarantees that it affects
	Refusals           []Refusal `json:"refusals,omitempty"`
}
