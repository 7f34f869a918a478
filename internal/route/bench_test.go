package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/admit"
)

// BenchmarkPicker takes one request through grant, pick and done.
func BenchmarkPicker(b *testing.B) {
	for _, servers := range []int{10, 13_000} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			p, now := NewPicker(), time.Unix(0, 0)
			for i := range servers {
				name := fmt.Sprint("server-", i)
				p.Add(name)
				p.AddCredit(Credit{Server: name, ID: uint64(i), Class: admit.AnySlot})
			}
			took := 40 * time.Millisecond
			b.ReportAllocs()
			for b.Loop() {
				c, _ := p.Pick(admit.Short, now)
				took = 90*time.Millisecond - took
				p.Done(c.Server, Result{ExpectedRunTime: 45 * time.Millisecond, RunTime: took, OK: true}, now)
				p.AddCredit(c)
			}
		})
	}
}

// BenchmarkAllocator takes one request through take and free.
func BenchmarkAllocator(b *testing.B) {
	for _, entries := range []int{2, 16} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			s, now := NewAllocator(AllocatorOptions{Slots: 8, MaxReserve: 4}), time.Unix(0, 0)
			idle := []uint64{}
			collect := func(steps []GrantUpdate) {
				for _, step := range steps {
					if step.Kind == UpdateGrant {
						idle = append(idle, step.Grant.ID)
					}
				}
			}
			for i := range entries {
				collect(s.AddEntry(fmt.Sprint("entry-", i), now))
			}
			b.ReportAllocs()
			for b.Loop() {
				id := idle[len(idle)-1]
				idle = idle[:len(idle)-1]
				steps, err := s.Start(id, admit.Short, now)
				collect(steps)
				if err != nil {
					continue // was revoked meanwhile
				}
				collect(s.Finish(id, now))
			}
		})
	}
}
