package load

import (
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedlug/knapweedlug/internal/admit"
	"github.com/knapweedlug/knapweedlug/internal/trace"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

func (w *Simulation) record(e trace.Event) {
	if w.Record == nil {
		return
	}
	e.OffsetMicros = w.now.Microseconds()
	w.Record(e)
}

func arriveEvent(j *Job, r admit.Request) trace.Event {
	e := trace.Event{
		Kind: trace.Arrive, ID: j.ID, Entry: entryName(j.Entry), Team: j.Team, Service: r.Service,
		Urgency: j.Urgency, DeadlineMicros: j.Deadline.Microseconds(), Class: j.DeclaredClass, SizeMs: j.DeclaredSizeMs,
	}
	if e.Urgency == model.Normal {
		e.Urgency = ""
	}
	return e
}

func refuseEvent(id string, err error) trace.Event {
	var refusal *admit.Refusal
	if errors.As(err, &refusal) {
		err = refusal.Reason
	}
	return trace.Event{Kind: trace.Refuse, ID: id, Reason: err.Error()}
}

// Header returns the header of a trace of the scenario.
func (s Scenario) Header() trace.Header {
	return trace.Header{
		Cluster: s.Name, Start: epoch, Slots: SlotsPerServer * s.ServerCount,
		Teams: s.Teams, Services: []model.Service{s.Service},
	}
}

// ErrServiceCount is the error for a trace that doesn't have exactly one service.
var ErrServiceCount = errors.New("a replay needs exactly one service")

// FromTrace returns the scenario of a recorded trace, to be run again on
// backend servers of equal speed. The run time of a request that was answered
// is the recorded one, that of any other the mean of its declared class.
func FromTrace(r *trace.Reader) (Scenario, error) {
	h := r.Header
	if len(h.Services) != 1 {
		return Scenario{}, ErrServiceCount
	}
	s := Scenario{
		Name: h.Cluster, Seed: 1, ServerCount: max(1, h.Slots/SlotsPerServer), SpeedSpread: 1,
		Teams: h.Teams, Service: h.Services[0],
	}
	took := map[string]float64{}
	entries := map[string]int{}
	for {
		e, err := r.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return Scenario{}, err
		}
		switch e.Kind {
		case trace.Arrive:
			if _, ok := entries[e.Entry]; !ok {
				entries[e.Entry] = len(entries)
			}
			s.Jobs = append(s.Jobs, jobOf(e, entries[e.Entry]))
		case trace.Answer:
			took[e.ID] = (time.Duration(e.RunMicros) * time.Microsecond).Seconds()
		}
	}
	s.EntryCount = max(1, len(entries))
	s.fillSizes(took)
	return s, nil
}

func jobOf(e trace.Event, entry int) Job {
	j := Job{
		ID: e.ID, Entry: entry, Team: e.Team, Urgency: e.Urgency, DeclaredClass: e.Class, DeclaredSizeMs: e.SizeMs,
		Arrival:   time.Duration(e.OffsetMicros) * time.Microsecond,
		Deadline: time.Duration(e.DeadlineMicros) * time.Microsecond,
	}
	if j.Urgency == "" {
		j.Urgency = model.Normal
	}
	return j
}

func (s *Scenario) fillSizes(took map[string]float64) {
	sum, n := map[admit.Class]float64{}, map[admit.Class]float64{}
	for _, j := range s.Jobs {
		if size, ok := took[j.ID]; ok {
			sum[j.DeclaredClass] += size
			n[j.DeclaredClass]++
		}
	}
	limit := float64(s.Service.ShortMs) / 1000
	for i := range s.Jobs {
		j := &s.Jobs[i]
		size, ok := took[j.ID]
		if !ok {
			size = sum[j.DeclaredClass] / max(1, n[j.DeclaredClass])
		}
		j.Size = max(size, 1e-6)
		j.Long = j.Size > limit
	}
}

// Replay runs the project's own policy on a trace.
func Replay(r *trace.Reader) (*Simulation, error) {
	s, err := FromTrace(r)
	if err != nil {
		return nil, err
	}
	return Run(s, Credits), nil
}

func entryName(i int) string  { return "entry-" + strconv.Itoa(i) }
func serverName(i int) string { return "server-" + strconv.Itoa(i) }

// indexOf returns the number at the end of a name.
func indexOf(name string) int {
	i, err := strconv.Atoi(name[strings.LastIndexByte(name, '-')+1:])
	if err != nil {
		panic("name without a number: " + name)
	}
	return i
}
