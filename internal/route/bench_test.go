package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/admit"
)

// BenchmarkPicker measures one request: grant, pick and done.
func BenchmarkPicker(b *testing.B) {
	for _, servers := range []int{10, 13_000} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			p, now := NewPicker(), time.Unix(0, 0)
			for i := range servers {
				name := fmt.Sprint("server-", i)
				p.Add(name)
				p.AddCredit(Credit{Server: name, ID: uint64(i), Class: admit.AnySlot})
			}
			runTime := 40 * time.Millisecond
			b.ReportAllocs()
			for b.Loop() {
				c, _ := p.Pick(admit.Short, now)
				runTime = 90*time.Millisecond - runTime
				p.Done(c.Server, Result{ExpectedRunTime: 45 * time.Millisecond, RunTime: runTime, OK: true}, now)
				p.AddCredit(c)
			}
		})
	}
}

// BenchmarkAllocator measures one request from its start on a grant to its end.
func BenchmarkAllocator(b *testing.B) {
	for _, entries := range []int{2, 16} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			a, now := NewAllocator(AllocatorOptions{Slots: 8, MaxReserve: 4}), time.Unix(0, 0)
			idleIDs := []uint64{}
			collect := func(updates []GrantUpdate) {
				for _, update := range updates {
					if update.Kind == UpdateGrant {
						idleIDs = append(idleIDs, update.Grant.ID)
					}
				}
			}
			for i := range entries {
				collect(a.AddEntry(fmt.Sprint("entry-", i), now))
			}
			b.ReportAllocs()
			for b.Loop() {
				id := idleIDs[len(idleIDs)-1]
				idleIDs = idleIDs[:len(idleIDs)-1]
				updates, err := a.Start(id, admit.Short, now)
				collect(updates)
				if err != nil {
					continue // the grant has been revoked
				}
				collect(a.Finish(id, now))
			}
		})
	}
}
