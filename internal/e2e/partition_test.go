package e2e

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedlug/knapweedlug/internal/fakes"
	"github.com/knapweedlug/knapweedlug/internal/poll"
	"github.com/knapweedlug/knapweedlug/pkg/client"
)

// revisionBound is the time within which a confirmed configuration must be in
// effect on all nodes.
const revisionBound = 5 * time.Second

// TestControlPartitioned partitions one control process from the others:
// connections stay open but carry no data. Entries and agents can still reach
// it. Every change must be in effect on each of them within the bound, and the
// partitioned process must not answer with an old configuration.
func TestControlPartitioned(t *testing.T) {
	sz := smallCluster
	sz.relayedControl = 3
	c := newReadyCluster(t, sz)
	partitioned, err := client.NewOperator([]string{"http://" + c.apiAddrs[2]}, operatorName, operatorKey, &http.Client{})
	require.NoError(t, err)
	homeAgents := 0
	for i := range c.agents {
		if poll.PreferredIndex(fmt.Sprintf("agt%d", i+1), 3) == 2 {
			homeAgents++
		}
	}
	require.Positive(t, homeAgents, "no agent has the control process to be partitioned as its home")
	pollUntil(t, 20*time.Second, "nodes poll their home control process", func() bool {
		return c.servedNodes("ctl3") >= homeAgents && c.servedNodes("ctl1")+c.servedNodes("ctl2")+c.servedNodes("ctl3") == 6
	})
	time.Sleep(4 * time.Second) // until every node polls its home control process
	l := c.startLoad(2, false)
	c.setRelayMode(fakes.ModeSilent)
	for n := range 4 {
		plan, err := c.commitChange(fmt.Sprint("partition", n), 15*time.Second)
		require.NoError(t, err)
		c.requireRevision(plan.Revision, time.Now().Add(revisionBound))
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		if cfg, err := partitioned.Config(ctx); err == nil {
			require.GreaterOrEqual(t, cfg.Revision, plan.Revision, "the partitioned control process answered with an old revision")
		}
		cancel()
	}
	// As a quorum is reachable, the configuration of no entry may become stale, so
	// every request must be answered.
	for id, r := range l.finish(t) {
		requireAnswer(t, requestSpec{id: id, body: id}, r)
	}
	c.setRelayMode(fakes.ModePass)
	plan, err := c.commitChange("healed", 15*time.Second)
	require.NoError(t, err)
	pollUntil(t, 10*time.Second, "the control process has caught up", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		cfg, err := partitioned.Config(ctx)
		return err == nil && cfg.Revision >= plan.Revision
	})
}

// requireRevision requires that by a deadline no entry or agent regards an
// older revision as fresh: each has the revision or takes no work.
func (c *cluster) requireRevision(revision uint64, deadline time.Time) {
	c.t.Helper()
	pollUntil(c.t, time.Until(deadline), fmt.Sprintf("revision %d is in effect", revision), func() bool {
		for i := range c.entries {
			if e := c.entryDump(fmt.Sprintf("ent%d", i+1)); e.Fresh && e.Revision < revision {
				return false
			}
		}
		for i := range c.agents {
			if a := c.agentDump(fmt.Sprintf("agt%d", i+1)); a.Fresh && a.Revision < revision {
				return false
			}
		}
		return true
	})
}

// agentState holds the fields of an agent's state dump that the tests read.
type agentState struct {
	Revision uint64 `json:"revision"`
	Fresh    bool   `json:"fresh"`
	State    string `json:"state"`
}

func (c *cluster) agentDump(name string) agentState {
	var d struct {
		Roles struct {
			Agent agentState `json:"agent"`
		} `json:"roles"`
	}
	c.readDump("agent", name, &d)
	return d.Roles.Agent
}

// TestSilentConnections makes every open connection between agents and entries
// carry no more data, while new connections work, twice under load. Requests
// must be answered again within 2 s and no non-idempotent request may run
// twice.
func TestSilentConnections(t *testing.T) {
	sz := smallCluster
	sz.relayedAgents = true
	c := newReadyCluster(t, sz)
	l := c.startLoad(6, true)
	for range 2 {
		time.Sleep(500 * time.Millisecond)
		for _, r := range c.relays {
			r.SilenceOpen()
		}
		silenced := time.Now()
		pollUntil(t, 2*time.Second+probeTimeout, "requests are answered again", func() bool {
			r := c.call(0, requestSpec{workMs: 1, body: "probe", timeout: 300 * time.Millisecond})
			return r.err == nil && r.outcome == client.OutcomeAnswer
		})
		t.Logf("answered again after %s", time.Since(silenced).Round(time.Millisecond))
	}
	replies := l.finish(t)
	checkRuns(t, c, replies)
	outcomes := map[client.Outcome]int{}
	for _, r := range replies {
		outcomes[r.outcome]++
	}
	t.Log(outcomes)
}

// probeTimeout is the time allowed for the probe request itself.
const probeTimeout = 500 * time.Millisecond

// servedNodes returns the number of entries and agents that poll a control
// process directly and were heard from within 2 s.
func (c *cluster) servedNodes(name string) int {
	var d struct {
		Roles struct {
			Control struct {
				Nodes []struct {
					Via   string    `json:"via"`
					Heard time.Time `json:"heard"`
				} `json:"nodes"`
			} `json:"control"`
		} `json:"roles"`
	}
	c.readDump("control", name, &d)
	n := 0
	for _, node := range d.Roles.Control.Nodes {
		if node.Via == "" && time.Since(node.Heard) < 2*time.Second {
			n++
		}
	}
	return n
}
