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

// demandPause is the least time between two reports of demand to one agent.
const demandPause = 2 * time.Millisecond

// stateReady is the state of an agent that takes work.
const stateReady = "ready"

// agent is one connected agent with the backend server beside it.
type agent struct {
	name    string
	sess    *wire.Session
	service string
	server  string
	slots   int
	entries int // that share its slots
	state   string
	wake    chan struct{}
	teams   map[string]int // slots that teams use there through other entries
}

// poke makes the agent hear of the demand soon.
func (a *agent) poke() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// handleGrant serves an agent's grant stream for as long as it lasts.
func (e *Entry) handleGrant(ctx context.Context, _ *wire.Call, st *wire.Stream) error {
	sess := e.session(st.Peer().Name)
	if sess == nil {
		return nil
	}
	_ = st.SetReadDeadline(time.Time{})
	a := &agent{name: st.Peer().Name, sess: sess, wake: make(chan struct{}, 1), teams: map[string]int{}}
	e.disp.join(a)
	defer e.disp.leave(a)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, st.Reset)
	defer stop()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		defer cancel()
		return e.readEvents(a, st)
	})
	g.Go(func() error {
		defer cancel()
		return e.sendDemand(ctx, a, st)
	})
	return g.Wait()
}

func (e *Entry) readEvents(a *agent, st *wire.Stream) error {
	for {
		var ev wire.AgentEvent
		if err := st.Recv(&ev); err != nil {
			return err
		}
		switch x := ev.Event.(type) {
		case *wire.AgentEvent_Announce:
			e.env.Log.Info("agent announced", zap.String("agent", a.name), zap.String("service", x.Announce.Service),
				zap.String("server", x.Announce.Server), zap.String("state", x.Announce.State))
			e.disp.announced(a, x.Announce)
		case *wire.AgentEvent_Grant:
			e.disp.granted(a, x.Grant.Credits)
		case *wire.AgentEvent_Revoke:
			e.disp.revoked(a, x.Revoke.Credits)
		case *wire.AgentEvent_Elsewhere:
			e.disp.elsewhere(a, x.Elsewhere.Team, int(x.Elsewhere.Running))
		}
	}
}

// sendDemand reports the demand whenever it may have changed.
func (e *Entry) sendDemand(ctx context.Context, a *agent, st *wire.Stream) error {
	var last admit.Demand
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.wake:
		}
		d := e.disp.demandFor(a)
		if d == last {
			continue
		}
		last = d
		if err := st.Send(demandMessage(d)); err != nil {
			return err
		}
		time.Sleep(demandPause)
	}
}

func demandMessage(d admit.Demand) *wire.Demand {
	return &wire.Demand{
		Guaranteed: countMessage(d.Guaranteed),
		Urgent:     countMessage(d.Urgent),
		Borrowed:   countMessage(d.Borrowed),
	}
}

func countMessage(c admit.Count) *wire.Count {
	return &wire.Count{Short: uint32(c.Short), Long: uint32(c.Long)}
}

// join adds an agent. One that connects anew takes the place of its old self.
func (d *dispatcher) join(a *agent) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if old := d.agents[a.name]; old != nil {
		d.drop(old)
	}
	d.agents[a.name] = a
}

func (d *dispatcher) leave(a *agent) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.agents[a.name] == a {
		d.drop(a)
	}
}

// elsewhere notes what a team uses of an agent through other entries.
func (d *dispatcher) elsewhere(a *agent, team string, running int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.agents[a.name] != a {
		return
	}
	d.shift(team, running-a.teams[team])
	a.teams[team] = running
	if a.service != "" {
		d.match(a.service)
	}
}

// shift changes the slots that a team uses through other entries.
func (d *dispatcher) shift(team string, n int) {
	d.teams[team] += n
	d.queue.SetRunningElsewhere(team, d.teams[team])
}

func (d *dispatcher) drop(a *agent) {
	delete(d.agents, a.name)
	for team, n := range a.teams {
		d.shift(team, -n)
	}
	if a.service != "" {
		d.picker(a.service).Remove(a.name)
	}
	d.fleet()
}

func (d *dispatcher) announced(a *agent, ann *wire.Announce) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.agents[a.name] != a {
		return
	}
	if a.service != "" && a.service != ann.Service {
		d.picker(a.service).Remove(a.name)
	}
	a.service, a.server, a.slots, a.state = ann.Service, ann.Server, int(ann.Slots), ann.State
	a.entries = int(ann.Entries)
	if a.service == "" {
		return
	}
	p := d.picker(a.service)
	p.Add(a.name)
	if a.state != stateReady {
		p.Drain(a.name)
	}
	d.fleet()
	a.poke()
}

func (d *dispatcher) granted(a *agent, credits []*wire.Credit) {
	d.credits(a, credits, trace.Grant, (*route.Picker).AddCredit)
}

func (d *dispatcher) revoked(a *agent, credits []*wire.Credit) {
	d.credits(a, credits, trace.Revoke, (*route.Picker).RevokeCredit)
}

// credits takes an agent's credits in, or back.
func (d *dispatcher) credits(a *agent, credits []*wire.Credit, kind trace.Kind, do func(*route.Picker, route.Credit) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.agents[a.name] != a || a.service == "" {
		return
	}
	p := d.picker(a.service)
	for _, c := range credits {
		do(p, creditOf(a, c))
		d.rec.write(trace.Event{Kind: kind, Server: a.name, CreditID: c.Id})
	}
	d.match(a.service)
}

func creditOf(a *agent, c *wire.Credit) route.Credit {
	class := admit.AnySlot
	if c.Short {
		class = admit.ShortSlot
	}
	return route.Credit{Server: a.name, ID: c.Id, Class: class}
}

func (d *dispatcher) demandFor(a *agent) admit.Demand {
	d.mu.Lock()
	defer d.mu.Unlock()
	if a.service == "" {
		return admit.Demand{}
	}
	return d.queue.Demand(a.service)
}

// agentDump is one agent for a dump and for listings.
type agentDump struct {
	Agent   string `json:"agent"`
	Service string `json:"service"`
	Server  string `json:"server"`
	Slots   int    `json:"slots"`
	State   string `json:"state"`
	Addr    string `json:"addr"`
}

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
