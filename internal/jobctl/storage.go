package jobctl

import (
	"encoding/json"
	"hash/fnv"
	"math"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/knapweedlug/knapweedlug/internal/jobs"
	"github.com/knapweedlug/knapweedlug/internal/wire"
)

const (
	// fallbackMemory is assumed for a host whose memory isn't told.
	fallbackMemory = 256 << 20
	// ownMemory is what a control process takes without jobs, with a full log.
	ownMemory = 32 << 20
	// storageShare is one over the part of the remaining memory that stored jobs may take by their estimates. Clients
	// may take as much, and what is collected as garbage takes the rest.
	storageShare = 4
	// minStorageShare is the same of all memory, on hosts that have little more than ownMemory.
	minStorageShare = 16
	// minStorageRetry and maxStorageRetry bound when callers may come back for whose jobs there was no room.
	minStorageRetry = time.Second
	maxStorageRetry = 15 * time.Second
	// fullReason is given to callers for whose jobs there was no room.
	fullReason = "storage"
)

// assumedMemory returns the memory that is assumed for a host.
func assumedMemory(memory int64) int64 {
	if memory <= 0 {
		return fallbackMemory
	}
	return memory
}

// storageLimit returns how many bytes stored jobs may take on a host with this memory.
func storageLimit(memory int64) int64 {
	memory = assumedMemory(memory)
	return max(memory/minStorageShare, (memory-ownMemory)/storageShare)
}

// reservation is what attempts to commit a job need that are under way.
type reservation struct {
	attempts int
	team     string
	bytes    int64
}

// storage bounds what accepted jobs make the control processes hold. It counts those that are stored, in the state,
// and those that are being committed.
type storage struct {
	limit    int64                  // bytes for all teams
	reserved map[string]reservation // by job
	ofTeam   map[string]int64       // bytes that are reserved, by team
	total    int64                  // bytes that are reserved
}

func newStorage(memory int64) *storage {
	return &storage{limit: storageLimit(memory), reserved: map[string]reservation{}, ofTeam: map[string]int64{}}
}

// maxJob returns the size of the largest job for which there is room when nothing is stored.
func (s *storage) maxJob() int64 { return s.limit / 2 }

// hasRoom reports whether a team may store this many bytes more. It may hold as much as it leaves to the others, so
// one team can take half of the storage, and whoever comes later finds room.
func (s *storage) hasRoom(v jobs.View, team string, bytes int64) bool {
	ofTeam, total := v.Stored(team)
	ofTeam, total = ofTeam+s.ofTeam[team]+bytes, total+s.total+bytes
	return ofTeam <= s.limit-total
}

// reserve takes the room for a job until release is called, and reports whether there was any. A job that is stored, or
// that another attempt is committing, is never refused: a refusal promises that the job never runs.
func (s *storage) reserve(v jobs.View, id, team string, bytes int64) bool {
	r, underway := s.reserved[id]
	if _, stored := v.Job(id); stored {
		bytes = 0
	} else if !underway && !s.hasRoom(v, team, bytes) {
		return false
	}
	if !underway {
		r.team = team
	}
	r.attempts++
	s.add(&r, max(0, bytes-r.bytes))
	s.reserved[id] = r
	return true
}

// release ends an attempt for which reserve found room.
func (s *storage) release(id string) {
	r := s.reserved[id]
	if r.attempts--; r.attempts > 0 {
		s.reserved[id] = r
		return
	}
	s.add(&r, -r.bytes)
	delete(s.reserved, id)
}

func (s *storage) add(r *reservation, bytes int64) {
	r.bytes += bytes
	s.total += bytes
	if s.ofTeam[r.team] += bytes; s.ofTeam[r.team] == 0 {
		delete(s.ofTeam, r.team)
	}
}

// adoptMemory sets the limits by the memory of the smallest control host: each of them may lead, with all that is stored
// by then.
func (l *leader) adoptMemory(memory int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if memory == l.memory {
		return
	}
	l.log.Info("memory of the smallest control host", zap.Int64("bytes", memory))
	l.memory, l.maxRuns, l.storage.limit = memory, maxRuns(memory), storageLimit(memory)
}

// reserveStorage takes the room for a job until releaseStorage is called. It returns a reply if there is none.
func (l *leader) reserveStorage(submit *jobs.Submit) (*wire.JobReply, error) {
	bytes := submit.Spec.StoredBytes()
	l.mu.Lock()
	defer l.mu.Unlock()
	reserved := false
	l.c.state.Read(func(v jobs.View) { reserved = l.storage.reserve(v, submit.ID, submit.Team, bytes) })
	switch {
	case reserved:
		return nil, nil
	case bytes > l.storage.maxJob():
		return reply(jobs.Invalid, errors.Newf("job takes %d bytes of storage, at most %d", bytes, l.storage.maxJob()).Error()), nil
	}
	l.c.metrics.jobsWithoutRoom.Inc(1)
	body, err := json.Marshal(jobs.Refusal{Reason: fullReason, RetryMs: l.storageRetry(submit.ID).Milliseconds()})
	if err != nil {
		return nil, errors.Wrap(err, "encode refusal")
	}
	return &wire.JobReply{Outcome: string(jobs.Refused), Detail: fullReason, Body: body}, nil
}

func (l *leader) releaseStorage(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.storage.release(id)
}

// storageRetry returns after which time the caller of a job for which there is no room may come back: when the next
// ended job is dropped. Callers get different times, so that they don't come back all at once. The caller holds mu.
func (l *leader) storageRetry(id string) time.Duration {
	wait := maxStorageRetry
	if !l.nextDropAt.IsZero() {
		wait = min(max(minStorageRetry, l.nextDropAt.Sub(l.now())), maxStorageRetry)
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // never fails
	return wait + time.Duration(float64(wait)*float64(h.Sum32())/math.MaxUint32)
}
