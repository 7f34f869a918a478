// Package state is the deterministic state machine on the replicated log. It
// holds configuration revisions, workers, jobs with their fencing epochs,
// claims of non-idempotent requests, and intents with their plans.
//
// Commands change it, in log order; equal commands give equal states and equal
// results on every replica. Apply reads no clock: each command carries the
// leader's time. Readers work on a View, an immutable capture that costs the
// same whatever the state's size.
package state
