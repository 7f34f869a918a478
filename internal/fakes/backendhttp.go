package fakes

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/knapweedlug/knapweedlug/pkg/client"
)

// Answer is the JSON body of a backend server's response.
type Answer struct {
	Request string `json:"request"`
	Key     string `json:"key,omitempty"`
	Hash    string `json:"hash"` // SHA-256 of the request's body, in hex
	Backend string `json:"backend"`
	WorkMs  int64  `json:"ms"` // requested work, in milliseconds at speed 1.0
	Padding string `json:"pad,omitempty"`
}

// Handler returns the server's HTTP handler: POST /work?ms=N, GET /healthz and, for tests,
// GET /journal, PUT /fault and PUT /leave, which makes the server announce that it is
// leaving.
func (b *Backend) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /work", b.handleWork)
	mux.HandleFunc("GET /healthz", b.handleHealth)
	mux.HandleFunc("GET /journal", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, EntryList[Run]{Entries: b.Journal.Entries()})
	})
	mux.HandleFunc("PUT /fault", func(w http.ResponseWriter, r *http.Request) {
		var f BackendFault
		if err := readJSON(r, &f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		b.SetFault(f)
		writeJSON(w, http.StatusOK, f)
	})
	mux.HandleFunc("PUT /leave", func(w http.ResponseWriter, _ *http.Request) {
		b.leaving.Store(true)
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

// handleHealth responds to a health check.
func (b *Backend) handleHealth(w http.ResponseWriter, r *http.Request) {
	f := b.fault.Load()
	if f.Frozen {
		<-r.Context().Done()
		return
	}
	if f.Fails {
		http.Error(w, "failing", http.StatusInternalServerError)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// handleWork carries out one request and responds with the hash of its body.
func (b *Backend) handleWork(w http.ResponseWriter, r *http.Request) {
	ms, err := strconv.ParseInt(r.URL.Query().Get("ms"), 10, 64)
	if err != nil || ms < 0 {
		http.Error(w, "ms: want milliseconds of work, 0 or more", http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	sum := sha256.Sum256(body)
	run := Run{
		Request: r.Header.Get(client.HeaderRequestID), Key: r.Header.Get(client.HeaderIdempotencyKey), Path: r.URL.Path,
		Hash: hex.EncodeToString(sum[:]), Backend: b.cfg.ID, Started: b.clock.Now(),
	}
	defer b.activeRequests.Add(-1)
	if !b.acquireSlot() {
		run.Refused = true
		b.Journal.Add(run)
		http.Error(w, "every slot is taken", http.StatusServiceUnavailable)
		return
	}
	// A run is recorded at its start, so that it stays recorded if the caller gives up.
	index := b.recordStart(run)
	f := *b.fault.Load()
	if !b.simulateWork(r, ms, f) {
		return
	}
	b.recordEnd(index)
	b.writeAnswer(w, run, ms, f)
}

// acquireSlot counts a request as active and reports whether a slot was free for it.
func (b *Backend) acquireSlot() bool {
	n := b.activeRequests.Add(1)
	for {
		peak := b.peakRequests.Load()
		if n <= peak || b.peakRequests.CompareAndSwap(peak, n) {
			break
		}
	}
	return n <= int64(b.cfg.Slots)
}

// recordStart records the start of a run and returns its index in the journal.
func (b *Backend) recordStart(run Run) int {
	b.Journal.mu.Lock()
	defer b.Journal.mu.Unlock()
	b.Journal.entries = append(b.Journal.entries, run)
	return len(b.Journal.entries) - 1
}

// recordEnd records the end of the run with the given index in the journal.
func (b *Backend) recordEnd(index int) {
	b.Journal.mu.Lock()
	defer b.Journal.mu.Unlock()
	b.Journal.entries[index].Ended = b.clock.Now()
}

// simulateWork waits for as long as the work takes at the server's speed, plus the
// delay of its fault. It reports whether a response is due.
func (b *Backend) simulateWork(r *http.Request, ms int64, f BackendFault) bool {
	if f.Frozen {
		<-r.Context().Done()
		return false
	}
	if f.Fails {
		return true
	}
	duration := time.Duration(float64(ms) / b.cfg.Speed * float64(time.Millisecond))
	return sleep(r.Context(), duration+time.Duration(f.AnswerDelayMs)*time.Millisecond) == nil
}

// writeAnswer writes the response to a finished run.
func (b *Backend) writeAnswer(w http.ResponseWriter, run Run, ms int64, f BackendFault) {
	if f.Fails {
		http.Error(w, "failing", http.StatusInternalServerError)
		return
	}
	w.Header().Set(client.HeaderRequestID, run.Request)
	a := Answer{Request: run.Request, Key: run.Key, Hash: run.Hash, Backend: run.Backend, WorkMs: ms, Padding: strings.Repeat("x", int(f.ExtraBytes))}
	if f.CutAnswer {
		writePartialAnswer(w)
		return
	}
	writeJSON(w, http.StatusOK, a)
}

// writePartialAnswer sends fewer bytes than its Content-Length and closes the connection.
func writePartialAnswer(w http.ResponseWriter) {
	w.Header().Set("Content-Length", "4096")
	w.WriteHeader(http.StatusOK)
	_, _ = io.WriteString(w, `{"request":"`)
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}
