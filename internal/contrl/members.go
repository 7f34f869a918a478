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
		out.Members = append(out.Members, c.member(st, m, peers))
	}
	for _, a := range st.WaitingReplicas {
		out.Members = append(out.Members, client.Member{
			Name: a.Name, Addr: c.cfg.Peers[a.Name], Role: client.MemberWaiting, Repair: client.RepairNone, Live: true,
		})
	}
	return out
}

func (c *Control) member(st replog.Status, m replog.Member, peers map[string]replog.PeerStatus) client.Member {
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
	out.Repair = repairOf(st, m, p)
	return out
}

// repairOf says how far the repair of a member has come. It is done only once
// the leader has committed the new member as a voter and the old one's removal.
func repairOf(st replog.Status, m replog.Member, p replog.PeerStatus) client.RepairState {
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

// controlProcesses lists the control processes, which all hold the log itself.
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

// apiMember changes the membership. Every change is idempotent: asking again
// for what is already so is an answer.
func apiMember(ctx context.Context, call *apiCall) (any, error) {
	var ch client.MemberChange
	if err := call.read(&ch); err != nil {
		return nil, err
	}
	if ch.Name == "" {
		return nil, invalid("name", "is missing")
	}
	if _, known := call.c.cfg.Peers[ch.Name]; !known && ch.Verb != client.MemberRemove {
		return nil, invalid("name", ch.Name+" is not in the peers of the settings")
	}
	if err := call.changeMember(ctx, ch); err != nil {
		return nil, memberFault(err)
	}
	return call.c.memberList(), nil
}

func (call *apiCall) changeMember(ctx context.Context, ch client.MemberChange) error {
	node := call.c.node
	switch ch.Verb {
	case client.MemberAdd:
		return node.AddLearner(ctx, ch.Name)
	case client.MemberPromote:
		return node.Promote(ctx, ch.Name)
	case client.MemberRemove:
		return node.Remove(ctx, ch.Name)
	case client.MemberReplace:
		with := ch.Replacement
		if with == "" {
			with = ch.Name
		}
		return node.Replace(ctx, ch.Name, with)
	}
	return invalid("verb", "want add, promote, remove or replace")
}

func memberFault(err error) error {
	f := &apiFault{status: http.StatusConflict, code: client.CodeConflict, field: "name", text: err.Error()}
	var already *apiFault
	switch {
	case errors.As(err, &already):
		return already
	case errors.Is(err, replog.ErrNoReplica):
		f.status, f.code = http.StatusNotFound, client.CodeNotFound
	case errors.Is(err, replog.ErrNotCaughtUp), errors.Is(err, replog.ErrNoQuorum):
		f.status, f.code = http.StatusUnprocessableEntity, client.CodeRefused
	case errors.Is(err, replog.ErrAlreadyMember), errors.Is(err, replog.ErrChangePending), errors.Is(err, replog.ErrAmbiguous):
	default:
		return notLeader(err)
	}
	return f
}
