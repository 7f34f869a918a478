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

func (sim *Simulation) recordEvent(e trace.Event) {
	if sim.Record == nil {
		return
	}
	e.OffsetMicros = sim.now.Microseconds()
	sim.Record(e)
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

// Header returns the trace header of the scenario.
func (s Scenario) Header() trace.Header {
	return trace.Header{
		Cluster: s.Name, Start: startTime, Slots: SlotsPerServer * s.ServerCount,
		Teams: s.Teams, Services: []model.Service{s.Service},
	}
}

// ErrServiceCount means that a trace doesn't have exactly one service.
var ErrServiceCount = errors.New("a replay needs exactly one service")

// FromTrace returns a scenario that replays a recorded trace on backend servers of
// equal speed. The run time of an answered request is the recorded one; that of any
// other request is the mean of its declared class.
func FromTrace(r *trace.Reader) (Scenario, error) {
	header := r.Header
	if len(header.Services) != 1 {
		return Scenario{}, ErrServiceCount
	}
	s := Scenario{
		Name: header.Cluster, Seed: 1, ServerCount: max(1, header.Slots/SlotsPerServer), SpeedSpread: 1,
		Teams: header.Teams, Service: header.Services[0],
	}
	runTimes := map[string]float64{}
	entryIndexes := map[string]int{}
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
			if _, ok := entryIndexes[e.Entry]; !ok {
				entryIndexes[e.Entry] = len(entryIndexes)
			}
			s.Jobs = append(s.Jobs, jobFromEvent(e, entryIndexes[e.Entry]))
		case trace.Answer:
			runTimes[e.ID] = (time.Duration(e.RunMicros) * time.Microsecond).Seconds()
		}
	}
	s.EntryCount = max(1, len(entryIndexes))
	s.setSizes(runTimes)
	return s, nil
}

func jobFromEvent(e trace.Event, entry int) Job {
	j := Job{
		ID: e.ID, Entry: entry, Team: e.Team, Urgency: e.Urgency, DeclaredClass: e.Class, DeclaredSizeMs: e.SizeMs,
		Arrival:  time.Duration(e.OffsetMicros) * time.Microsecond,
		Deadline: time.Duration(e.DeadlineMicros) * time.Microsecond,
	}
	if j.Urgency == "" {
		j.Urgency = model.Normal
	}
	return j
}

func (s *Scenario) setSizes(runTimes map[string]float64) {
	sums, counts := map[admit.Class]float64{}, map[admit.Class]float64{}
	for _, j := range s.Jobs {
		if size, ok := runTimes[j.ID]; ok {
			sums[j.DeclaredClass] += size
			counts[j.DeclaredClass]++
		}
	}
	shortLimit := float64(s.Service.ShortMs) / 1000
	for i := range s.Jobs {
		j := &s.Jobs[i]
		size, ok := runTimes[j.ID]
		if !ok {
			size = sums[j.DeclaredClass] / max(1, counts[j.DeclaredClass])
		}
		j.Size = max(size, 1e-6)
		j.Long = j.Size > shortLimit
	}
}

// Replay simulates a recorded trace under the policy of this system.
func Replay(r *trace.Reader) (*Simulation, error) {
	s, err := FromTrace(r)
	if err != nil {
		return nil, err
	}
	return Run(s, Credits), nil
}

func entryName(i int) string  { return "entry-" + strconv.Itoa(i) }
func serverName(i int) string { return "server-" + strconv.Itoa(i) }

// indexFromName returns the number at the end of a name of an entry or server.
func indexFromName(name string) int {
	i, err := strconv.Atoi(name[strings.LastIndexByte(name, '-')+1:])
	if err != nil {
		panic("name without a number: " + name)
	}
	return i
}
