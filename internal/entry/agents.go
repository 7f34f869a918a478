package entry

import (
	"context"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/knapweedlug/knapweedlug/internal/admit"
	"github.com/knapweedlug/knapweedlug/internal/route"
	"github.com/knapweedlug/knapweedlug/internal/trace"
	"github.com/knapweedlug/knapweedlug/internal/wire"
)

// minDemandInterval is the minimum interval between two demand reports to one agent.
const minDemandInterval = 2 * time.Millisecond

// stateReady is the announced state of an agent that accepts requests.
const stateReady = "ready"

// agent is a connected agent and the backend server that it manages.
type agent struct {
	name          string
	sess          *wire.Session
	service       string
	server        string
	slots         int
	entryCount    int // number of entries that share its slots
	state         string
	demandChanged chan struct{}  // wakes sendDemand
	otherUsage    map[string]int // slots in use on this agent through other entries, by team
}

// signalDemand makes sendDemand check the demand again. It doesn't block.
func (a *agent) signalDemand() {
	select {
	case a.demandChanged <- struct{}{}:
	default:
	}
}

// handleGrant serves an agent's grant stream until the stream closes.
func (e *Entry) handleGrant(ctx context.Context, _ *wire.Call, stream *wire.Stream) error {
	sess := e.session(stream.Peer().Name)
	if sess == nil {
		return nil
	}
	_ = stream.SetReadDeadline(time.Time{})
	a := &agent{name: stream.Peer().Name, sess: sess, demandChanged: make(chan struct{}, 1), otherUsage: map[string]int{}}
	e.dispatcher.addAgent(a)
	defer e.dispatcher.removeAgent(a)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, stream.Reset)
	defer stop()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		defer cancel()
		return e.readEvents(a, stream)
	})
	g.Go(func() error {
		defer cancel()
		return e.sendDemand(ctx, a, stream)
	})
	return g.Wait()
}

// readEvents applies the agent's events until the stream fails.
func (e *Entry) readEvents(a *agent, stream *wire.Stream) error {
	for {
		var ev wire.AgentEvent
		if err := stream.Recv(&ev); err != nil {
			return err
		}
		switch x := ev.Event.(type) {
		case *wire.AgentEvent_Announce:
			e.env.Log.Info("agent announced", zap.String("agent", a.name), zap.String("service", x.Announce.Service),
				zap.String("server", x.Announce.Server), zap.String("state", x.Announce.State))
			e.dispatcher.updateAgent(a, x.Announce)
		case *wire.AgentEvent_Grant:
			e.dispatcher.grantCredits(a, x.Grant.Credits)
		case *wire.AgentEvent_Revoke:
			e.dispatcher.revokeCredits(a, x.Revoke.Credits)
		case *wire.AgentEvent_Elsewhere:
			e.dispatcher.setOtherUsage(a, x.Elsewhere.Team, int(x.Elsewhere.Running))
		}
	}
}

// sendDemand reports the demand for the agent's service to the agent each time
// it changes.
func (e *Entry) sendDemand(ctx context.Context, a *agent, stream *wire.Stream) error {
	var last admit.Demand
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.demandChanged:
		}
		demand := e.dispatcher.demandFor(a)
		if demand == last {
			continue
		}
		last = demand
		if err := stream.Send(demandMessage(demand)); err != nil {
			return err
		}
		time.Sleep(minDemandInterval)
	}
}

func demandMessage(demand admit.Demand) *wire.Demand {
	return &wire.Demand{
		Guaranteed: countMessage(demand.Guaranteed),
		Urgent:     countMessage(demand.Urgent),
		Borrowed:   countMessage(demand.Borrowed),
	}
}

func countMessage(count admit.Count) *wire.Count {
	return &wire.Count{Short: uint32(count.Short), Long: uint32(count.Long)}
}

// addAgent adds an agent. An agent that reconnects replaces its earlier connection.
func (d *dispatcher) addAgent(a *agent) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if old := d.agents[a.name]; old != nil {
		d.dropAgent(old)
	}
	d.agents[a.name] = a
}

