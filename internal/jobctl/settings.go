package jobctl

import (
	"net"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/allot"
	"github.com/knapweedlug/knapweedlug/internal/kern"
	"github.com/knapweedlug/knapweedlug/internal/replog"
)

// RoleName is the name of the role in the settings file and in the wire protocol.
const RoleName = "jobctl"

// Settings is the role's section of the settings file.
type Settings struct {
	Address         string   `json:"address" validate:"ipport" listen:"true" help:"IP:port on which other processes connect; it is also the replica's name"`
	Bind            string   `json:"bind" validate:"omitempty,ipport" help:"IP:port to listen on if other processes reach address through a proxy or translation; empty means address"`
	OperatorAddress string   `json:"desk" validate:"ipport" listen:"true" help:"IP:port of the operators' HTTP interface"`
	Seeds           []string `json:"seeds" validate:"dive,ipport" help:"operators' addresses of some control processes; only the hosts are used, with the port of address"`
	DataDir         string   `json:"data" help:"directory of the replicated log; if empty, the process stores nothing and forwards calls to the leader"`
	FirstStart      bool     `json:"first" help:"first start of the whole system, with empty data directories: the seeds form the cluster"`
	MaxLosses       int      `json:"losses" validate:"min=0,max=4" help:"control processes that may be lost at the same time together with their data; the number of voters is twice this plus one"`

	CatchupSeconds   float64  `json:"catchup" validate:"min=0" help:"seconds after its start within which a new replica has to have replaced a lost one; 0 means no limit"`
	RenewalTimeoutMs int64    `json:"hold" validate:"min=1000" help:"maximum time in milliseconds for which a worker continues runs without a lease renewal"`
	ExpiryDelayMs    int64    `json:"thaw" validate:"min=0" help:"maximum time in milliseconds for a worker to notice that a lease has ended"`
	RemoteFactor     float64  `json:"remote" validate:"min=1" help:"factor by which tasks are slower away from their data or spread over racks"`
	ColdFactor       float64  `json:"cold" validate:"omitempty,min=1" help:"factor by which tasks are slower on a worker that says that it is cold after its start; 0 means that it isn't known, and cold workers count like others"`
	ShareDifference  float64  `json:"shares" validate:"min=0,max=1" help:"least difference of two teams' shares of the fleet that puts the work of one before that of the other where there is too little room, besides an equal share; 1 means that only deadlines count"`
	StatusRetentionS int64    `json:"status" validate:"min=1" help:"seconds after its end for which the status of a job can be read"`
	MaxStopMs        int64    `json:"stop" validate:"min=0" help:"maximum time in milliseconds for a worker to stop a run"`
	ReclaimMs        int64    `json:"reclaim" validate:"min=0" help:"milliseconds within which tasks covered by a team's guarantee have to start"`
	Domains          []string `json:"domains" help:"failure domains that may be evacuated; if empty, any name is accepted"`
	EvacuateMs       int64    `json:"evacuate" validate:"min=0" help:"milliseconds after the acknowledgement of an evacuation from which nothing starts in the failure domain, also where an agent is cut off; 0 means that only the lease bounds that"`
	RestoreMs        int64    `json:"restore" validate:"min=0" help:"milliseconds that a run needs to resume from a checkpoint"`

	Stops           allot.StopRule  `json:"stops" validate:"omitempty,oneof=each whole" help:"how the loss by stopping runs for others is estimated: each (workers one by one, the same wait for all restarts) or whole (also gangs that cover several workers; restarts wait for what waits)"`
	Admission       AdmissionPolicy `json:"admission" validate:"omitempty,oneof=all forecast" help:"which jobs are accepted: all, or by forecast, which refuses those that can't be complete while that has a value"`
	RememberSeconds float64         `json:"remember" validate:"min=0,max=3600" help:"seconds for which a refused job keeps its place after the time at which its caller was told to come back"`
}

// Validate implements kern.Settings.
func (s *Settings) Validate() []kern.Problem {
	ps := kern.CheckStruct(s)
	if s.DataDir != "" && len(s.Seeds) == 0 {
		ps = append(ps, kern.Problem{Field: "seeds", Want: "at least one address if data is set"})
	}
	return ps
}

// listenAddress returns the address on which the process listens for other processes.
func (s *Settings) listenAddress() string {
	if s.Bind != "" {
		return s.Bind
	}
	return s.Address
}

