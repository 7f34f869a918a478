// Package replog is a replicated log: a few replicas agree on one sequence of
// commands and apply them to their state machines in that order. It holds the
// protocol, which is free of input and output, and the Node that drives it
// with a disk, a transport and a clock.
//
// A command counts once a majority of the voters hold it on disk. See
// docs/notes/replog.md for the protocol and what was weighed.
package replog

import (
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedlug/knapweedlug/internal/wire"
)

var (
	// ErrNotLeader means that another replica, or none, is the leader. The
	// request was not carried out.
	ErrNotLeader = errors.New("this replica is not the leader")
	// ErrUnknown means that leadership was lost after a command was appended:
	// it may or may not be committed later.
	ErrUnknown = errors.New("outcome unknown: leadership was lost")
	// ErrBusy means that too many bytes wait for commit. The request was not
	// carried out and may be repeated.
	ErrBusy = errors.New("too many commands wait for commit")
	// ErrTooLarge means that a command is over the bound on its size.
	ErrTooLarge = errors.New("command is too large")
	// ErrDiskFull means that the leader's disk takes no more writes.
	ErrDiskFull = errors.New("disk of the leader is full")
	// ErrChangePending means that an earlier change of membership is not
	// committed yet, or that the leader is too new to make one.
	ErrChangePending = errors.New("a change of membership is under way")
	// ErrNotCaughtUp means that a learner lacks committed entries.
	ErrNotCaughtUp = errors.New("the learner has not caught up")
	// ErrNoReplica means that no replica of that name is known.
	ErrNoReplica = errors.New("no such replica")
	// ErrAmbiguous means that a name stands for two members, an old one and its
	// replacement; name the incarnation instead.
	ErrAmbiguous = errors.New("the name stands for two members")
	// ErrMember means that the replica is a member already.
	ErrMember = errors.New("the replica is already a member")
	// ErrQuorum means that after the change too few voters would be in reach.
	ErrQuorum = errors.New("the change would leave no quorum in reach")
	// ErrStopped means that the node has ended.
	ErrStopped = errors.New("the node has stopped")
	// ErrOptions means that the options are not usable.
	ErrOptions = errors.New("invalid options")
)

// NotLeaderError names the leader. It is an ErrNotLeader.
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

// Is tells that a NotLeaderError is an ErrNotLeader.
func (e *NotLeaderError) Is(target error) bool { return target == ErrNotLeader }

// Machine is the state machine that committed commands are applied to. Its
// methods are called from one goroutine at a time, except that the function
// which Snapshot returns runs beside later calls.
type Machine interface {
	// Apply must be deterministic. Its result is handed to the proposer.
	Apply(index uint64, cmd []byte) any
	// Snapshot captures the state cheaply; the function writes it out.
	Snapshot() (func(w io.Writer) error, error)
	// Restore replaces the state by a snapshot's.
	Restore(r io.Reader) error
}

// Transport sends messages to peers by name. Send must not block, and may
// drop, reorder or duplicate messages.
type Transport interface {
	Send(to string, m *wire.LogMessage)
}

// Clock tells the time. The protocol uses only differences of its monotonic
// part, so steps of the wall clock don't matter.
type Clock interface {
	Now() time.Time
}

// Peer is a replica as the settings know it.
type Peer struct {
	Name string `json:"name"`
}

// Defaults of Options.
const (
	DefaultHeartbeat       = 100 * time.Millisecond
	DefaultElection        = 600 * time.Millisecond
	DefaultClockDrift      = 0.05
	DefaultMaxCommandBytes = 1 << 20
	DefaultMaxQueueBytes   = 8 << 20
	DefaultInflightBytes   = 1 << 20
	DefaultAppendBytes     = 256 << 10
	DefaultChunkBytes      = 256 << 10
	DefaultSnapshotBytes   = 8 << 20
	DefaultTailBytes       = 1 << 20
)

// Options are the settings of a Node. Zero values stand for the defaults.
type Options struct {
	// Name is this replica's name, under which peers reach it.
	Name string
	// Cluster is the name of the cluster.
	Cluster string
	// Voters are the members that a cluster begins with. All of them must be
	// in reach once to form it. Later they are where a replica that is not a
	// member announces itself.
	Voters []Peer

	// First tells that the whole cluster starts for the first time. A replica that
	// finds no place then is a spare.
	First bool

	// Heartbeat is the interval of a leader's heartbeats.
	Heartbeat time.Duration
	// Election is the least time without a leader before a new election. The
	// actual time is random, up to twice that.
	Election time.Duration
	// ClockDrift bounds the rate error of any clock: 0.05 is 5 %.
	ClockDrift float64

	MaxCommandBytes int // bound on one command
	MaxQueueBytes   int // bound on the bytes that wait for commit
	InflightBytes   int // bound on the unacknowledged bytes to each peer
	AppendBytes     int // entries in one message
	ChunkBytes      int // snapshot data in one message
	SnapshotBytes   int // log growth after which a snapshot is taken
	TailBytes       int // log kept before a snapshot, for peers that lag a little

	// Clock defaults to the system's.
	Clock Clock
	// Seed of the random election timeouts; it should differ between replicas.
	Seed uint64
}

// WithDefaults returns the options with zero values replaced.
func (o Options) WithDefaults() Options {
	setDefault(&o.Heartbeat, DefaultHeartbeat)
	setDefault(&o.Election, DefaultElection)
	setDefault(&o.ClockDrift, DefaultClockDrift)
	setDefault(&o.MaxCommandBytes, DefaultMaxCommandBytes)
	setDefault(&o.MaxQueueBytes, DefaultMaxQueueBytes)
	setDefault(&o.InflightBytes, DefaultInflightBytes)
	setDefault(&o.AppendBytes, DefaultAppendBytes)
	setDefault(&o.ChunkBytes, DefaultChunkBytes)
	setDefault(&o.SnapshotBytes, DefaultSnapshotBytes)
	setDefault(&o.TailBytes, DefaultTailBytes)
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

// Validate returns the first fault found, an ErrOptions that names the field.
func (o Options) Validate() error {
	switch {
	case o.Name == "":
		return errors.Wrap(ErrOptions, "name: empty")
	case o.Cluster == "":
		return errors.Wrap(ErrOptions, "cluster: empty")
	case len(o.Voters) == 0:
		return errors.Wrap(ErrOptions, "voters: empty")
	case o.Heartbeat <= 0 || o.Election < 3*o.Heartbeat:
		return errors.Wrapf(ErrOptions, "election: %v is under three times the heartbeat of %v", o.Election, o.Heartbeat)
	case o.ClockDrift < 0 || o.ClockDrift > maxClockDrift:
		return errors.Wrapf(ErrOptions, "clockDrift: %v is not between 0 and %v", o.ClockDrift, maxClockDrift)
	}
	seen := make(map[string]int)
	for i, p := range o.Voters {
		if p.Name == "" {
			return errors.Wrapf(ErrOptions, "voters[%d].name: empty", i)
		}
		if j, ok := seen[p.Name]; ok {
			return errors.Wrapf(ErrOptions, "voters[%d].name: %q is named by voters[%d] already", i, p.Name, j)
		}
		seen[p.Name] = i
	}
	return nil
}

const maxClockDrift = 0.25

// leaseTime is how long a leader may answer reads after it sent a heartbeat
// that a majority acknowledged. A follower elects nobody else for Election on
// its own clock; both clocks may be off, one slow and one fast.
func (o Options) leaseTime() time.Duration {
	return time.Duration(float64(o.Election) * (1 - o.ClockDrift) / (1 + o.ClockDrift))
}