// removeAgent removes an agent, unless a newer connection has replaced it.
func (d *dispatcher) removeAgent(a *agent) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.agents[a.name] == a {
		d.dropAgent(a)
	}
}

// setOtherUsage records how many of the agent's slots a team uses through other
// entries.
func (d *dispatcher) setOtherUsage(a *agent, team string, running int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.agents[a.name] != a {
		return
	}
	d.addOtherUsage(team, running-a.otherUsage[team])
	a.otherUsage[team] = running
	if a.service != "" {
		d.match(a.service)
	}
}

// addOtherUsage adds n, which may be negative, to the slots that a team uses through
// other entries. The caller holds d.mu.
func (d *dispatcher) addOtherUsage(team string, n int) {
	d.otherUsage[team] += n
	d.queue.SetRunningElsewhere(team, d.otherUsage[team])
}

// dropAgent removes an agent with its credits and the usage that it reported. The
// caller holds d.mu.
func (d *dispatcher) dropAgent(a *agent) {
	delete(d.agents, a.name)
	for team, n := range a.otherUsage {
		d.addOtherUsage(team, -n)
	}
	if a.service != "" {
		d.picker(a.service).Remove(a.name)
	}
	d.updateSlots()
}

// updateAgent applies an agent's announcement of its service, slots and state.
func (d *dispatcher) updateAgent(a *agent, ann *wire.Announce) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.agents[a.name] != a {
		return
	}
	if a.service != "" && a.service != ann.Service {
		d.picker(a.service).Remove(a.name)
	}
	a.service, a.server, a.slots, a.state = ann.Service, ann.Server, int(ann.Slots), ann.State
	a.entryCount = int(ann.Entries)
	if a.service == "" {
		return
	}
	p := d.picker(a.service)
	p.Add(a.name)
	if a.state != stateReady {
		p.Drain(a.name)
	}
	d.updateSlots()
	a.signalDemand()
}

func (d *dispatcher) grantCredits(a *agent, credits []*wire.Credit) {
	d.applyCredits(a, credits, trace.Grant, (*route.Picker).AddCredit)
}

func (d *dispatcher) revokeCredits(a *agent, credits []*wire.Credit) {
	d.applyCredits(a, credits, trace.Revoke, (*route.Picker).RevokeCredit)
}

// applyCredits calls apply for each of the credits that an agent granted or
// revoked, records each in the trace and matches the service's queue again.
func (d *dispatcher) applyCredits(a *agent, credits []*wire.Credit, kind trace.Kind, apply func(*route.Picker, route.Credit) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.agents[a.name] != a || a.service == "" {
		return
	}
	p := d.picker(a.service)
	for _, c := range credits {
		apply(p, newCredit(a, c))
		d.recorder.record(trace.Event{Kind: kind, Server: a.name, CreditID: c.Id})
	}
	d.match(a.service)
}

func newCredit(a *agent, c *wire.Credit) route.Credit {
	class := admit.AnySlot
	if c.Short {
		class = admit.ShortSlot
	}
	return route.Credit{Server: a.name, ID: c.Id, Class: class}
}

// demandFor returns the demand for the agent's service.
func (d *dispatcher) demandFor(a *agent) admit.Demand {
	d.mu.Lock()
	defer d.mu.Unlock()
	if a.service == "" {
		return admit.Demand{}
	}
	return d.queue.Demand(a.service)
}

// agentDump is the state of one agent as written to a dump.
type agentDump struct {
	Agent   string `json:"agent"`
	Service string `json:"service"`
	Server  string `json:"server"`
	Slots   int    `json:"slots"`
	State   string `json:"state"`
	Addr    string `json:"addr"`
}

// agentList returns all connected agents, sorted by name.
func (d *dispatcher) agentList() []agentDump {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]agentDump, 0, len(d.agents))
	for _, a := range d.agents {
		out = append(out, agentDump{
			Agent: a.name, Service: a.service, Server: a.server, Slots: a.slots, State: a.state, Addr: a.sess.Peer().Addr,
		})
	}
	slices.SortFunc(out, func(x, y agentDump) int { return strings.Compare(x.Agent, y.Agent) })
	return out
}