// seedReplicas returns the replica addresses of the seeds: their hosts with the port of
// this process's own address, which is the same on all replicas.
func (s *Settings) seedReplicas() []string {
	own, err := netip.ParseAddrPort(s.Address)
	if err != nil {
		return nil // rejected by Validate
	}
	return WithPort(s.Seeds, own.Port())
}

// WithPort returns addresses with their port replaced and duplicates removed.
func WithPort(addrs []string, port uint16) []string {
	var list []string
	for _, a := range addrs {
		ap, err := netip.ParseAddrPort(a)
		if err != nil {
			continue // rejected when the settings were validated
		}
		r := net.JoinHostPort(ap.Addr().String(), strconv.Itoa(int(port)))
		if !slices.Contains(list, r) {
			list = append(list, r)
		}
	}
	return list
}

// reclaimMargin is the time allowed for planning, committing and ordering the stops and
// starts of a reclaim, besides the time that runs take to stop.
const reclaimMargin = time.Second

// maxReclaimWait returns how long tasks covered by a guarantee may wait for runs to end
// by themselves before runs are stopped.
func (s *Settings) maxReclaimWait() time.Duration {
	return max(0, time.Duration(s.ReclaimMs-s.MaxStopMs)*time.Millisecond-reclaimMargin)
}

const (
	// minVoterSilence is the minimum time for which a voter has to be silent before it
	// is replaced: seven heartbeat intervals, and more than an election timeout.
	minVoterSilence = 700 * time.Millisecond
	// maxVoterSilence is the maximum of that time. It is enough whatever the catchup
	// limit, since an election takes 1.2 s.
	maxVoterSilence = 2 * time.Second
	// silenceDivisor divides the catchup limit to give the time for which a voter has to
	// be silent. The rest of the limit is for the start of its successor, an election if
	// the voter led, a snapshot, and three commits.
	silenceDivisor = 4
	// newReplicaFactor is how long a waiting replica counts as new, in multiples of the
	// catchup limit. A planned stop of the voter that it replaces comes once the limit
	// has passed.
	newReplicaFactor = 5
	// returningReplicaFactor is the same for a replica that was a member before. It may
	// have been replaced by the successor of another voter, which is stopped once the
	// limit has passed.
	returningReplicaFactor = 2
	// spareReplacementDelay is how long a voter has to be silent before a spare replica
	// replaces it. Restarts with a full disk and most freezes are shorter.
	spareReplacementDelay = 8 * time.Second
)

// replacementPolicy returns the rule for replacing a voter by another replica.
func (s *Settings) replacementPolicy() replog.ReplacementPolicy {
	limit := time.Duration(s.CatchupSeconds * float64(time.Second))
	return replog.ReplacementPolicy{
		ReplaceByNewcomerAfter: min(max(limit/silenceDivisor, minVoterSilence), maxVoterSilence),
		NewcomerPeriod:         newReplicaFactor * limit,
		ReturnedPeriod:         returningReplicaFactor * limit,
		ReplaceBySpareAfter:    spareReplacementDelay,
	}
}

// leaseTerms returns the terms for the leases of workers.
func (s *Settings) leaseTerms() LeaseTerms {
	return LeaseTerms{
		RenewalTimeout: time.Duration(s.RenewalTimeoutMs) * time.Millisecond,
		ExpiryDelay:    time.Duration(s.ExpiryDelayMs) * time.Millisecond,
	}
}

// leaseEnd returns when a lease granted at a given time has ended for certain.
func (s *Settings) leaseEnd(granted time.Time, draining bool) time.Time {
	return s.leaseTerms().CertainEnd(granted, s.leaseTerms().Grant(draining))
}

// role registers the package's role with kern.
type role struct{}

func init() { kern.Register(role{}) }

// Name implements kern.Role.
func (role) Name() string { return RoleName }

// Defaults implements kern.Role.
func (role) Defaults() kern.Settings {
	return &Settings{
		Address: "127.0.0.1:7500", OperatorAddress: "127.0.0.1:7501", MaxLosses: 1, CatchupSeconds: 4,
		RenewalTimeoutMs: 10000, ExpiryDelayMs: 300, RemoteFactor: 3, ShareDifference: 1, StatusRetentionS: 120, MaxStopMs: 400, ReclaimMs: 2900, RestoreMs: 600,
		Stops: allot.StopsEach, Admission: AdmitAll, RememberSeconds: 30,
	}
}

// New implements kern.Role.
func (role) New(env *kern.Env, s kern.Settings) (kern.Runner, error) {
	return New(env, s.(*Settings))
}
