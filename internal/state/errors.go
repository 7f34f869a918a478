package state

import "github.com/cockroachdb/errors"

// Errors that a Result carries. Callers test them with errors.Is.
var (
	// ErrBadCommand says that a command can't be decoded, lacks a field or holds
	// an invalid value.
	ErrBadCommand = errors.New("malformed command")
	// ErrApplied says that the log index has been applied before.
	ErrApplied = errors.New("log index was applied before")
	// ErrFenced says that the term or the epoch isn't the current one.
	ErrFenced = errors.New("term or epoch is not current")
	// ErrSuperseded says that the fleet changed after the leader made its
	// decision; the leader has to decide and propose again.
	ErrSuperseded = errors.New("fleet changed since the decision was made")
	// ErrNotFound says that the named object doesn't exist.
	ErrNotFound = errors.New("not found")
	// ErrBadState says that the object's state doesn't allow the command.
	ErrBadState = errors.New("state does not allow this")
	// ErrRefused says that the input was refused; the refusals say why.
	ErrRefused = errors.New("refused")
	// ErrIntentReused says that the operator's intent id was used before with
	// other content.
	ErrIntentReused = errors.New("intent id was used with other content")
	// ErrConflict says that a conflicting change was committed first.
	ErrConflict = errors.New("another change came first")
	// ErrExpired says that the plan wasn't confirmed before its deadline.
	ErrExpired = errors.New("plan has expired")
	// ErrKeyReused says that a request key was used before with another body.
	ErrKeyReused = errors.New("request key was used with another body")
	// ErrSettled says that the outcome of the claim is already recorded.
	ErrSettled = errors.New("claim is settled")
	// ErrVersion says that a snapshot or command has a newer version than this
	// program supports. After such a command the state machine applies no more
	// commands, since its state would diverge from that of the other replicas.
	ErrVersion = errors.New("version is newer than this program")
	// ErrCorrupt says that a snapshot is truncated or damaged.
	ErrCorrupt = errors.New("snapshot is damaged")
)
