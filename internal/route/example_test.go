package route_test

import (
	"fmt"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/admit"
	"github.com/knapweedlug/knapweedlug/internal/route"
)

// Idle grants move to an entry that has requests queued.
func ExampleSplit() {
	now := time.Unix(0, 0)
	s := route.NewSplit(route.SplitOptions{Slots: 2, Reserve: 1})
	s.Join("entry-1", now)
	s.Join("entry-2", now)
	for _, step := range s.Demand("entry-2", admit.Demand{Borrowed: admit.Count{Short: 2}}, now) {
		fmt.Println(step.Kind, step.Grant.Entry, step.Grant.Class)
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
		p.Grant(route.Credit{Server: server, ID: uint64(i), Class: admit.AnySlot})
	}
	c, _ := p.Pick(admit.Long, now)
	p.Done(c.Server, route.Result{Expected: time.Second, Took: 2 * time.Second, OK: true}, now)
	p.Grant(c)
	c, _ = p.Pick(admit.Long, now)
	fmt.Println(c.Server)
	// Output: server-2
}
