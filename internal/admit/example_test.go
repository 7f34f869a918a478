package admit_test

import (
	"fmt"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/admit"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// An urgent request is served before a normal one of the same team.
func ExampleQueue() {
	now := time.Unix(0, 0)
	q := admit.New(admit.Options{})
	q.SetTeams([]model.Team{{Name: "linen", Slots: 4, Weight: 1}})
	q.SetServices([]model.Service{{Name: "rota", ShortMs: 100, LimitMs: 2000}})
	q.SetCapacity("rota", 8, 1)

	_ = q.Push(admit.Request{ID: "a", Team: "linen", Service: "rota", Idempotent: true}, now)
	_ = q.Push(admit.Request{ID: "b", Team: "linen", Service: "rota", Idempotent: true, Urgency: model.Urgent}, now)
	r, _ := q.Pop("rota", admit.AnySlot, now)
	fmt.Println(r.ID, r.Class)

	err := q.Push(admit.Request{ID: "c", Team: "linen", Service: "rota"}, now)
	fmt.Println(err)
	// Output:
	// b short
	// key: a request that is not idempotent needs a key
}
