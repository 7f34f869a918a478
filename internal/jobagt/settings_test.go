package jobagt

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// On a deployment whose workers fetch their orders, 45 jobs were accepted and none was started.
func TestWorkersThatFetchOrdersAreRefused(t *testing.T) {
	s := role{}.Defaults().(*Settings)
	s.Seeds = []string{"10.0.0.1:7500"}
	require.Empty(t, s.Validate())
	s.Orders = "heartbeat"
	problems := s.Validate()
	require.Len(t, problems, 1)
	require.Equal(t, "orders", problems[0].Field)
	require.Contains(t, problems[0].Want, "not served")
}
