// Package replog implements a replicated log based on Raft: a few replicas
// agree on one sequence of commands and apply them to their state machines in
// that order. The protocol itself does no I/O; Node runs it with a disk, a
// transport and a clock.
//
// A command is committed once a majority of the voters hold it on disk. See
// docs/notes/replog.md for the protocol and its design decisions.
package replog

import (
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedlug/knapweedlug/internal/wire"
)

var (
	// ErrNotLeader means that this replica is not the leader. The request was
	// not carried out.
	ErrNotLeader = errors.New("this replica is not the leader")
	// ErrOutcomeUnknown means that leadership was lost after a command was appended.
	// The command may or may not be committed later.
	ErrOutcomeUnknown = errors.New("outcome unknown: leadership was lost")
	// ErrBusy means that too many bytes are waiting for commit. The request was
	// not carried out and may be retried.
	ErrBusy = errors.New("too many commands wait for commit")
	// ErrTooLarge means that a command exceeds the size limit.
	ErrTooLarge = errors.New("command is too large")
	// ErrDiskFull means that the leader's disk is full.
	ErrDiskFull = errors.New("disk of the leader is full")
	// ErrChangePending means that an earlier membership change is not committed
	// yet, that the leader has not committed an entry of its own term yet, or
	// that it doesn't hold its lease.
	ErrChangePending = errors.New("a change of membership is under way")
	// ErrNotCaughtUp means that a learner lacks committed entries.
	ErrNotCaughtUp = errors.New("the learner has not caught up")
	// ErrNoReplica means that no replica with that name is known.
	ErrNoReplica = errors.New("no such replica")
	// ErrAmbiguous means that two members share the given name, an old one and
	// its replacement. Give the incarnation instead.
	ErrAmbiguous = errors.New("the name stands for two members")
	// ErrAlreadyMember means that the replica is already a member.
	ErrAlreadyMember = errors.New("the replica is already a member")
	// ErrNoQuorum means that after the change the reachable voters would be fewer
	// than a quorum.
	ErrNoQuorum = errors.New("the change would leave no quorum in reach")
	// ErrStopped means that the node has stopped.
	ErrStopped = errors.New("the node has stopped")
	// ErrInvalidOptions means that the options are invalid.
	ErrInvalidOptions = errors.New("invalid options")
)

// NotLeaderError is an ErrNotLeader that names the current leader.
type NotLeaderError struct {
	Leader string // name of the leader, empty if none is known
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return ErrNotLeader.Error() + "; no leader is known"
	}
	return fmt.Sprintf("%v; the leader is %s", ErrNotLeader, e.Leader)
}

// Is reports whether target is ErrNotLeader.
func (e *NotLeaderError) Is(target error) bool { return target == ErrNotLeader }

// StateMachine is the state machine that committed commands are applied to. Its
// methods are called by one goroutine at a time, but the function that
// Snapshot returns may run concurrently with later calls.
type StateMachine interface {
	// Apply executes a command. It must be deterministic. Its result is
	// returned to the proposer.
	Apply(index uint64, cmd []byte) any
	// Snapshot captures the state without blocking for long. The function that
	// it returns writes the captured state.
	Snapshot() (func(w io.Writer) error, error)
	// Restore replaces the state with that of a snapshot.
	Restore(r io.Reader) error
}

// Transport sends messages to peers, which are identified by name. Send must
// not block. It may drop, reorder or duplicate messages.
type Transport interface {
	Send(to string, m *wire.LogMessage)
}

// Clock tells the current time. The protocol uses only differences of its
// monotonic part, so jumps of the wall clock have no effect.
type Clock interface {
	Now() time.Time
}

// Peer is a replica that the settings name as an initial voter.
type Peer struct {
	Name string `json:"name"`
}

// Default values of Options.
const (
	DefaultHeartbeatInterval      = 100 * time.Millisecond
	DefaultElectionTimeout        = 600 * time.Millisecond
	DefaultClockDrift             = 0.05
	DefaultMaxCommandBytes        = 1 << 20
	DefaultMaxQueueBytes          = 8 << 20
	DefaultMaxInflightBytes       = 1 << 20
	DefaultMaxAppendBytes         = 256 << 10
	DefaultChunkBytes             = 256 << 10
	DefaultSnapshotThresholdBytes = 8 << 20
	DefaultTrailingLogBytes       = 1 << 20
)

