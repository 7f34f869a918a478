package sched

import (
	"time"

	"github.com/google/btree"

	"github.com/knapweedlug/knapweedlug/internal/place"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// Sched holds the state that decisions are based on. A new leader builds it
// from the committed state with Reset and updates it with the Set and Drop
// methods. It isn't safe for concurrent use.
type Sched struct {
	opt                   Options
	fleet                 *place.Fleet
	emptyFleet            *place.Fleet // all known workers, without any work
	workers               map[string]*worker
	teams                 map[string]*team
	jobs                  map[string]*job
	jobsByWorker          map[string]map[string]*job         // placed jobs by worker, then id
	unitsByWorker         map[string]map[*guaranteeUnit]bool // bound units by worker
	unboundUnits          map[*guaranteeUnit]bool            // units that aren't bound to workers
	claims                map[string]*job                    // claimed jobs by id
	reservations          map[string]*reservation            // reservations by job
	reservationsByWorker  map[string]map[string]*reservation // reservations by worker, then job
	stoppingJobs          map[string]*job                    // jobs that were told to stop and haven't yet
	quarantined           map[string]bool                    // workers in quarantine
	dirtyTeams            map[string]bool                    // teams to check for jobs that can start within a guarantee
	rebuilding            bool                               // Reset is adding the jobs; units are neither bound nor assigned meanwhile
	pendingDecisions      []Decision                         // decisions that the next call of Decide returns
	runTimes              runTimeStats                       // measured run times
	failedSearches        failedSearches                     // searches that would fail again
	feasibility           map[model.Shape]bool               // whether a shape fits the empty fleet
	lastMigration         time.Time                          // last attempt to migrate work for a starving gang
	lastReservationSearch time.Time                          // last search for a reservation
	lastDefrag            time.Time                          // last attempt to defragment
	migrationAttempts     int                                // varies the scopes that each attempt examines
	freedAtLastRepair     uint64                             // the fleet's change count at the last repair that left units unbound
	lastFullRepair        time.Time                          // last full repair by Decide
}

// team is a team with its units and its waiting jobs.
type team struct {
	model.Team
	units      []*guaranteeUnit
	queue      *btree.BTreeG[*job] // waiting jobs, ordered by jobLess
	usedAccels int                 // accelerators of placed and claimed jobs
	borrowed   int                 // the part of usedAccels that is outside of the team's guarantees
}

const btreeDegree = 16 // of the B-trees that hold the queues

func newTeam(name string) *team {
	return &team{Team: model.Team{Name: name}, queue: btree.NewG(btreeDegree, jobLess)}
}

// New returns a scheduler that knows no workers yet.
func New(opt Options) *Sched {
	s := &Sched{opt: opt.withDefaults()}
	s.clear()
	return s
}

func (s *Sched) clear() {
	s.fleet = place.New(s.opt.Policy)
	s.emptyFleet = place.New(place.Gradient)
	s.workers = make(map[string]*worker)
	s.teams = make(map[string]*team)
	s.jobs = make(map[string]*job)
	s.jobsByWorker = make(map[string]map[string]*job)
	s.unitsByWorker = make(map[string]map[*guaranteeUnit]bool)
	s.unboundUnits = make(map[*guaranteeUnit]bool)
	s.claims = make(map[string]*job)
	s.reservations = make(map[string]*reservation)
	s.reservationsByWorker = make(map[string]map[string]*reservation)
	s.stoppingJobs = make(map[string]*job)
	s.quarantined = make(map[string]bool)
	s.dirtyTeams = make(map[string]bool)
	s.pendingDecisions = nil
	s.runTimes = newRunTimeStats()
	s.failedSearches = make(failedSearches)
	s.feasibility = make(map[model.Shape]bool)
	s.lastMigration, s.lastReservationSearch, s.lastDefrag = time.Time{}, time.Time{}, time.Time{}
	s.freedAtLastRepair = 0
	s.migrationAttempts = 0
	s.lastFullRepair = time.Time{}
}

// Reset discards all state and rebuilds it from the committed state. Placed
// jobs keep their placement; every guarantee is bound again.
func (s *Sched) Reset(workers []model.Worker, teams []model.Team, jobs []model.Job, now time.Time) {
	s.clear()
	for _, w := range workers {
		s.SetWorker(w, now)
	}
	for _, t := range teams {
		s.ensureTeam(t.Name).Team = t
		s.addUnits(s.ensureTeam(t.Name))
	}
	s.rebuild(sortedForReset(jobs), now)
	s.repair()
}

// rebuild adds the jobs. The resources of jobs that run within guarantees are
// kept from units until each such job has been assigned to a unit that is bound
// to its workers.
func (s *Sched) rebuild(jobs []model.Job, now time.Time) {
	s.rebuilding = true
	for _, j := range jobs {
		s.SetJob(j, now)
	}
	s.rebuilding = false
	for _, m := range jobs {
		if j, ok := s.jobs[m.ID]; ok && j.phase == placed && !j.Borrowed {
			s.reattach(j)
		}
	}
}

func (s *Sched) ensureTeam(name string) *team {
	t, ok := s.teams[name]
	if !ok {
		t = newTeam(name)
		s.teams[name] = t
	}
	return t
}

// SetTeam adds or updates a committed team. Guarantees reports the units that
// find no room as short until they are bound.
func (s *Sched) SetTeam(m model.Team, _ time.Time) {
	t := s.ensureTeam(m.Name)
	t.Team = m
	s.removeUnits(t)
	s.addUnits(t)
	s.repair()
	s.fleet.RecordExternalChange()
}

// DropTeam removes a team and its guarantees. Its jobs stay until they end.
func (s *Sched) DropTeam(name string, _ time.Time) {
	t, ok := s.teams[name]
	if !ok {
		return
	}
	t.Team = model.Team{Name: name}
	s.removeUnits(t)
	s.dropTeamIfUnused(t)
}

func (s *Sched) dropTeamIfUnused(t *team) {
	if len(t.units) == 0 && t.queue.Len() == 0 && t.usedAccels == 0 && len(t.Guarantees) == 0 && t.Weight == 0 {
		delete(s.teams, t.Name)
	}
}

// SetWorker adds or updates a committed worker. Guarantees that can no longer
// be reclaimed there are bound to other workers.
func (s *Sched) SetWorker(m model.Worker, now time.Time) {
	w, ok := s.workers[m.Name]
	if ok && w.model == m {
		return
	}
	if !ok {
		w = newWorker()
		s.workers[m.Name] = w
	}
	prev := w.model
	w.model = m
	s.fleet.SetWorker(m)
	if !ok || !equalExceptState(prev, m) {
		s.emptyFleet.SetWorker(m.WithState(model.WorkerReady))
		clear(s.feasibility)
	}
	s.handleStateChange(w, prev.State, now)
	if m.State != model.WorkerReady || !equalExceptState(prev, m) {
		s.moveBindings(m.Name)
	}
	s.repair()
}

// DropWorker removes a worker from the fleet.
func (s *Sched) DropWorker(name string, now time.Time) {
	w, ok := s.workers[name]
	if !ok {
		return
	}
	s.SetWorker(w.model.WithState(model.WorkerLost), now)
	delete(s.workers, name)
	s.fleet.DropWorker(name)
	s.emptyFleet.DropWorker(name)
	clear(s.feasibility)
}

func equalExceptState(a, b model.Worker) bool { return a.WithState("") == b.WithState("") }

// SetJob adds or updates a committed job. It is idempotent.
func (s *Sched) SetJob(m model.Job, now time.Time) {
	if m.State.Ended() {
		s.endJob(m, now)
		return
	}
	j, ok := s.jobs[m.ID]
	if !ok {
		j = newJob(m)
		s.jobs[m.ID] = j
		s.recordFailures(m, nil, now)
		s.addJob(j, now)
		return
	}
	prev := j.Job
	s.recordFailures(m, prev.FailedOn, now)
	if holdsWorkers(m.State) {
		s.confirmPlacement(j, m, now)
		return
	}
	released := m.Attempts > prev.Attempts || m.Epoch > prev.Epoch
	if j.phase == claimed || (j.uncommitted && !released) {
		j.Job = withPlacement(m, prev)
		return
	}
	s.dequeueOrVacate(j)
	j.Job = m
	s.addJob(j, now)
}

// withPlacement returns the committed job with the placement that was decided
// after the commit.
func withPlacement(committed, decided model.Job) model.Job {
	committed.Members = decided.Members
	committed.Borrowed = decided.Borrowed
	return committed
}

// confirmPlacement updates a job that is committed with a placement.
func (s *Sched) confirmPlacement(j *job, m model.Job, now time.Time) {
	same := j.phase == placed && samePlacement(j.placement, place.CellsOf(m.Members))
	if !same {
		s.dequeueOrVacate(j)
		j.Job = m
		s.addJob(j, now)
		return
	}
	j.Job = m
	j.uncommitted = false
	if m.State == model.JobStopping && !j.stopping {
		s.markStopping(j, now.Add(s.opt.CheckpointGrace))
	}
}

func samePlacement(a, b []place.Cell) bool {
	if len(a) != len(b) {
		return false
	}
	count := make(map[string]int, len(a))
	for _, c := range a {
		count[c.Worker] += c.Count
	}
	for _, c := range b {
		if count[c.Worker] != c.Count {
			return false
		}
	}
	return true
}

// addJob queues or places a job according to its committed state. The job must
// be neither queued nor placed.
func (s *Sched) addJob(j *job, now time.Time) {
	if !holdsWorkers(j.State) {
		s.enqueue(j)
		return
	}
	j.placement = place.CellsOf(j.Members)
	if !s.rebuilding {
		s.assignUnit(j)
	}
	s.occupy(j, place.Running)
	j.phase = placed
	j.placedAt = j.Started
	if j.State == model.JobStopping {
		s.markStopping(j, now.Add(s.opt.CheckpointGrace))
	}
	s.checkMemberWorkers(j, now)
}

// DropJob removes a job.
func (s *Sched) DropJob(id string) {
	j, ok := s.jobs[id]
	if !ok {
		return
	}
	s.dequeueOrVacate(j)
	delete(s.jobs, id)
	s.dropTeamIfUnused(s.ensureTeam(j.Team))
}

func (s *Sched) endJob(m model.Job, now time.Time) {
	j, ok := s.jobs[m.ID]
	if !ok {
		return
	}
	s.recordFailures(m, j.FailedOn, now)
	if j.failing {
		s.clearJobFailures(m)
	}
	if m.State == model.JobDone {
		s.recordRunTime(m, j.placement)
		s.clearWorkerFailures(j.placement)
	}
	s.DropJob(m.ID)
}
