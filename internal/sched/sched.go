package sched

import (
	"time"

	"github.com/google/btree"

	"github.com/knapweedlug/knapweedlug/internal/place"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// Sched holds the state that decisions are based on. A new leader builds it from
// the committed state with Reset and updates it with the Set and Drop methods.
// It isn't safe for concurrent use.
type Sched struct {
	opt        Options
	fleet      *place.Fleet
	empty      *place.Fleet // all known workers, without any work
	workers    map[string]*worker
	teams      map[string]*team
	jobs       map[string]*job
	on         map[string]map[string]*job  // placed jobs by worker, then id
	units      map[string]map[*unit]bool   // bound units by worker
	short      map[*unit]bool              // units that aren't bound to workers
	claims     map[string]*job             // claimed jobs by id
	held       map[string]*hold            // reservations by job
	heldOn     map[string]map[string]*hold // reservations by worker, then job
	overdue    map[string]*job             // jobs that were told to stop and haven't yet
	sick       map[string]bool             // workers in quarantine
	dirty      map[string]bool             // teams to check for jobs that can start within a guarantee
	rebuilding bool
	pending    []Decision // decisions that the next call of Decide returns
	learned    learned
	failed     memo
	possible   map[model.Shape]bool // whether a shape fits the empty fleet
	tried      time.Time            // last attempt to migrate work for a starving gang
	searched   time.Time            // last search for a reservation
	tidied     time.Time            // last attempt to defragment
	rotor      int                  // number of migration attempts; varies the scopes that each one examines
	repaired   uint64               // the fleet's change count at the last repair that left units unbound
	rebound    time.Time            // last full repair by Decide
}

// team is a team with its units and its waiting jobs.
type team struct {
	model.Team
	units []*unit
	queue *btree.BTreeG[*job]
	used  int // accelerators of placed and claimed jobs
	lent  int // the part of used that is outside the team's guarantees
}

const btreeDegree = 16

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
	s.empty = place.New(place.Gradient)
	s.workers = make(map[string]*worker)
	s.teams = make(map[string]*team)
	s.jobs = make(map[string]*job)
	s.on = make(map[string]map[string]*job)
	s.units = make(map[string]map[*unit]bool)
	s.short = make(map[*unit]bool)
	s.claims = make(map[string]*job)
	s.held = make(map[string]*hold)
	s.heldOn = make(map[string]map[string]*hold)
	s.overdue = make(map[string]*job)
	s.sick = make(map[string]bool)
	s.dirty = make(map[string]bool)
	s.pending = nil
	s.learned = newLearned()
	s.failed = make(memo)
	s.possible = make(map[model.Shape]bool)
	s.tried, s.searched, s.tidied = time.Time{}, time.Time{}, time.Time{}
	s.repaired = 0
	s.rotor = 0
	s.rebound = time.Time{}
}

// Reset replaces all state by the committed state. Placed jobs keep their
// placement; every guarantee is bound again.
func (s *Sched) Reset(workers []model.Worker, teams []model.Team, jobs []model.Job, now time.Time) {
	s.clear()
	for _, w := range workers {
		s.SetWorker(w, now)
	}
	for _, t := range teams {
		s.team(t.Name).Team = t
		s.growUnits(s.team(t.Name))
	}
	s.rebuild(byGuarantee(jobs), now)
	s.repair()
}

// rebuild adds the jobs. No unit is bound to the placement of a job that runs
// within a guarantee before a unit is bound to workers that include it.
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

func (s *Sched) team(name string) *team {
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
	t := s.team(m.Name)
	t.Team = m
	s.shrinkUnits(t)
	s.growUnits(t)
	s.repair()
	s.fleet.Touch()
}

// DropTeam removes a team and its guarantees. Its jobs stay until they end.
func (s *Sched) DropTeam(name string, _ time.Time) {
	t, ok := s.teams[name]
	if !ok {
		return
	}
	t.Team = model.Team{Name: name}
	s.shrinkUnits(t)
	s.dropIfBare(t)
}

func (s *Sched) dropIfBare(t *team) {
	if len(t.units) == 0 && t.queue.Len() == 0 && t.used == 0 && len(t.Guarantees) == 0 && t.Weight == 0 {
		delete(s.teams, t.Name)
	}
}

// SetWorker adds or updates a committed worker. Guarantees that can no longer be
// reclaimed there are bound to other workers.
func (s *Sched) SetWorker(m model.Worker, now time.Time) {
	w, ok := s.workers[m.Name]
	if ok && w.model == m {
		return
	}
	if !ok {
		w = newWorker()
		s.workers[m.Name] = w
	}
	was := w.model
	w.model = m
	s.fleet.SetWorker(m)
	if !ok || !sameHost(was, m) {
		s.empty.SetWorker(m.WithState(model.WorkerReady))
		clear(s.possible)
	}
	s.watchState(w, was.State, now)
	if m.State != model.WorkerReady || !sameHost(was, m) {
		s.evict(m.Name)
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
	s.empty.DropWorker(name)
	clear(s.possible)
}

func sameHost(a, b model.Worker) bool { return a.WithState("") == b.WithState("") }

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
		s.chargeAll(m, nil, now)
		s.enter(j, now)
		return
	}
	was := j.Job
	s.chargeAll(m, was.FailedOn, now)
	if holds(m.State) {
		s.confirm(j, m, now)
		return
	}
	released := m.Attempts > was.Attempts || m.Epoch > was.Epoch
	if j.phase == claimed || (j.outstanding && !released) {
		j.Job = keepPlace(m, was)
		return
	}
	s.leave(j)
	j.Job = m
	s.enter(j, now)
}

// keepPlace returns the committed job m with the placement that was decided
// after that commit.
func keepPlace(m, was model.Job) model.Job {
	m.Members = was.Members
	m.Borrowed = was.Borrowed
	return m
}

// confirm updates a job that is committed with a placement.
func (s *Sched) confirm(j *job, m model.Job, now time.Time) {
	same := j.phase == placed && sameCells(j.cells, place.CellsOf(m.Members))
	if !same {
		s.leave(j)
		j.Job = m
		s.enter(j, now)
		return
	}
	j.Job = m
	j.outstanding = false
	if m.State == model.JobStopping && !j.stopping {
		s.markStopping(j, now.Add(s.opt.Grace))
	}
}

func sameCells(a, b []place.Cell) bool {
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

// enter queues or places a job that is in neither state yet, as its committed
// state says.
func (s *Sched) enter(j *job, now time.Time) {
	if !holds(j.State) {
		s.enqueue(j)
		return
	}
	j.cells = place.CellsOf(j.Members)
	if !s.rebuilding {
		s.adopt(j)
	}
	s.occupy(j, place.Running)
	j.phase = placed
	j.placedAt = j.Started
	if j.State == model.JobStopping {
		s.markStopping(j, now.Add(s.opt.Grace))
	}
	s.checkMembers(j, now)
}

// DropJob removes a job.
func (s *Sched) DropJob(id string) {
	j, ok := s.jobs[id]
	if !ok {
		return
	}
	s.leave(j)
	delete(s.jobs, id)
	s.dropIfBare(s.team(j.Team))
}

func (s *Sched) endJob(m model.Job, now time.Time) {
	j, ok := s.jobs[m.ID]
	if !ok {
		return
	}
	s.chargeAll(m, j.FailedOn, now)
	if j.failing {
		s.absolve(m)
	}
	if m.State == model.JobDone {
		s.learn(m, j.cells)
		s.clearFailures(j.cells)
	}
	s.DropJob(m.ID)
}
