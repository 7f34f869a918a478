package jobctl

import (
	"net"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/kern"
	"github.com/knapweedlug/knapweedlug/internal/replog"
)

// RoleName is the role's name in settings and towards its peers.
const RoleName = "jobctl"

// Settings are the role's part of the settings file.
type Settings struct {
	Address string   `json:"address" validate:"ipport" listen:"true" help:"IP:port on which other processes connect; it is also the replica's name"`
	Bind    string   `json:"bind" validate:"omitempty,ipport" help:"IP:port to listen on where others reach address by way of something else; empty is address itself"`
	Desk    string   `json:"desk" validate:"ipport" listen:"true" help:"IP:port of the operators' HTTP interface"`
	Seeds   []string `json:"seeds" validate:"dive,ipport" help:"operators' addresses of some control processes; only the hosts are used, with the port of address"`
	Data    string   `json:"data" help:"folder for the replicated log; without one the process passes calls on and holds nothing"`
	First   bool     `json:"first" help:"the whole system starts for the first time, with empty folders: the seeds found the cluster"`
	Losses  int      `json:"losses" validate:"min=0,max=4" help:"control processes with their folders that may be lost at once; twice as many and one more vote"`

	Catchup  float64 `json:"catchup" validate:"min=0" help:"seconds after the start of a replica in a new place by which it has to have taken the place of one that is gone; 0 is no bound"`
	HoldMs   int64   `json:"hold" validate:"min=1000" help:"milliseconds for which a worker lets runs go on at most without a word; leases are four fifths of it"`
	ThawMs   int64   `json:"thaw" validate:"min=0" help:"milliseconds that a worker may take to notice that a lease has ended"`
	Remote   float64 `json:"remote" validate:"min=1" help:"how many times as long work takes far from its data or over racks"`
	StatusS  int64   `json:"status" validate:"min=1" help:"seconds for which the end of a job can be asked for"`
	StopMs   int64   `json:"stop" validate:"min=0" help:"milliseconds that a worker takes at most to end a run"`
	Reclaim  int64   `json:"reclaim" validate:"min=0" help:"milliseconds after which work within a team's guarantee has to have begun"`
	RestoreM int64   `json:"restore" validate:"min=0" help:"milliseconds that a run needs to go on from a checkpoint"`
}

// Validate implements kern.Settings.
func (s *Settings) Validate() []kern.Problem {
	ps := kern.CheckStruct(s)
	if s.Data != "" && len(s.Seeds) == 0 {
		ps = append(ps, kern.Problem{Field: "seeds", Want: "at least one address where there is a data folder"})
	}
	return ps
}

// listen returns where the process listens for others.
func (s *Settings) listen() string {
	if s.Bind != "" {
		return s.Bind
	}
	return s.Address
}

// replicas returns the seeds as addresses of replicas: their hosts with the own
// port, which is the same everywhere.
func (s *Settings) replicas() []string {
	own, err := netip.ParseAddrPort(s.Address)
	if err != nil {
		return nil // Validate has refused it
	}
	return WithPort(s.Seeds, own.Port())
}

// WithPort returns addresses with another port, each once.
func WithPort(addrs []string, port uint16) []string {
	var list []string
	for _, a := range addrs {
		ap, err := netip.ParseAddrPort(a)
		if err != nil {
			continue // the settings' check has refused it
		}
		r := net.JoinHostPort(ap.Addr().String(), strconv.Itoa(int(port)))
		if !slices.Contains(list, r) {
			list = append(list, r)
		}
	}
	return list
}

// reclaimMargin is what deciding, committing and carrying out the stops and starts
// of a reclaim may take, besides the time that runs take to stop.
const reclaimMargin = time.Second

// patient returns how long work within a guarantee may wait for runs to end by
// themselves.
func (s *Settings) patient() time.Duration {
	return max(0, time.Duration(s.Reclaim-s.StopMs)*time.Millisecond-reclaimMargin)
}

const (
	// leastSilence is how long a voter is silent at least before it is replaced:
	// seven heartbeats, and more than an election time.
	leastSilence = 700 * time.Millisecond
	// mostSilence is enough for any bound: an election takes 1.2 s.
	mostSilence = 2 * time.Second
	// silenceShare of the bound is waited for the voter. The rest is for the start
	// of its successor, an election if it led, a snapshot, and three commits.
	silenceShare = 4
	// freshFactor is for how many times the bound a replica counts as one that has
	// just come. A planned stop comes once the bound has passed.
	freshFactor = 5
	// returnedFactor is the same for one that was a member. It may have given way to
	// the successor of another one, which is stopped once the bound has passed.
	returnedFactor = 2
	// spareAfter is how long a voter is silent before a spare takes its place. A
	// restart with a full disk takes less, as do most freezes.
	spareAfter = 8 * time.Second
)

// succession returns when a voter gives way to another replica.
func (s *Settings) succession() replog.SuccessionRule {
	bound := time.Duration(s.Catchup * float64(time.Second))
	return replog.SuccessionRule{
		Silence:  min(max(bound/silenceShare, leastSilence), mostSilence),
		Fresh:    freshFactor * bound,
		Returned: returnedFactor * bound,
		Patience: spareAfter,
	}
}

// drift bounds the rate error of a worker's clock, as the platform states it.
const drift = 0.02

// leaseMargin covers what no bound names: the delay of timers on both sides.
const leaseMargin = 200 * time.Millisecond

// leaseMs returns how long runs go on without a word from the leader. The rest
// of what a worker allows bears its slow clock and the age of its last reading.
func (s *Settings) leaseMs() int64 { return s.HoldMs * 4 / 5 }

// leaseEnds returns when a lease granted at a time has ended for certain, even
// on a slow clock.
func (s *Settings) leaseEnds(granted time.Time) time.Time {
	lease := time.Duration(s.leaseMs()) * time.Millisecond
	lease = time.Duration(float64(lease) / (1 - drift))
	return granted.Add(lease + time.Duration(s.ThawMs)*time.Millisecond + leaseMargin)
}

type role struct{}

func init() { kern.Register(role{}) }

// Name implements kern.Role.
func (role) Name() string { return RoleName }

// Defaults implements kern.Role.
func (role) Defaults() kern.Settings {
	return &Settings{
		Address: "127.0.0.1:7500", Desk: "127.0.0.1:7501", Losses: 1, Catchup: 4,
		HoldMs: 10000, ThawMs: 300, Remote: 3, StatusS: 120, StopMs: 400, Reclaim: 2900, RestoreM: 600,
	}
}

// New implements kern.Role.
func (role) New(env *kern.Env, s kern.Settings) (kern.Runner, error) {
	return New(env, s.(*Settings))
}
