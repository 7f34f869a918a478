package sched

import (
	"time"

	"github.com/knapweedlug/knapweedlug/internal/place"
)

// Options configure the decisions. Zero fields take the values of Defaults.
type Options struct {
	Policy       place.Policy  // how searches choose among workers
	Strict       bool          // baseline: strict order of submission, no backfill, no migration
	NoMigration  bool          // never move work to make room for a gang or to defragment
	Grace        time.Duration // time that stopped work has to write its checkpoint
	Patience     time.Duration // how long a gang waits before room is made or reserved for it
	Reservations int           // highest number of gangs with a reservation
	JobWorkers   int           // healthy workers that a job fails on before it ends as failed
	WorkerJobs   int           // different jobs that fail on a worker before it is quarantined
	ProbeAfter   time.Duration // time from the quarantine to the first probe
	ProbeMax     time.Duration // longest time between two probes
}

// Defaults returns the options for production.
func Defaults() Options {
	return Options{
		Policy:       place.Gradient,
		Grace:        30 * time.Second,
		Patience:     time.Minute,
		Reservations: 4,
		JobWorkers:   3,
		WorkerJobs:   3,
		ProbeAfter:   time.Minute,
		ProbeMax:     time.Hour,
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
	orDefault(&o.Grace, d.Grace)
	orDefault(&o.Patience, d.Patience)
	orDefault(&o.Reservations, d.Reservations)
	orDefault(&o.JobWorkers, d.JobWorkers)
	orDefault(&o.WorkerJobs, d.WorkerJobs)
	orDefault(&o.ProbeAfter, d.ProbeAfter)
	orDefault(&o.ProbeMax, d.ProbeMax)
	return o
}
