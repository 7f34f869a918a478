package contrl

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/knapweedlug/knapweedlug/internal/replog"
	"github.com/knapweedlug/knapweedlug/pkg/client"
)

// apiMembers lists the replicas of the log as the leader sees them.
func apiMembers(_ context.Context, call *apiCall) (any, error) {
	return call.c.memberList(), nil
}

func (c *Control) memberList() client.MemberList {
	st := c.node.Status()
	out := client.MemberList{Term: st.Term, CommitIndex: st.Commit, Members: []client.Member{}}
	peers := map[string]replog.PeerStatus{}
	for _, p := range st.Peers {
		peers[p.Incarnation] = p
	}
	for _, m := range st.Members {
		out.Members = append(out.Members, c.memberStatus(st, m, peers))
	}
	for _, waiting := range st.WaitingReplicas {
		out.Members = append(out.Members, client.Member{
			Name: waiting.Name, Addr: c.cfg.Peers[waiting.Name], Role: client.MemberWaiting, Repair: client.RepairNone, Live: true,
		})
	}
	return out
}

func (c *Control) memberStatus(st replog.Status, m replog.Member, peers map[string]replog.PeerStatus) client.Member {
	out := client.Member{Name: m.Name, Addr: c.cfg.Peers[m.Name], Role: client.MemberFollower, Repair: client.RepairNone}
	if m.Role == replog.Learner {
		out.Role = client.MemberLearner
	}
	if m.Incarnation == st.Incarnation {
		out.Role, out.MatchIndex, out.Live = client.MemberLeader, st.SavedIndex, true
		return out
	}
	p, ok := peers[m.Incarnation]
	if !ok {
		return out
	}
	out.MatchIndex = p.Match
	out.Lag = st.LastIndex - min(st.LastIndex, p.Match)
	out.Live = c.env.Clock.Now().Sub(p.LastHeard) < replog.DefaultElectionTimeout
	out.Repair = repairState(st, m, p)
	return out
}

// repairState returns the state of a member's repair. It is done only once the
// leader has committed that the new member is a voter and the old one removed.
func repairState(st replog.Status, m replog.Member, p replog.PeerStatus) client.RepairState {
	for _, r := range st.Repairs {
		switch {
		case r.Incarnation != m.Incarnation:
		case r.Done:
			return client.RepairDone
		case p.State == replog.Transfer:
			return client.RepairSnapshot
		default:
			return client.RepairTail
		}
	}
	return client.RepairNone
}

// controlProcesses returns the status of every control process.
func (c *Control) controlProcesses() []client.Process {
	st := c.node.Status()
	now := c.env.Clock.Now()
	revision := c.state.View().Revision()
	out := []client.Process{{
		Name: c.name, Role: RoleName, Domain: c.env.Node.Domain, Revision: revision, Fresh: c.fresh(), LastSeen: now,
	}}
	for _, p := range st.Peers {
		if p.Incarnation == st.Incarnation {
			continue
		}
		out = append(out, client.Process{
			Name: p.Name, Role: RoleName, Revision: c.nodes.peerRevision(p.Name),
			Fresh: now.Sub(p.LastHeard) < replog.DefaultElectionTimeout, LastSeen: p.LastHeard,
		})
	}
	return out
}

// apiChangeMember changes the membership. Every change is idempotent: one that is
// already in effect succeeds again.
func apiChangeMember(ctx context.Context, call *apiCall) (any, error) {
	var change client.MemberChange
	if err := call.decodeBody(&change); err != nil {
		return nil, err
	}
	if change.Name == "" {
		return nil, invalidField("name", "is missing")
	}
	if _, known := call.c.cfg.Peers[change.Name]; !known && change.Verb != client.MemberRemove {
		return nil, invalidField("name", change.Name+" is not in the peers of the settings")
	}
	if err := call.changeMember(ctx, change); err != nil {
		return nil, memberError(err)
	}
	return call.c.memberList(), nil
}

func (call *apiCall) changeMember(ctx context.Context, change client.MemberChange) error {
	node := call.c.node
	switch change.Verb {
	case client.MemberAdd:
		return node.AddLearner(ctx, change.Name)
	case client.MemberPromote:
		return node.Promote(ctx, change.Name)
	case client.MemberRemove:
		return node.Remove(ctx, change.Name)
	case client.MemberReplace:
		replacement := change.Replacement
		if replacement == "" {
			replacement = change.Name
		}
		return node.Replace(ctx, change.Name, replacement)
	}
	return invalidField("verb", "want add, promote, remove or replace")
}

// memberError converts an error of a membership change into a refusal.
func memberError(err error) error {
	refusal := &apiError{status: http.StatusConflict, code: client.CodeConflict, field: "name", message: err.Error()}
	var existing *apiError
	switch {
	case errors.As(err, &existing):
		return existing
	case errors.Is(err, replog.ErrNoReplica):
		refusal.status, refusal.code = http.StatusNotFound, client.CodeNotFound
	case errors.Is(err, replog.ErrNotCaughtUp), errors.Is(err, replog.ErrNoQuorum):
		refusal.status, refusal.code = http.StatusUnprocessableEntity, client.CodeRefused
	case errors.Is(err, replog.ErrAlreadyMember), errors.Is(err, replog.ErrChangePending), errors.Is(err, replog.ErrAmbiguous):
	default:
		return notLeader(err)
	}
	return refusal
}
