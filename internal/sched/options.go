package sched

import (
	"time"

	"github.com/knapweedlug/knapweedlug/internal/place"
)

// Options tune the decisions. Zero fields take the values of Defaults.
type Options struct {
	Policy       place.Policy  // how places are chosen
	Strict       bool          // baseline: strictly in order of submission, no backfill, no migration
	NoMigration  bool          // never move stoppable work to make room for a starving gang
	Grace        time.Duration // what stopped work gets to write its checkpoint
	Patience     time.Duration // how long the first waiting gang waits before room is reserved
	Reservations int           // gangs that room is reserved for at one time
	JobWorkers   int           // healthy workers that a job may fail on before it is stopped
	WorkerJobs   int           // jobs that may fail on a worker before it is quarantined
	ProbeAfter   time.Duration // from the quarantine to the first probe
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
