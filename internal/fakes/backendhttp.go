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

// Answer is what a backend server answers.
type Answer struct {
	Request string `json:"request"`
	Key     string `json:"key,omitempty"`
	Hash    string `json:"hash"` // SHA-256 of the request's body, in hex
	Backend string `json:"backend"`
	WorkMs      int64  `json:"ms"` // work asked for, at speed 1.0
	Padding     string `json:"pad,omitempty"`
}

// Handler returns the server's HTTP interface: POST /work?ms=N, GET /healthz, and
// for tests GET /journal and PUT /fault. PUT /leave makes it leave.
func (b *Backend) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /work", b.work)
	mux.HandleFunc("GET /healthz", b.health)
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
		b.leave.Store(true)
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

func (b *Backend) health(w http.ResponseWriter, r *http.Request) {
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

// work runs one request and answers with the hash of its body.
func (b *Backend) work(w http.ResponseWriter, r *http.Request) {
	ms, err := strconv.ParseInt(r.URL.Query().Get("ms"), 10, 64)
	if err != nil || ms < 0 {
		http.Error(w, "ms: want milliseconds of work, 0 or more", http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, bodyMax))
	if err != nil {
		return
	}
	sum := sha256.Sum256(body)
	run := Run{
		Request: r.Header.Get(client.HeaderRequestID), Key: r.Header.Get(client.HeaderIdempotencyKey), Path: r.URL.Path,
		Hash: hex.EncodeToString(sum[:]), Backend: b.cfg.ID, Started: b.clock.Now(),
	}
	defer b.active.Add(-1)
	if !b.enter() {
		run.Refused = true
		b.Journal.Add(run)
		http.Error(w, "every slot is taken", http.StatusServiceUnavailable)
		return
	}
	// The run counts from its start: a caller that gives up doesn't undo it.
	at := b.begin(run)
	f := *b.fault.Load()
	if !b.labour(r, ms, f) {
		return
	}
	b.finish(at)
	b.answer(w, run, ms, f)
}

// enter takes a slot and reports whether one was free.
func (b *Backend) enter() bool {
	n := b.active.Add(1)
	for {
		peak := b.peak.Load()
		if n <= peak || b.peak.CompareAndSwap(peak, n) {
			break
		}
	}
	return n <= int64(b.cfg.Slots)
}

func (b *Backend) begin(run Run) int {
	b.Journal.mu.Lock()
	defer b.Journal.mu.Unlock()
	b.Journal.entries = append(b.Journal.entries, run)
	return len(b.Journal.entries) - 1
}

func (b *Backend) finish(at int) {
	b.Journal.mu.Lock()
	defer b.Journal.mu.Unlock()
	b.Journal.entries[at].Ended = b.clock.Now()
}

// labour spends the time that the work takes at the server's speed and reports
// whether there is something to answer.
func (b *Backend) labour(r *http.Request, ms int64, f BackendFault) bool {
	if f.Frozen {
		<-r.Context().Done()
		return false
	}
	if f.Fails {
		return true
	}
	scaled := time.Duration(float64(ms) / b.cfg.Speed * float64(time.Millisecond))
	return pause(r.Context(), scaled+time.Duration(f.AnswerDelayMs)*time.Millisecond) == nil
}

func (b *Backend) answer(w http.ResponseWriter, run Run, ms int64, f BackendFault) {
	if f.Fails {
		http.Error(w, "failing", http.StatusInternalServerError)
		return
	}
	w.Header().Set(client.HeaderRequestID, run.Request)
	a := Answer{Request: run.Request, Key: run.Key, Hash: run.Hash, Backend: run.Backend, WorkMs: ms, Padding: strings.Repeat("x", int(f.ExtraBytes))}
	if f.CutAnswer {
		cutAnswer(w)
		return
	}
	writeJSON(w, http.StatusOK, a)
}

// cutAnswer announces more bytes than it sends and breaks the connection.
func cutAnswer(w http.ResponseWriter) {
	w.Header().Set("Content-Length", "4096")
	w.WriteHeader(http.StatusOK)
	_, _ = io.WriteString(w, `{"request":"`)
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}
