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
				p.Grant(Credit{Server: name, ID: uint64(i), Class: admit.AnySlot})
			}
			took := 40 * time.Millisecond
			b.ReportAllocs()
			for b.Loop() {
				c, _ := p.Pick(admit.Short, now)
				took = 90*time.Millisecond - took
				p.Done(c.Server, Result{Expected: 45 * time.Millisecond, Took: took, OK: true}, now)
				p.Grant(c)
			}
		})
	}
}

// BenchmarkSplit measures one request from its start on a grant to its end.
func BenchmarkSplit(b *testing.B) {
	for _, entries := range []int{2, 16} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			s, now := NewSplit(SplitOptions{Slots: 8, ReserveMax: 4}), time.Unix(0, 0)
			idleIDs := []uint64{}
			collect := func(steps []Step) {
				for _, step := range steps {
					if step.Kind == StepGrant {
						idleIDs = append(idleIDs, step.Grant.ID)
					}
				}
			}
			for i := range entries {
				collect(s.Join(fmt.Sprint("entry-", i), now))
			}
			b.ReportAllocs()
			for b.Loop() {
				id := idleIDs[len(idleIDs)-1]
				idleIDs = idleIDs[:len(idleIDs)-1]
				steps, err := s.Take(id, admit.Short, now)
				collect(steps)
				if err != nil {
					continue // the grant has been revoked
				}
				collect(s.Free(id, now))
			}
		})
	}
}
