// Package sched makes the scheduling decisions for jobs: which gang starts on
// which workers, which work is stopped so that a team can use its guarantee,
// which workers are quarantined and which jobs can't run. It does no I/O and
// reads no clock: committed state and the time are arguments, decisions are
// results. The caller commits a decision and passes the new state back.
//
// Each copy of a guaranteed shape is a unit. A unit is bound to specific
// workers for as long as the fleet has room for it. Bound units and unstoppable
// work outside of units never exceed the capacity of a worker, so all other
// work on it can be stopped. The bindings therefore prove that every guarantee
// can be reclaimed.
//
// Work that runs outside the guarantees of its team is borrowed. A claimed job
// has been given a placement, but waits for work to stop there. A reservation
// sets capacity aside for a gang that has waited for long.
package sched
