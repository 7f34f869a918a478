package fakes

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedlug/knapweedlug/internal/platf"
)

// statusByCode holds the HTTP status for each code of a refusal.
var statusByCode = map[platf.Code]int{
	platf.CodeFenced:      http.StatusConflict,
	platf.CodeFull:        http.StatusConflict,
	platf.CodeExpired:     http.StatusConflict,
	platf.CodeUnknown:     http.StatusNotFound,
	platf.CodeUnreachable: http.StatusServiceUnavailable,
	platf.CodeMalformed:   http.StatusBadRequest,
}

// Handler returns the platform's HTTP handler, with two additional routes for tests: GET
// /v1/journal and PUT /v1/faults/{worker}.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/workers", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, platf.WorkerList{Workers: p.Workers()})
	})
	mux.HandleFunc("GET /v1/usage", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, platf.UsageList{Usage: p.Usage()})
	})
	mux.HandleFunc("GET /v1/workers/{name}/tasks", p.serveTasks)
	mux.HandleFunc("POST /v1/leases", p.serveHold)
	mux.HandleFunc("POST /v1/leases/{id}/start", serveOperation(p, p.Start))
	mux.HandleFunc("POST /v1/leases/{id}/renew", serveOperation(p, p.Renew))
	mux.HandleFunc("POST /v1/leases/{id}/checkpoint", serveOperation(p, p.Checkpoint))
	mux.HandleFunc("POST /v1/leases/{id}/throttle", serveOperation(p, p.Throttle))
	mux.HandleFunc("POST /v1/leases/{id}/stop", serveOperation(p, p.Stop))
	mux.HandleFunc("GET /v1/journal", func(w http.ResponseWriter, _ *http.Request) {
		p.Tasks("") // records the ends of leases that are due
		writeJSON(w, http.StatusOK, EntryList[Event]{Entries: p.Journal.Entries()})
	})
	mux.HandleFunc("PUT /v1/faults/{worker}", p.serveFault)
	return mux
}

func (p *Platform) serveTasks(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	p.mu.Lock()
	_, ok := p.workerByName(name)
	p.mu.Unlock()
	if !ok {
		writeRefusal(w, newRefusal(platf.CodeUnknown, "no worker %q", name))
		return
	}
	if p.applyFault(w, r, name) {
		return
	}
	writeJSON(w, http.StatusOK, platf.TaskList{Tasks: p.Tasks(name)})
}

func (p *Platform) serveHold(w http.ResponseWriter, r *http.Request) {
	var req platf.HoldRequest
	if err := readJSON(r, &req); err != nil {
		writeRefusal(w, newRefusal(platf.CodeMalformed, "%v", err))
		return
	}
	if p.applyFault(w, r, req.Worker) {
		return
	}
	t, err := p.Hold(req)
	writeTask(w, t, err)
}

// serveOperation returns a handler for one operation on a lease.
func serveOperation[T any](p *Platform, operation func(string, T) (platf.Task, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var req T
		if err := readJSON(r, &req); err != nil {
			writeRefusal(w, newRefusal(platf.CodeMalformed, "%v", err))
			return
		}
		id := r.PathValue("id")
		p.mu.Lock()
		l, err := p.leaseByID(id)
		p.mu.Unlock()
		if err != nil {
			writeTask(w, platf.Task{}, err)
			return
		}
		if p.applyFault(w, r, l.task.Worker) {
			return
		}
		t, err := operation(id, req)
		writeTask(w, t, err)
	}
}

func (p *Platform) serveFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := readJSON(r, &f); err != nil {
		writeRefusal(w, newRefusal(platf.CodeMalformed, "%v", err))
		return
	}
	p.SetFault(r.PathValue("worker"), f)
	writeJSON(w, http.StatusOK, f)
}

// applyFault applies the fault of a worker to a request. It reports whether the request is
// finished: answered with a refusal or given up by the client.
func (p *Platform) applyFault(w http.ResponseWriter, r *http.Request, worker string) bool {
	p.mu.Lock()
	f := p.faults[worker]
	p.mu.Unlock()
	if err := sleep(r.Context(), time.Duration(f.DelayMs)*time.Millisecond); err != nil {
		return true
	}
	if f.Unreachable || f.Dead {
		writeRefusal(w, newRefusal(platf.CodeUnreachable, "worker %s doesn't answer", worker))
		return true
	}
	return false
}

func writeTask(w http.ResponseWriter, t platf.Task, err error) {
	var refusal *platf.Refusal
	switch {
	case errors.As(err, &refusal):
		writeRefusal(w, refusal)
	case err != nil:
		writeRefusal(w, newRefusal(platf.CodeMalformed, "%v", err))
	default:
		writeJSON(w, http.StatusOK, t)
	}
}

func writeRefusal(w http.ResponseWriter, r *platf.Refusal) {
	writeJSON(w, statusByCode[r.Code], platf.ErrorBody{Error: r})
}
