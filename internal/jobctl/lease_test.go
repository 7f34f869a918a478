package jobctl

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLeaseTerms(t *testing.T) {
	for _, tt := range []struct{ timeout, renewal, grant time.Duration }{
		{6 * time.Second, 4800 * time.Millisecond, 8 * time.Second},
		{10 * time.Second, 8 * time.Second, 8 * time.Second},
		{20 * time.Second, 16 * time.Second, 16 * time.Second},
	} {
		terms := LeaseTerms{RenewalTimeout: tt.timeout, ExpiryDelay: 300 * time.Millisecond}
		require.Equal(t, tt.renewal, terms.Renewal())
		require.Equal(t, tt.grant, terms.Grant(false))
		require.Equal(t, tt.renewal, terms.Grant(true))
	}
	at := time.Unix(100, 0)
	terms := LeaseTerms{ExpiryDelay: 300 * time.Millisecond}
	require.Less(t, terms.CertainEnd(at, minGrant).Sub(at), 9*time.Second, "the users' bound for a task that lasts")
	require.Equal(t, at.Add(10500*time.Millisecond), terms.CertainEnd(at, 9800*time.Millisecond))
}
