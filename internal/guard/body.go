package guard

import (
	"io"
	"time"
)

const (
	// bodyPiece is how much of a body is taken from the budget at a time.
	bodyPiece = 16 << 10
	// bodyStall is how long a client may send nothing of a body.
	bodyStall = 30 * time.Second
	// bodyTimeout is how long a body may take whatever its size, and bodyRate in bytes per second how fast it has to
	// come on average after that.
	bodyTimeout = 3 * time.Minute
	bodyRate    = 1 << 10
	// discardTimeout is how long the rest of an unwanted body may take.
	discardTimeout = time.Second
)

// body takes what is read of a request's body from the budget.
type body struct {
	conn      *conn
	src       io.ReadCloser
	cost      int64 // of a byte
	startedAt time.Time
	timeout   time.Duration // of the server for a whole request, 0 for none
	size      int64
	begun     bool // the handler has begun to read
	ended     bool
}

func newBody(c *conn, src io.ReadCloser, cost int64, timeout time.Duration) *body {
	return &body{conn: c, src: src, cost: cost, startedAt: time.Now(), timeout: timeout}
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.ended || len(p) == 0 {
		return b.src.Read(p)
	}
	if !b.begun {
		b.begun = true
		b.conn.holder.Enter(PhaseBody)
	}
	p = p[:min(len(p), bodyPiece)]
	if err := b.conn.holder.Take(int64(len(p)) * b.cost); err != nil {
		return 0, err
	}
	_ = b.conn.SetReadDeadline(b.deadline())
	n, err := b.src.Read(p)
	b.size += int64(n)
	b.conn.holder.Give(int64(len(p)-n) * b.cost)
	if err != nil {
		b.ended = true
		b.conn.holder.Enter(PhaseServe)
	}
	return n, err
}

// deadline returns until when the next bytes have to come.
func (b *body) deadline() time.Time {
	next := time.Now().Add(bodyStall)
	last := b.startedAt.Add(bodyTimeout + time.Duration(b.size/bodyRate)*time.Second)
	if b.timeout > 0 {
		last = b.startedAt.Add(b.timeout)
	}
	if last.Before(next) {
		return last
	}
	return next
}

// Close implements io.Closer.
func (b *body) Close() error { return b.src.Close() }

// finish limits the time for the rest of a body that the handler hasn't read.
func (b *body) finish() {
	if !b.ended {
		b.conn.holder.Enter(PhaseBody)
		_ = b.conn.SetReadDeadline(time.Now().Add(discardTimeout))
	}
}
