package sched

import (
	"time"

	"github.com/knapweedlug/knapweedlug/internal/place"
)

// Options configure the decisions. Zero fields take the values of Defaults.
type Options struct {
	Policy           place.Policy  // how searches choose among workers
	StrictFIFO       bool          // baseline: strict order of submission, no backfill, no migration
	NoMigration      bool          // never move work to make room for a gang or to defragment
	CheckpointGrace  time.Duration // time that stopped work has to write its checkpoint
	StarvingAfter    time.Duration // how long a gang waits before room is made or reserved for it
	MaxReservations  int           // highest number of gangs with a reservation
	MaxFailedWorkers int           // healthy workers that a job fails on before it ends as failed
	MaxFailedJobs    int           // different jobs that fail on a worker before it is quarantined
	ProbeAfter       time.Duration // time from the quarantine to the first probe
	MaxProbeInterval time.Duration // longest time between two probes
}

// Defaults returns the options for production.
func Defaults() Options {
	return Options{
		Policy:           place.Gradient,
		CheckpointGrace:  30 * time.Second,
		StarvingAfter:    time.Minute,
		MaxReservations:  4,
		MaxFailedWorkers: 3,
		MaxFailedJobs:    3,
		ProbeAfter:       time.Minute,
		MaxProbeInterval: time.Hour,
	}
}

func orDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

func (o Options) withDefaults() Options {
	d := Defaults()
	orDefault(&o.Policy, d.Policy)
	orDefault(&o.CheckpointGrace, d.CheckpointGrace)
	orDefault(&o.StarvingAfter, d.StarvingAfter)
	orDefault(&o.MaxReservations, d.MaxReservations)
	orDefault(&o.MaxFailedWorkers, d.MaxFailedWorkers)
	orDefault(&o.MaxFailedJobs, d.MaxFailedJobs)
	orDefault(&o.ProbeAfter, d.ProbeAfter)
	orDefault(&o.MaxProbeInterval, d.MaxProbeInterval)
	return o
}
