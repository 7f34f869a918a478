package client

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	attempts  = 4                      // of one operator's request
	retryBase = 100 * time.Millisecond // delay before the second attempt
	retryMax  = time.Second
)

// retryable reports whether the same request may get an answer if sent again.
// Every request of an operator is idempotent, by its id or by its nature.
func retryable(err error) bool {
	return errors.Is(err, ErrUnreachable) || errors.Is(err, ErrUnavailable)
}

// retry calls try with 0, 1, 2, … until it succeeds, fails for good, or was
// called often enough. Between calls it waits longer each time, at random.
func retry(ctx context.Context, try func(n int) error) error {
	delay := retryBase
	for n := 0; ; n++ {
		err := try(n)
		if !retryable(err) || n == attempts-1 {
			return err
		}
		timer := time.NewTimer(delay/2 + rand.N(delay/2))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return err
		}
		delay = min(2*delay, retryMax)
	}
}
