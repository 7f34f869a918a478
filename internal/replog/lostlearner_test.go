package replog

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLostVoterIsRemovedAfterItsLearnerIsReplaced guards against a lost voter that
// remains a member because the learner that was to replace it was lost, too, and
// replaced.
func TestLostVoterIsRemovedAfterItsLearnerIsReplaced(t *testing.T) {
	s, a, _, c := newThreeHosts(t)
	first := c.incarnation
	s.wipeDisk(c)
	s.run(DefaultElectionTimeout)
	_, err := a.core.replace(first, "c")
	require.NoError(t, err)
	s.wipeDisk(c) // before the new incarnation is promoted
	s.run(DefaultElectionTimeout)
	var learner string
	for _, m := range a.core.members() {
		if m.Replaces == first {
			learner = m.Incarnation
		}
	}
	require.NotEmpty(t, learner, "no member replaces the lost voter")
	_, err = a.core.replace(learner, "c")
	require.NoError(t, err)
	s.run(time.Minute)
	for _, m := range s.leader().core.members() {
		require.NotEqual(t, first, m.Incarnation, "the lost voter is still a member")
	}
}