// Options are the settings of a Node. A zero value selects the default.
type Options struct {
	// Name is the name under which peers reach this replica.
	Name string
	// Cluster is the name of the cluster.
	Cluster string
	// Voters are the initial members of the cluster. All of them must be
	// reachable at the same time once to form it. Later, a replica that is not
	// a member announces itself to them.
	Voters []Peer

	// FirstStart is set when the whole cluster starts for the first time. A replica
	// that doesn't become a member then is a spare.
	FirstStart bool

	// HeartbeatInterval is the interval of a leader's heartbeats.
	HeartbeatInterval time.Duration
	// ElectionTimeout is the minimum election timeout. The actual timeout is random,
	// between this value and twice this value.
	ElectionTimeout time.Duration
	// ClockDrift is the maximum rate error of any replica's clock: 0.05 is 5 %.
	ClockDrift float64

	MaxCommandBytes        int // maximum size of one command
	MaxQueueBytes          int // maximum bytes of proposals that wait for commit
	MaxInflightBytes       int // maximum unacknowledged bytes for each peer
	MaxAppendBytes         int // maximum bytes of entries in one message
	ChunkBytes             int // maximum bytes of snapshot data in one message
	SnapshotThresholdBytes int // log growth after which a snapshot is taken
	TrailingLogBytes       int // log kept before a snapshot, so that a slightly lagging peer needs no snapshot

	// Memory is how many bytes this process may use, 0 if that isn't known. The
	// other replicas are told.
	Memory int64

	// Clock defaults to the system clock.
	Clock Clock
	// Seed seeds the random election timeouts. It should differ between
	// replicas.
	Seed uint64
}

// WithDefaults returns the options with zero values replaced by the defaults.
func (o Options) WithDefaults() Options {
	setDefault(&o.HeartbeatInterval, DefaultHeartbeatInterval)
	setDefault(&o.ElectionTimeout, DefaultElectionTimeout)
	setDefault(&o.ClockDrift, DefaultClockDrift)
	setDefault(&o.MaxCommandBytes, DefaultMaxCommandBytes)
	setDefault(&o.MaxQueueBytes, DefaultMaxQueueBytes)
	setDefault(&o.MaxInflightBytes, DefaultMaxInflightBytes)
	setDefault(&o.MaxAppendBytes, DefaultMaxAppendBytes)
	setDefault(&o.ChunkBytes, DefaultChunkBytes)
	setDefault(&o.SnapshotThresholdBytes, DefaultSnapshotThresholdBytes)
	setDefault(&o.TrailingLogBytes, DefaultTrailingLogBytes)
	if o.Clock == nil {
		o.Clock = systemClock{}
	}
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

// Validate returns an ErrInvalidOptions that names the first invalid field.
func (o Options) Validate() error {
	switch {
	case o.Name == "":
		return errors.Wrap(ErrInvalidOptions, "name: empty")
	case o.Cluster == "":
		return errors.Wrap(ErrInvalidOptions, "cluster: empty")
	case len(o.Voters) == 0:
		return errors.Wrap(ErrInvalidOptions, "voters: empty")
	case o.HeartbeatInterval <= 0 || o.ElectionTimeout < 3*o.HeartbeatInterval:
		return errors.Wrapf(ErrInvalidOptions, "election: %v is less than three times the heartbeat interval %v", o.ElectionTimeout, o.HeartbeatInterval)
	case o.ClockDrift < 0 || o.ClockDrift > maxClockDrift:
		return errors.Wrapf(ErrInvalidOptions, "clockDrift: %v is not between 0 and %v", o.ClockDrift, maxClockDrift)
	}
	seen := make(map[string]int)
	for i, p := range o.Voters {
		if p.Name == "" {
			return errors.Wrapf(ErrInvalidOptions, "voters[%d].name: empty", i)
		}
		if j, ok := seen[p.Name]; ok {
			return errors.Wrapf(ErrInvalidOptions, "voters[%d].name: %q duplicates voters[%d]", i, p.Name, j)
		}
		seen[p.Name] = i
	}
	return nil
}

// maxClockDrift is the maximum of Options.ClockDrift. With it, the lease is 60 % of
// the election timeout.
const maxClockDrift = 0.25

// leaseTime returns how long a leader may answer reads after it sent a
// heartbeat that a majority acknowledged. A follower votes for no other
// replica for an election timeout on its own clock. The lease is shorter by
// ClockDrift because one of the two clocks may run slow and the other fast.
func (o Options) leaseTime() time.Duration {
	return time.Duration(float64(o.ElectionTimeout) * (1 - o.ClockDrift) / (1 + o.ClockDrift))
}
