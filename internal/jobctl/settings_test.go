package jobctl

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a wait for a lost voter that takes up the time of its successor.
func TestSuccessionLeavesMostOfTheBound(t *testing.T) {
	for _, bound := range []float64{3, 4, 6, 30} {
		r := (&Settings{Catchup: bound}).succession()
		limit := time.Duration(bound * float64(time.Second))
		require.LessOrEqual(t, r.Silence, limit/4)
		require.GreaterOrEqual(t, r.Fresh, 2*limit, "a planned stop comes once the bound has passed")
		require.Less(t, r.Silence, r.Patience)
	}
}
