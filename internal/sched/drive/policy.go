package drive

import (
	"github.com/knapweedlug/knapweedlug/internal/place"
	"github.com/knapweedlug/knapweedlug/internal/sched"
)

// Policy is a named set of options to compare.
type Policy struct {
	Name    string
	Options sched.Options
}

// Policies returns the baselines and the scheduler, with and without migration.
func Policies() []Policy {
	return []Policy{
		{"fifo-firstfit", sched.Options{Policy: place.FirstFit, StrictFIFO: true, NoMigration: true}},
		{"fifo-bestfit", sched.Options{Policy: place.BestFit, StrictFIFO: true, NoMigration: true}},
		{"backfill-firstfit", sched.Options{Policy: place.FirstFit, NoMigration: true}},
		{"backfill-bestfit", sched.Options{Policy: place.BestFit, NoMigration: true}},
		{"gradient", sched.Options{NoMigration: true}},
		{"gradient-migrate", sched.Options{}},
	}
}
