package fakes

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// link is one connection through a relay.
type link struct {
	relay    *Relay
	in, out  net.Conn
	cancel   context.CancelFunc
	silenced atomic.Bool // no data passes any more
}

// chunk is a piece of data on its way through a relay, with the error that ended the
// data, if any.
type chunk struct {
	data []byte
	err  error
	due  time.Time // when it is to be written
}

// reset ends the link so that both ends see a reset.
func (l *link) reset() {
	resetConn(l.in)
	resetConn(l.out)
	l.cancel()
}

// copyBoth copies both directions until both have ended or one has failed. The end of the
// data is delayed like the data itself, so that a silent connection stays open.
func (l *link) copyBoth(ctx context.Context) {
	defer l.cancel()
	var closer errgroup.Group
	g, ctx := errgroup.WithContext(ctx)
	up := func(s RelayState) Mode { return s.Up }
	down := func(s RelayState) Mode { return s.Down }
	l.copyDirection(ctx, g, l.out, l.in, up)
	l.copyDirection(ctx, g, l.in, l.out, down)
	closer.Go(func() error {
		<-ctx.Done()
		_ = l.in.Close()
		_ = l.out.Close()
		return nil
	})
	_ = g.Wait() // ends ctx
	_ = closer.Wait()
}

// copyDirection copies one direction with two goroutines: one reads chunks and sets the
// time when each is due, the other writes each chunk at that time.
func (l *link) copyDirection(ctx context.Context, g *errgroup.Group, to, from net.Conn, direction func(RelayState) Mode) {
	queue := make(chan chunk, relayQueueChunks)
	g.Go(func() error { return l.read(ctx, queue, from) })
	g.Go(func() error { return l.write(ctx, queue, to, direction) })
}

// read reads chunks into the queue until the data ends.
func (l *link) read(ctx context.Context, queue chan<- chunk, from net.Conn) error {
	for {
		buf := make([]byte, relayBufferBytes)
		n, err := from.Read(buf)
		delay := time.Duration(l.relay.State().DelayMs) * time.Millisecond
		select {
		case queue <- chunk{data: buf[:n], err: err, due: time.Now().Add(delay)}:
		case <-ctx.Done():
			return ctx.Err()
		}
		if err != nil {
			return nil
		}
	}
}

// write writes the chunks of the queue when they are due and the direction passes.
func (l *link) write(ctx context.Context, queue <-chan chunk, to net.Conn, direction func(RelayState) Mode) error {
	for {
		var c chunk
		select {
		case c = <-queue:
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := sleep(ctx, time.Until(c.due)); err != nil {
			return err
		}
		if err := l.awaitPass(ctx, direction); err != nil {
			return err
		}
		if _, err := to.Write(c.data); err != nil {
			return err
		}
		if errors.Is(c.err, io.EOF) {
			return closeWrite(to)
		}
		if c.err != nil {
			return c.err
		}
	}
}

// awaitPass waits until the direction passes. On a silenced link it waits until ctx is
// done.
func (l *link) awaitPass(ctx context.Context, direction func(RelayState) Mode) error {
	if err := l.relay.awaitPassMode(ctx, direction); err != nil {
		return err
	}
	if l.silenced.Load() {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

// closeWrite tells the other end that no more data follows.
func closeWrite(c net.Conn) error {
	if t, ok := c.(*net.TCPConn); ok {
		return t.CloseWrite()
	}
	return c.Close()
}
