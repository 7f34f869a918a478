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
	// to the leader. One report may be lost within maxReportAge.
	reportInterval = 800 * time.Millisecond
	// nodeRetention is how long a node is listed after its last heartbeat.
	nodeRetention = 10 * time.Minute
	// maxReportAge is how old a control process's last report may be for it to be
	// taken as the complete list of the nodes that it serves.
	maxReportAge = 1800 * time.Millisecond
	// leaseMargin is added to a lease's term before the lease counts as expired. It
	// covers maxReportAge, since the lease may have been renewed after the last
	// report, and differences in clock rate.
	leaseMargin = maxReportAge + 400*time.Millisecond
)

// nodeInfo is the status of an entry or agent as of its last heartbeat.
type nodeInfo struct {
	Name         string    `json:"name"`
	Role         string    `json:"role"`
	Domain       string    `json:"domain"`
	Revision     uint64    `json:"revision"`
	Fresh        bool      `json:"fresh"`
	State        string    `json:"state"`
	Worker       string    `json:"worker,omitempty"`
	Service      string    `json:"service,omitempty"`
	Server       string    `json:"server,omitempty"` // id of its backend server
	Slots        int       `json:"slots,omitempty"`
	Busy         int       `json:"busy,omitempty"`
	Via          string    `json:"via,omitempty"` // control process that answers it; empty for this one
	LastAnswered time.Time `json:"heard"`         // when its heartbeat was last answered
}

// nodeRegistry holds the status of entries and agents: of those whose heartbeats this
// control process answers and, on the leader, also of those that the other
// control processes report.
type nodeRegistry struct {
	clock kern.Clock

	mu            sync.Mutex
	local         map[string]nodeInfo
	remote        map[string]nodeInfo
	lastReports   map[string]time.Time // when each control process last reported
	peerRevisions map[string]uint64    // configuration revision that each control process has applied
	lastAnswered  map[string]time.Time // when the heartbeat of each worker's agent was last answered
	termStart     time.Time            // when this process became the leader
	nextReport    time.Time            // when the next report to the leader is due
}

func newNodeRegistry(clock kern.Clock) *nodeRegistry {
	return &nodeRegistry{clock: clock, local: map[string]nodeInfo{}, remote: map[string]nodeInfo{}, lastReports: map[string]time.Time{}, lastAnswered: map[string]time.Time{}, peerRevisions: map[string]uint64{}}
}

// recordAnswer records the status of a node whose heartbeat is being answered.
func (n *nodeRegistry) recordAnswer(peer wire.Peer, req *wire.SyncRequest) {
	info := nodeInfo{
		Name: peer.Name, Role: peer.Role, Domain: peer.Domain, Revision: req.Revision, Fresh: req.Fresh,
		State: req.State, Worker: req.Worker, LastAnswered: n.clock.Now(),
	}
	for _, a := range req.Agents {
		info.Service, info.Server, info.Slots, info.Busy = a.Service, a.Server, int(a.Slots), int(a.Busy)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.local[peer.Role+"/"+peer.Name] = info
	n.updateLastAnswered(info)
}

// updateLastAnswered updates lastAnswered for the worker of a node. The caller
// holds the lock.
func (n *nodeRegistry) updateLastAnswered(info nodeInfo) {
	if info.Worker != "" && info.LastAnswered.After(n.lastAnswered[info.Worker]) {
		n.lastAnswered[info.Worker] = info.LastAnswered
	}
}

// reportDue reports whether a report to the leader is due, and if so schedules the
// next.
func (n *nodeRegistry) reportDue() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock.Now()
	if now.Before(n.nextReport) {
		return false
	}
	n.nextReport = now.Add(reportInterval)
	return true
}

// report returns the nodes that this process serves, for the leader. It deletes
// those that have been silent for longer than nodeRetention.
func (n *nodeRegistry) report() []*wire.Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock.Now()
	out := make([]*wire.Node, 0, len(n.local))
	for key, info := range n.local {
		if now.Sub(info.LastAnswered) > nodeRetention {
			delete(n.local, key)
			continue
		}
		out = append(out, &wire.Node{
			Name: info.Name, Role: info.Role, Domain: info.Domain, Revision: info.Revision, Fresh: info.Fresh, State: info.State,
			Agoms: uint32(now.Sub(info.LastAnswered).Milliseconds()), Worker: info.Worker, Service: info.Service, Server: info.Server,
			Slots: uint32(info.Slots), Busy: uint32(info.Busy),
		})
	}
	return out
}

// recordReport records another control process's report.
func (n *nodeRegistry) recordReport(peer string, revision uint64, reported []*wire.Node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock.Now()
	n.lastReports[peer] = now
	n.peerRevisions[peer] = revision
	for _, node := range reported {
		info := nodeInfo{
			Name: node.Name, Role: node.Role, Domain: node.Domain, Revision: node.Revision, Fresh: node.Fresh, State: node.State,
			Worker: node.Worker, Service: node.Service, Server: node.Server, Slots: int(node.Slots), Busy: int(node.Busy), Via: peer,
			LastAnswered: now.Add(-time.Duration(node.Agoms) * time.Millisecond),
		}
		if old, ok := n.remote[node.Role+"/"+node.Name]; !ok || info.LastAnswered.After(old.LastAnswered) {
			n.remote[node.Role+"/"+node.Name] = info
			n.updateLastAnswered(info)
		}
	}
}

// beginTerm prepares for a new term as the leader. The silence of nodes counts from
// now on, since the reports to the former leader are not known here.
func (n *nodeRegistry) beginTerm(peers []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.termStart = n.clock.Now()
	clear(n.lastReports)
	clear(n.remote)
	for _, p := range peers {
		n.lastReports[p] = n.termStart
	}
}

// leasesExpired reports whether every lease that the worker's agent may hold has
// expired. A control process whose last report is older than maxReportAge may have
// answered the agent since, as long as its own state was fresh. The leases are
// therefore counted from that report if it is later than the agent's last
// heartbeat.
func (n *nodeRegistry) leasesExpired(worker string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock.Now()
	last := n.termStart
	if answeredAt := n.lastAnswered[worker]; answeredAt.After(last) {
		last = answeredAt
	}
	for _, reportedAt := range n.lastReports {
		if now.Sub(reportedAt) > maxReportAge && reportedAt.After(last) {
			last = reportedAt
		}
	}
	return now.Sub(last) > poll.LeaseTerm+leaseMargin
}

// list returns every known node, ordered by role and name.
func (n *nodeRegistry) list() []nodeInfo {
	n.mu.Lock()
	defer n.mu.Unlock()
	latest := map[string]nodeInfo{}
	for _, list := range []map[string]nodeInfo{n.remote, n.local} {
		for key, info := range list {
			if old, ok := latest[key]; !ok || info.LastAnswered.After(old.LastAnswered) {
				latest[key] = info
			}
		}
	}
	out := make([]nodeInfo, 0, len(latest))
	for _, info := range latest {
		out = append(out, info)
	}
	slices.SortFunc(out, func(a, b nodeInfo) int {
		return cmp.Or(cmp.Compare(a.Role, b.Role), cmp.Compare(a.Name, b.Name))
	})
	return out
}

// peerRevision returns the configuration revision that another control process
// last reported.
func (n *nodeRegistry) peerRevision(peer string) uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.peerRevisions[peer]
}
