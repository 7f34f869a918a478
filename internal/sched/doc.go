// Package sched takes the decisions about jobs: which gang starts where, what
// is stopped so that a team's guarantee can be claimed, which workers are
// quarantined and which jobs can't run. It is pure: committed state and the
// time come in as arguments, decisions go out. The caller commits a decision
// and feeds the result back.
//
// Every guaranteed shape is a unit that is bound to concrete workers at all
// times. Bound units and unstoppable work outside of units never add up to
// more than a worker has, so whatever else runs there can be stopped: the
// bindings are the witness that every guarantee can be reclaimed.
package sched
