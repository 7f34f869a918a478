package route_test

import (
	"fmt"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/admit"
	"github.com/knapweedlug/knapweedlug/internal/route"
)

// Idle grants move to an entry that has requests queued.
func ExampleAllocator() {
	now := time.Unix(0, 0)
	a := route.NewAllocator(route.AllocatorOptions{Slots: 2, Reserve: 1})
	a.AddEntry("entry-1", now)
	a.AddEntry("entry-2", now)
	for _, update := range a.SetDemand("entry-2", admit.Demand{Borrowed: admit.Count{Short: 2}}, now) {
		fmt.Println(update.Kind, update.Grant.Entry, update.Grant.Class)
	}
	// Output:
	// revoke entry-1 any
	// grant entry-2 any
	// revoke entry-1 short
	// grant entry-2 short
}

// A backend server whose speed is unknown is preferred to one that is known to be
// slow.
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
