package kern_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/knapweedlug/knapweedlug/internal/kern"
)

func TestBootClockHasNoMonotonicPart(t *testing.T) {
	a := kern.BootClock{}.Now()
	b := kern.BootClock{}.Now()
	require.False(t, b.Before(a))
	require.Equal(t, a, a.Round(0), "a monotonic reading doesn't advance while the host is suspended")
}
