package client

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	maxAttempts   = 4                      // largest number of attempts of a request
	retryMinDelay = 100 * time.Millisecond // delay before the second attempt
	retryMaxDelay = time.Second            // longest delay between attempts
)

// retryable reports whether sending the same request again can help. This is
// safe because operators' requests are idempotent: they carry an id or only read.
func retryable(err error) bool {
	return errors.Is(err, ErrUnreachable) || errors.Is(err, ErrUnavailable)
}

// retry calls try with the number of the attempt, from 0, until it succeeds, fails
// with an error that isn't retryable, or has used up its attempts. The delay
// between attempts doubles each time and has random jitter.
func retry(ctx context.Context, try func(attempt int) error) error {
	delay := retryMinDelay
	for attempt := 0; ; attempt++ {
		err := try(attempt)
		if !retryable(err) || attempt == maxAttempts-1 {
			return err
		}
		timer := time.NewTimer(delay/2 + rand.N(delay/2))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return err
		}
		delay = min(2*delay, retryMaxDelay)
	}
}
