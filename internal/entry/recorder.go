package entry

import (
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/knapweedlug/knapweedlug/internal/conf"
	"github.com/knapweedlug/knapweedlug/internal/kern"
	"github.com/knapweedlug/knapweedlug/internal/trace"
	"github.com/knapweedlug/knapweedlug/pkg/client"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// recorder writes a trace of all requests to a file. A nil recorder does nothing.
type recorder struct {
	path      string
	entryName string
	clock     kern.Clock
	log       *zap.Logger

	mu            sync.Mutex
	file          *os.File
	w             *trace.Writer
	startTime     time.Time
	unusedCredits map[creditKey]bool // tracked also before the trace is opened
}

// creditKey identifies a credit of an agent.
type creditKey struct {
	agent    string
	creditID uint64
}

// newRecorder returns a recorder for the file, or nil if path is empty.
func newRecorder(path string, env *kern.Env) *recorder {
	if path == "" {
		return nil
	}
	return &recorder{path: path, entryName: env.Node.Name, clock: env.Clock, log: env.Log, unusedCredits: map[creditKey]bool{}}
}

// start opens the trace unless it is open. It is called once the configuration
// is known, which the trace's header contains.
func (r *recorder) start(cluster string, cfg conf.Config, slots int) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.file != nil {
		return
	}
	if err := r.open(cluster, cfg, slots); err != nil {
		r.log.Error("trace can't be recorded", zap.String("file", r.path), zap.Error(err))
	}
}

// open creates the file and writes the header and the credits unused so far. The
// caller holds r.mu.
func (r *recorder) open(cluster string, cfg conf.Config, slots int) error {
	file, err := os.Create(r.path)
	if err != nil {
		return errors.Wrap(err, "create trace")
	}
	r.file, r.startTime = file, r.clock.Now()
	r.w, err = trace.NewWriter(file, trace.Header{
		Cluster: cluster, Start: r.startTime, Slots: slots, Teams: teamsWithoutKeys(cfg), Services: cfg.Services(),
	})
	if err != nil {
		return err
	}
	for key := range r.unusedCredits {
		r.writeEvent(trace.Event{Kind: trace.Grant, Server: key.agent, CreditID: key.creditID})
	}
	return nil
}

// record records an event with the current time.
func (r *recorder) record(e trace.Event) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.trackCredits(e)
	if r.w == nil {
		return
	}
	r.writeEvent(e)
}

// trackCredits updates the set of unused credits. The caller holds r.mu.
func (r *recorder) trackCredits(e trace.Event) {
	key := creditKey{e.Server, e.CreditID}
	switch e.Kind {
	case trace.Grant:
		r.unusedCredits[key] = true
	case trace.Revoke, trace.Send:
		delete(r.unusedCredits, key)
	}
}

// writeEvent writes an event. An event with an invalid field is left out; any other
// error ends the trace. The caller holds r.mu.
func (r *recorder) writeEvent(e trace.Event) {
	e.OffsetMicros = r.clock.Now().Sub(r.startTime).Microseconds()
	e.Entry = r.entryName
	var fieldErr *trace.FieldError
	err := r.w.Write(e)
	if err != nil && !errors.As(err, &fieldErr) {
		r.log.Error("trace ended", zap.Error(err))
		r.w = nil
	}
}

// flush writes buffered events to the file.
func (r *recorder) flush() {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.w == nil {
		return
	}
	if err := r.w.Flush(); err != nil {
		r.log.Error("trace ended", zap.Error(err))
		r.w = nil
	}
}

// recordArrival records the arrival of a request.
func (r *recorder) recordArrival(cr *callRequest) {
	if r == nil {
		return
	}
	r.mu.Lock()
	startTime := r.startTime
	r.mu.Unlock()
	r.record(trace.Event{
		Kind: trace.Arrive, ID: cr.ID, Team: cr.Team, Service: cr.Service, Urgency: cr.Urgency,
		DeadlineMicros: cr.Deadline.Sub(startTime).Microseconds(), Class: cr.DeclaredClass, SizeMs: cr.DeclaredMs, AtMostOnce: !cr.Idempotent, Key: cr.Key,
	})
}

// recordOutcome records the outcome that the caller was told.
func (r *recorder) recordOutcome(cr *callRequest, res result) {
	if r == nil {
		return
	}
	e := trace.Event{Kind: trace.Answer, ID: cr.ID, Reason: string(res.code)}
	switch res.outcome {
	case client.OutcomeNotRun:
		e.Kind = trace.Refuse
	case client.OutcomeUnknown:
		e.Kind = trace.Unknown
	}
	r.record(e)
}

// teamsWithoutKeys returns the configured teams without their keys, which mustn't
// appear in a trace.
func teamsWithoutKeys(cfg conf.Config) []model.Team {
	teams := cfg.Teams()
	for i := range teams {
		teams[i].Keys = nil
	}
	return teams
}
