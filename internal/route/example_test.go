package route_test

import (
	"fmt"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/admit"
	"github.com/knapweedlug/knapweedlug/internal/route"
)

// Idle grants move to the entry that has requests queued.
func ExampleAllocator() {
	now := time.Unix(0, 0)
	s := route.NewAllocator(route.AllocatorOptions{Slots: 2, Reserve: 1})
	s.AddEntry("entry-1", now)
	s.AddEntry("entry-2", now)
	for _, step := range s.SetDemand("entry-2", admit.Demand{Borrowed: admit.Count{Short: 2}}, now) {
		fmt.Println(step.Kind, step.Grant.Entry, step.Grant.Class)
	}
	// Output:
	// revoke entry-1 any
	// grant entry-2 any
	// revoke entry-1 short
	// grant entry-2 short
}

// The fastest backend server goes first, once its speed is known.
func ExamplePicker() {
	now := time.Unix(0, 0)
	p := route.NewPicker()
	for i, server := range []string{"server-1", "server-2"} {
		p.Add(server)
		p.AddCredit(route.Credit{Server: server, ID: uint64(i), Class: admit.AnySlot})
	}
	c, _ := p.Pick(admit.Long, now)
	p.Done(c.Server, route.Result{ExpectedRunTime: time.Second, RunTime: 2 * time.Second, OK: true}, now)
	p.AddCredit(c)
	c, _ = p.Pick(admit.Long, now)
	fmt.Println(c.Server)
	// Output: server-2
}
