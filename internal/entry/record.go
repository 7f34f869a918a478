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

// recorder writes a trace of all requests. A nil recorder writes nothing.
type recorder struct {
	path  string
	entry string
	clock kern.Clock
	log   *zap.Logger

	mu    sync.Mutex
	file  *os.File
	w     *trace.Writer
	start time.Time
	held  map[slotKey]bool // credits that are held, also before the trace begins
}

// slotKey names one credit of one agent.
type slotKey struct {
	server string
	slot   uint64
}

func newRecorder(path string, env *kern.Env) *recorder {
	if path == "" {
		return nil
	}
	return &recorder{path: path, entry: env.Node.Name, clock: env.Clock, log: env.Log, held: map[slotKey]bool{}}
}

// begin opens the trace once the configuration is known, which is its header.
func (r *recorder) begin(cluster string, cfg conf.Config, slots int) {
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

func (r *recorder) open(cluster string, cfg conf.Config, slots int) error {
	f, err := os.Create(r.path)
	if err != nil {
		return errors.Wrap(err, "record")
	}
	r.file, r.start = f, r.clock.Now()
	r.w, err = trace.NewWriter(f, trace.Header{
		Cluster: cluster, Start: r.start, Slots: slots, Teams: withoutKeys(cfg), Services: cfg.Services(),
	})
	if err != nil {
		return err
	}
	for key := range r.held {
		r.append(trace.Event{Kind: trace.Grant, Server: key.server, CreditID: key.slot})
	}
	return nil
}

// write adds an event at the present time.
func (r *recorder) write(e trace.Event) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.follow(e)
	if r.w == nil {
		return
	}
	r.append(e)
}

// follow keeps account of the credits.
func (r *recorder) follow(e trace.Event) {
	key := slotKey{e.Server, e.CreditID}
	switch e.Kind {
	case trace.Grant:
		r.held[key] = true
	case trace.Revoke, trace.Send:
		delete(r.held, key)
	}
}

func (r *recorder) append(e trace.Event) {
	e.OffsetMicros = r.clock.Now().Sub(r.start).Microseconds()
	e.Entry = r.entry
	var field *trace.FieldError
	err := r.w.Write(e)
	if err != nil && !errors.As(err, &field) {
		r.log.Error("trace ended", zap.Error(err))
		r.w = nil
	}
}

// flush writes what is buffered to the file.
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

// arrived notes a caller's request.
func (r *recorder) arrived(o *callRequest) {
	if r == nil {
		return
	}
	r.write(trace.Event{
		Kind: trace.Arrive, ID: o.ID, Team: o.Team, Service: o.Service, Urgency: o.Urgency,
		DeadlineMicros: o.Deadline.Sub(r.start).Microseconds(), Class: o.DeclaredClass, SizeMs: o.DeclaredMs, AtMostOnce: !o.Idempotent, Key: o.Key,
	})
}

// ended notes what a caller was told.
func (r *recorder) ended(o *callRequest, res result) {
	if r == nil {
		return
	}
	e := trace.Event{Kind: trace.Answer, ID: o.ID, Reason: string(res.code)}
	switch res.outcome {
	case client.OutcomeNotRun:
		e.Kind = trace.Refuse
	case client.OutcomeUnknown:
		e.Kind = trace.Unknown
	}
	r.write(e)
}

// withoutKeys returns the teams as a trace may show them.
func withoutKeys(cfg conf.Config) []model.Team {
	teams := cfg.Teams()
	for i := range teams {
		teams[i].Keys = nil
	}
	return teams
}
