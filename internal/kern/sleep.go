package kern

import (
	"context"
	"time"
)

// Sleep waits for d. It returns false if ctx was done first.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
