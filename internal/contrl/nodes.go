package contrl

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/kern"
	"github.com/knapweedlug/knapweedlug/internal/poll"
	"github.com/knapweedlug/knapweedlug/internal/wire"
)

const (
	// reportInterval is how often the leader is told which nodes are served
	// here. It leaves room for one lost report within reportFresh.
	reportInterval = 800 * time.Millisecond
	// nodeForget is how long a node that is no longer heard of is listed.
	nodeForget = 10 * time.Minute
	// reportFresh is how recent a control process's word must be to count as
	// all that it serves.
	reportFresh = 1800 * time.Millisecond
	// leaseMargin is kept beyond a lease's term. It covers reportFresh, since a
	// lease may have been renewed after the last report, and differences in
	// clock rate.
	leaseMargin = reportFresh + 400*time.Millisecond
)

// nodeInfo is where an entry or agent stands.
type nodeInfo struct {
	Name     string    `json:"name"`
	Role     string    `json:"role"`
	Domain   string    `json:"domain"`
	Revision uint64    `json:"revision"`
	Fresh    bool      `json:"fresh"`
	State    string    `json:"state"`
	Worker   string    `json:"worker,omitempty"`
	Service  string    `json:"service,omitempty"`
	Server   string    `json:"server,omitempty"` // id of its backend server
	Slots    int       `json:"slots,omitempty"`
	Busy     int       `json:"busy,omitempty"`
	Via      string    `json:"via,omitempty"` // control process that serves it; empty for this one
	LastAnswered    time.Time `json:"heard"`         // when it was last answered
}

// nodes is what this control process knows of entries and agents: those that
// it serves itself and, on the leader, those that the others serve.
type nodes struct {
	clock kern.Clock

	mu        sync.Mutex
	own       map[string]nodeInfo
	other     map[string]nodeInfo
	peers     map[string]time.Time // when each control process last reported
	revisions map[string]uint64    // configuration that each control process has applied
	heard     map[string]time.Time // when each worker's agent was last answered
	since     time.Time            // when this process began to lead
	next      time.Time            // when the leader is told next
}

func newNodes(clock kern.Clock) *nodes {
	return &nodes{clock: clock, own: map[string]nodeInfo{}, other: map[string]nodeInfo{}, peers: map[string]time.Time{}, heard: map[string]time.Time{}, revisions: map[string]uint64{}}
}

// answered notes a node that is being answered now.
func (n *nodes) answered(peer wire.Peer, req *wire.SyncRequest) {
	info := nodeInfo{
		Name: peer.Name, Role: peer.Role, Domain: peer.Domain, Revision: req.Revision, Fresh: req.Fresh,
		State: req.State, Worker: req.Worker, LastAnswered: n.clock.Now(),
	}
	for _, a := range req.Agents {
		info.Service, info.Server, info.Slots, info.Busy = a.Service, a.Server, int(a.Slots), int(a.Busy)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.own[peer.Role+"/"+peer.Name] = info
	n.note(info)
}

// note keeps the latest word of a worker's agent.
func (n *nodes) note(i nodeInfo) {
	if i.Worker != "" && i.LastAnswered.After(n.heard[i.Worker]) {
		n.heard[i.Worker] = i.LastAnswered
	}
}

// due reports whether the leader is to be told of the nodes now.
func (n *nodes) due() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock.Now()
	if now.Before(n.next) {
		return false
	}
	n.next = now.Add(reportInterval)
	return true
}

// report returns the nodes served here, for the leader.
func (n *nodes) report() []*wire.Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock.Now()
	out := make([]*wire.Node, 0, len(n.own))
	for key, i := range n.own {
		if now.Sub(i.LastAnswered) > nodeForget {
			delete(n.own, key)
			continue
		}
		out = append(out, &wire.Node{
			Name: i.Name, Role: i.Role, Domain: i.Domain, Revision: i.Revision, Fresh: i.Fresh, State: i.State,
			Agoms: uint32(now.Sub(i.LastAnswered).Milliseconds()), Worker: i.Worker, Service: i.Service, Server: i.Server,
			Slots: uint32(i.Slots), Busy: uint32(i.Busy),
		})
	}
	return out
}

// heardFrom takes another control process's report.
func (n *nodes) heardFrom(peer string, revision uint64, list []*wire.Node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock.Now()
	n.peers[peer] = now
	n.revisions[peer] = revision
	for _, x := range list {
		info := nodeInfo{
			Name: x.Name, Role: x.Role, Domain: x.Domain, Revision: x.Revision, Fresh: x.Fresh, State: x.State,
			Worker: x.Worker, Service: x.Service, Server: x.Server, Slots: int(x.Slots), Busy: int(x.Busy), Via: peer,
			LastAnswered: now.Add(-time.Duration(x.Agoms) * time.Millisecond),
		}
		if old, ok := n.other[x.Role+"/"+x.Name]; !ok || info.LastAnswered.After(old.LastAnswered) {
			n.other[x.Role+"/"+x.Name] = info
			n.note(info)
		}
	}
}

// lead begins to count the silence of nodes anew: what the former leader knew
// of them is not known here.
func (n *nodes) lead(peers []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.since = n.clock.Now()
	clear(n.peers)
	clear(n.other)
	for _, p := range peers {
		n.peers[p] = n.since
	}
}

// lapsed reports whether every lease that the worker's agent may hold has run
// out. A control process that is out of reach may have answered the agent
// until its own knowledge ended, so its silence counts as well.
func (n *nodes) lapsed(worker string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock.Now()
	last := n.since
	if h := n.heard[worker]; h.After(last) {
		last = h
	}
	for _, heard := range n.peers {
		if now.Sub(heard) > reportFresh && heard.After(last) {
			last = heard
		}
	}
	return now.Sub(last) > poll.LeaseTerm+leaseMargin
}

// list returns every known node, ordered by role and name.
func (n *nodes) list() []nodeInfo {
	n.mu.Lock()
	defer n.mu.Unlock()
	best := map[string]nodeInfo{}
	for _, list := range []map[string]nodeInfo{n.other, n.own} {
		for key, i := range list {
			if old, ok := best[key]; !ok || i.LastAnswered.After(old.LastAnswered) {
				best[key] = i
			}
		}
	}
	out := make([]nodeInfo, 0, len(best))
	for _, i := range best {
		out = append(out, i)
	}
	slices.SortFunc(out, func(a, b nodeInfo) int {
		return cmp.Or(cmp.Compare(a.Role, b.Role), cmp.Compare(a.Name, b.Name))
	})
	return out
}

func (n *nodes) peerRevision(peer string) uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.revisions[peer]
}
