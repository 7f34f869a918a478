package sched_test

import (
	"fmt"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/sched"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// A team claims its guarantee while borrowed work runs on its workers. That
// work is told to stop, and the team's job starts once it has stopped.
func ExampleSched_Decide() {
	now := time.Date(2026, time.May, 1, 6, 0, 0, 0, time.UTC)
	s := sched.New(sched.Options{})
	s.SetWorker(model.Worker{Name: "w1", Rack: "k1", Domain: "d1", Region: "r1", Cores: 32, Memory: 128 << 30, Accels: 8, Speed: 1, State: model.WorkerReady}, now)
	whole := model.Shape{Members: 1, Cores: 16, Accels: 8, Proximity: model.ProximityWorker}
	s.SetTeam(model.Team{Name: "linen", Guarantees: []model.Guarantee{{Shape: whole, Count: 1}}}, now)
	render := model.Job{ID: "render", Team: "garden", Shape: whole, Stoppable: true, State: model.JobQueued, Submitted: now}
	rota := model.Job{ID: "rota", Team: "linen", Shape: whole, Urgency: model.Urgent, State: model.JobQueued, Submitted: now}

	s.SetJob(render, now)
	for _, d := range s.Decide(now) {
		fmt.Println(d.Kind, d.Job)
	}
	s.SetJob(rota, now)
	for _, d := range s.Decide(now) {
		fmt.Println(d.Kind, d.Job, d.Deadline.Sub(now))
	}
	s.DropJob("render")
	for _, d := range s.Decide(now) {
		fmt.Println(d.Kind, d.Job, "on", d.Members[0].Worker)
	}
	// Output:
	// place render
	// stop render 30s
	// place rota on w1
}
