package contrl

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedlug/knapweedlug/internal/fakes"
	"github.com/knapweedlug/knapweedlug/internal/kern"
	"github.com/knapweedlug/knapweedlug/internal/platf"
	"github.com/knapweedlug/knapweedlug/internal/wire"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// After the time of day was set back, the platform refused the probes of a worker, which stayed in quarantine until the
// clock had caught up.
func TestProbeAfterTheClockWasSetBack(t *testing.T) {
	p := fakes.NewPlatform([]model.Worker{{Name: "w1", Cores: 4, Speed: 1}}, 0, wallClock{})
	srv := httptest.NewServer(p.Handler())
	t.Cleanup(srv.Close)
	beforeStep := time.Now().Add(time.Hour)
	_, err := p.Hold(platf.HoldRequest{
		Worker: "w1", Job: wire.ProbePrefix + "w1", Epoch: uint64(beforeStep.UnixMilli()), Cores: 1, Deadline: time.Now().Add(time.Millisecond),
	})
	require.NoError(t, err)
	l := &leader{term: 3, c: &Control{platform: platf.New(srv.URL, srv.Client()), env: &kern.Env{Clock: wallClock{}}}}
	for range 2 {
		require.True(t, l.runProbeTask(t.Context(), "w1"))
	}
}
