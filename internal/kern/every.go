package kern

import (
	"context"
	"time"
)

// Every calls f once in each interval until ctx is done.
func Every(ctx context.Context, interval time.Duration, f func()) error {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			f()
		}
	}
}

// BoolToFloat returns 1 for true and 0 for false, for example as the value of a
// gauge.
func BoolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
