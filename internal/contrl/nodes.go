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
	// reportInterval is how often the nodes that this process serves are reported
	// to the leader. One report may be lost within reportFresh.
	reportInterval = 800 * time.Millisecond
	// nodeForget is how long a node is listed after its last heartbeat.
	nodeForget = 10 * time.Minute
	// reportFresh is how old a control process's last report may be for it to be
	// taken as the complete list of the nodes that it serves.
	reportFresh = 1800 * time.Millisecond
	// leaseMargin is added to a lease's term before the lease counts as expired. It
	// covers reportFresh, since the lease may have been renewed after the last
	// report, and differences in clock rate.
	leaseMargin = reportFresh + 400*time.Millisecond
)

// nodeInfo is the status of an entry or agent as of its last heartbeat.
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
	Via      string    `json:"via,omitempty"` // control process that answers it; empty for this one
	Heard    time.Time `json:"heard"`         // when its heartbeat was last answered
}

// nodes holds the status of entries and agents: of those whose heartbeats this
// control process answers and, on the leader, also of those that the other
// control processes report.
type nodes struct {
	clock kern.Clock

	mu        sync.Mutex
	own       map[string]nodeInfo
	other     map[string]nodeInfo
	peers     map[string]time.Time // when each control process last reported
	revisions map[string]uint64    // configuration revision that each control process has applied
	heard     map[string]time.Time // when the heartbeat of each worker's agent was last answered
	since     time.Time            // when this process became the leader
	next      time.Time            // when the next report to the leader is due
}

func newNodes(clock kern.Clock) *nodes {
	return &nodes{clock: clock, own: map[string]nodeInfo{}, other: map[string]nodeInfo{}, peers: map[string]time.Time{}, heard: map[string]time.Time{}, revisions: map[string]uint64{}}
}

// answered records the status of a node whose heartbeat is being answered.
func (n *nodes) answered(peer wire.Peer, req *wire.SyncRequest) {
	info := nodeInfo{
		Name: peer.Name, Role: peer.Role, Domain: peer.Domain, Revision: req.Revision, Fresh: req.Fresh,
		State: req.State, Worker: req.Worker, Heard: n.clock.Now(),
	}
	for _, a := range req.Agents {
		info.Service, info.Server, info.Slots, info.Busy = a.Service, a.Server, int(a.Slots), int(a.Busy)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.own[peer.Role+"/"+peer.Name] = info
	n.note(info)
}

// note updates when the agent of the node's worker was last answered. The caller
// holds the lock.
func (n *nodes) note(i nodeInfo) {
	if i.Worker != "" && i.Heard.After(n.heard[i.Worker]) {
		n.heard[i.Worker] = i.Heard
	}
}

// due reports whether a report to the leader is due, and if so schedules the next.
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

// report returns the nodes that this process serves, for the leader. It deletes
// those that have been silent for longer than nodeForget.
func (n *nodes) report() []*wire.Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock.Now()
	out := make([]*wire.Node, 0, len(n.own))
	for key, i := range n.own {
		if now.Sub(i.Heard) > nodeForget {
			delete(n.own, key)
			continue
		}
		out = append(out, &wire.Node{
			Name: i.Name, Role: i.Role, Domain: i.Domain, Revision: i.Revision, Fresh: i.Fresh, State: i.State,
			Agoms: uint32(now.Sub(i.Heard).Milliseconds()), Worker: i.Worker, Service: i.Service, Server: i.Server,
			Slots: uint32(i.Slots), Busy: uint32(i.Busy),
		})
	}
	return out
}

// heardFrom records another control process's report.
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
			Heard: now.Add(-time.Duration(x.Agoms) * time.Millisecond),
		}
		if old, ok := n.other[x.Role+"/"+x.Name]; !ok || info.Heard.After(old.Heard) {
			n.other[x.Role+"/"+x.Name] = info
			n.note(info)
		}
	}
}

// lead prepares for a new term as the leader. The silence of nodes counts from now
// on, since the reports to the former leader are not known here.
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

// lapsed reports whether every lease that the worker's agent may hold has expired.
// A control process whose last report is older than reportFresh may have answered
// the agent since, as long as its own state was fresh. The leases are therefore
// counted from that report if it is later than the agent's last heartbeat.
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
			if old, ok := best[key]; !ok || i.Heard.After(old.Heard) {
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

// peerRevision returns the configuration revision that another control process
// last reported.
func (n *nodes) peerRevision(peer string) uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.revisions[peer]
}
