package jobctl

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"github.com/knapweedlug/knapweedlug/internal/guard"
	"github.com/knapweedlug/knapweedlug/internal/wire"
)

const (
	// intakeShare is one over the part of the memory that calls may take which are being carried out: small ones, and
	// large ones as much.
	intakeShare = 8
	// waitingShare is the same of calls that wait for that: what has arrived of them is buffered.
	waitingShare = 8
	// bufferCost is what a byte costs that has arrived in a stream: its buffer doubles.
	bufferCost = 2
	// callCost is what a byte of a call costs: it is buffered, read, decoded, encoded as a command, and sent to the
	// replicas.
	callCost = 8
	// maxUnreserved is up to what size in bytes the body of a call is sent without asking whether there is room.
	maxUnreserved = 4 << 10
	// smallCall is the size in bytes of the largest call that is sent without asking, with the key and path of its head.
	smallCall = maxUnreserved + 32<<10
	// minCallBytes is what a call takes whatever its size: its stream and its goroutine.
	minCallBytes = 16 << 10
	// maxIntakeWait is how long a call waits. It is well below the time after which entries take the leader for lost.
	maxIntakeWait = 300 * time.Millisecond
)

var errBusy = &wire.RemoteError{Code: wire.CodeBusy, Text: "too many calls in progress"}

// intake bounds what calls from other processes take. Each entry bounds those of its own callers, but there may be many
// entries.
type intake struct {
	small   *guard.Room // calls that are being carried out
	large   *guard.Room
	waiting *guard.Room
	refused tally.Counter
}

func newIntake(memory int64, refused tally.Counter) *intake {
	memory = assumedMemory(memory)
	return &intake{
		small: guard.NewRoom(memory / intakeShare), large: guard.NewRoom(memory / intakeShare),
		waiting: guard.NewRoom(memory / waitingShare), refused: refused,
	}
}

// acquire waits for the room for a call of n bytes, of which buffered have arrived. It is refused at once if too many
// wait. Small calls don't wait for large ones.
func (i *intake) acquire(ctx context.Context, n, buffered int) (release func(), err error) {
	stopWaiting, ok := i.waiting.TryAcquire(max(int64(buffered)*bufferCost, minCallBytes))
	if !ok {
		i.refused.Inc(1)
		return nil, errBusy
	}
	defer stopWaiting()
	ctx, cancel := context.WithTimeout(ctx, maxIntakeWait)
	defer cancel()
	room := i.large
	if n <= smallCall {
		room = i.small
	}
	if release, err = room.Acquire(ctx, max(int64(n)*callCost, minCallBytes)); err != nil {
		i.refused.Inc(1)
		return nil, errBusy
	}
	return release, nil
}

// sentLimiter is a wire.Limiter for calls that are sent at once.
type sentLimiter struct{ *intake }

// Acquire implements wire.Limiter.
func (l sentLimiter) Acquire(ctx context.Context, n int) (release func(), err error) {
	return l.acquire(ctx, n, n)
}

// reservedLimiter is a wire.Limiter for calls that are sent when there is room for them.
type reservedLimiter struct{ *intake }

// Acquire implements wire.Limiter.
func (l reservedLimiter) Acquire(ctx context.Context, n int) (release func(), err error) {
	return l.acquire(ctx, n, 0)
}

// CallLeader calls the leader at the other end of a session. A large call is sent when the leader has room for it.
func CallLeader(ctx context.Context, s *wire.Session, req *wire.JobCall) (*wire.JobReply, error) {
	rep := &wire.JobReply{}
	if len(req.Body) > maxUnreserved {
		err := s.CallReserved(ctx, wire.MethodReservedJob, req, rep)
		if !errors.Is(err, wire.ErrMethod) {
			return rep, err
		}
		// A control process of an earlier release.
	}
	return rep, s.Call(ctx, wire.MethodJob, req, rep)
}
