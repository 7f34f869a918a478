// Package state is the deterministic state machine on the replicated log. It
// holds configuration revisions, workers, jobs with their fencing epochs,
// claims of non-idempotent requests, and intents with their plans.
//
// Commands are applied in log order and give the same state and the same
// results on every replica. Apply reads no clock: each command carries the
// leader's time. Readers use a View, an immutable copy that takes constant time
// to make, whatever the size of the state.
package state
