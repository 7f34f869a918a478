package jobctl

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedlug/knapweedlug/internal/wire"
)

// drainOrders returns the orders queued for a host.
func (h *host) drainOrders() []*wire.HostOrders {
	var list []*wire.HostOrders
	for len(h.orders) > 0 {
		list = append(list, <-h.orders)
	}
	return list
}

// An agent that had given a run up got the order to start it once more, because the order was due before the end of the
// run was committed.
func TestRunReportedGoneIsNotOrderedAgain(t *testing.T) {
	at := time.Unix(1_000_000, 0)
	l := newTestLeader(t, at, oneStepSpec(1, 8, false))
	h := l.hosts["h00"]
	h.resetOrders()
	run := l.assign(t)
	l.sendOrders()
	require.Len(t, h.drainOrders()[0].Starts, 1)

	l.setNow(at.Add(2 * orderRetryInterval))
	task := fmt.Sprintf("%016x.0.0.0", 0)
	l.storeReport(h, &wire.HostReport{
		Worker: h.name, Born: 1, Listed: true, Service: "s", Cpu: 32000, Memory: 131072, Accels: 8,
		Gone: []*wire.RunGone{{Task: task, Run: uint32(run), Reason: "unwell"}},
	}, l.now())
	l.sendOrders()
	require.Empty(t, h.drainOrders())

	// The agent may forget the run once no later leader can order it either.
	cmd, ok := l.collectUnrecorded()
	require.True(t, ok)
	l.commit(t, cmd)
	l.applyRecorded(cmd)
	orders := h.drainOrders()
	require.Len(t, orders, 1)
	require.Len(t, orders[0].Gone, 1)
	require.Equal(t, task, orders[0].Gone[0].Task)
	require.EqualValues(t, run, orders[0].Gone[0].Run)
}
