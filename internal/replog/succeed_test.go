package replog

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedlug/knapweedlug/internal/store/memdisk"
)

// arrive starts a host with an empty folder that is none of the initial voters.
func (s *sim) arrive(name string) *simHost {
	h := &simHost{name: name, disk: memdisk.New(), late: true}
	s.hosts = append(s.hosts, h)
	s.boot(h)
	return h
}

// Guards against a replica that was removed while it was out of reach and never
// learns so.
func TestReplicaRemovedWhileOutOfReachAnnouncesItself(t *testing.T) {
	s, a, _, c := newTrio(t)
	s.isolate("c")
	s.run(2 * DefaultElection)
	_, err := a.core.remove("c")
	require.NoError(t, err)
	s.run(2 * DefaultElection)
	s.heal()
	s.runUntil("an announcement", 10*time.Second, func() bool { return len(s.leader().core.waiting()) == 1 })
	require.Equal(t, c.incarnation, s.leader().core.waiting()[0].Incarnation)
}
