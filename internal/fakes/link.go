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
	relay     *Relay
	in, out   net.Conn
	cancel    context.CancelFunc
	forgotten atomic.Bool // nothing passes any more
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

// carry copies both directions until both have ended or one has failed. The end of the
// data is delayed like the data itself, so that a silent connection stays open.
func (l *link) carry(ctx context.Context) {
	defer l.cancel()
	var closer errgroup.Group
	g, ctx := errgroup.WithContext(ctx)
	up := func(s RelayState) Mode { return s.Up }
	down := func(s RelayState) Mode { return s.Down }
	l.copy(ctx, g, l.out, l.in, up)
	l.copy(ctx, g, l.in, l.out, down)
	closer.Go(func() error {
		<-ctx.Done()
		_ = l.in.Close()
		_ = l.out.Close()
		return nil
	})
	_ = g.Wait() // ends ctx
	_ = closer.Wait()
}

// copy copies one direction with two goroutines: one reads chunks and sets the time when
// each is due, the other writes each chunk at that time.
func (l *link) copy(ctx context.Context, g *errgroup.Group, to, from net.Conn, pick func(RelayState) Mode) {
	queue := make(chan chunk, relayQueue)
	g.Go(func() error { return l.read(ctx, queue, from) })
	g.Go(func() error { return l.write(ctx, queue, to, pick) })
}

// read reads chunks into the queue until the data ends.
func (l *link) read(ctx context.Context, queue chan<- chunk, from net.Conn) error {
	for {
		buf := make([]byte, relayBuffer)
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
func (l *link) write(ctx context.Context, queue <-chan chunk, to net.Conn, pick func(RelayState) Mode) error {
	for {
		var c chunk
		select {
		case c = <-queue:
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := pause(ctx, time.Until(c.due)); err != nil {
			return err
		}
		if err := l.clear(ctx, pick); err != nil {
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

// clear waits until the direction passes. On a forgotten link it waits until ctx is done.
func (l *link) clear(ctx context.Context, pick func(RelayState) Mode) error {
	if err := l.relay.await(ctx, pick); err != nil {
		return err
	}
	if l.forgotten.Load() {
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
