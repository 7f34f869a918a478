package allot

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/jobs"
)

// Make decides which tasks start and which runs stop.
func Make(in Input) Plan {
	p := newPlanner(in)
	needs := slices.Clone(in.Needs)
	slices.SortStableFunc(needs, func(a, b Need) int { return rank(a, b, in.Now) })
	p.vacate()
	for i := range needs {
		p.spare(&needs[i])
	}
	p.honor(needs)
	for i := range needs {
		p.serve(&needs[i])
	}
	return p.plan
}

// vacate stops the runs that can't end before their worker shuts down. They resume from their
// checkpoints on other workers, and the rest of them restarts sooner.
func (p *planner) vacate() {
	for i := range p.slots {
		w := p.slots[i].w
		if w.Leaves.IsZero() {
			continue
		}
		for _, v := range p.slots[i].victims {
			if !v.Lasts && !v.group.gone && p.in.Now.Add(v.Left).After(w.Leaves.Add(vacateMargin)) {
				p.evict(Vacated, []victim{v})
			}
		}
	}
}

// vacateMargin is by how much a run must be expected to outlast its worker before it is stopped, since
// workers shut down a little later than announced.
const vacateMargin = 300 * time.Millisecond

// spare determines which workers a step avoids: those on which it has failed, those that are suspect
// and those in quarantine. If the other workers couldn't hold its tasks, it avoids only those in
// quarantine; if its job has been idle for too long, none.
func (p *planner) spare(n *Need) {
	failed := n.Avoid
	n.Avoid = map[jobs.Worker]bool{}
	if p.desperate(n) {
		return
	}
	shunned := map[jobs.Worker]bool{}
	maps.Copy(n.Avoid, failed)
	for i := range p.slots {
		w := p.slots[i].w
		if w.Shunned {
			shunned[w.ID] = true
		}
		if w.Shunned || w.Suspect {
			n.Avoid[w.ID] = true
		}
	}
	if len(n.Avoid) == len(shunned) {
		return
	}
	holds := 0
	for i := range p.slots {
		if w := p.slots[i].w; n.allowed(w) {
			holds += w.Size.Holds(n.Room, len(n.Indexes))
		}
	}
	if holds < len(n.Indexes) {
		n.Avoid = shunned
	}
}

// desperate reports whether a step must take any worker with free resources. On a busy fleet the job
// would wait anyway, and avoids workers that would use up its attempts.
func (p *planner) desperate(n *Need) bool {
	if n.Idle.IsZero() || p.in.Now.Sub(n.Idle) < maxIdle {
		return false
	}
	return n.Lasts || p.inUse(n.Service) < quietShare
}

// inUse returns the share of the resources of a service that is in use, of the scarcest resource.
func (p *planner) inUse(service string) float64 {
	var size, free Room
	for i := range p.slots {
		if s := &p.slots[i]; s.w.Service == service {
			size, free = size.Plus(s.w.Size), free.Plus(s.real)
		}
	}
	most := 0.0
	for _, r := range [][2]int64{{size.CPU, free.CPU}, {size.Memory, free.Memory}, {size.Accels, free.Accels}} {
		if r[0] > 0 {
			most = max(most, 1-float64(r[1])/float64(r[0]))
		}
	}
	return most
}

// quietShare is the share of resources in use below which a task that could run must run. The users
// require one half; the rest allows for runs that end meanwhile.
const quietShare = 0.6

// maxIdle is how long a job may have nothing running before it takes any worker with free resources.
// The users allow 3 s; the end of its last run is known within 0.4 s, and a start takes up to 0.5 s.
const maxIdle = 1800 * time.Millisecond

// honor keeps the resources of the claims that are still valid, before any task is placed.
func (p *planner) honor(needs []Need) {
	for i := range needs {
		n := &needs[i]
		for _, c := range p.in.Claims {
			if c.Job != n.Job || c.Occur != n.Occur || c.Step != n.Step {
				continue
			}
			if ch, ok := p.claimed(n, c); ok {
				p.keepAll(n, ch)
				before := p.claims[n]
				p.claims[n] = choice{shares: append(before.shares, ch.shares...)}
			}
		}
	}
}

// claimed returns the placement of a claim if its resources are free, now or once stopping runs have
// ended.
func (p *planner) claimed(n *Need, c Claim) (choice, bool) {
	ch := choice{}
	tasks := 0
	for _, sh := range c.Shares {
		at := slices.IndexFunc(p.slots, func(s slot) bool { return s.w.ID == sh.Worker })
		if at < 0 || !n.allowed(p.slots[at].w) || p.slots[at].soon.Holds(n.Room, sh.Tasks) < sh.Tasks {
			return choice{}, false
		}
		ch.shares = append(ch.shares, share{at, sh.Tasks})
		tasks += sh.Tasks
	}
	return ch, tasks == len(n.Indexes) || !n.Gang && tasks < len(n.Indexes)
}

// rank orders steps: guaranteed ones first, then those whose completion still has value, then by
// priority and deadline.
func rank(a, b Need, now time.Time) int {
	return cmp.Or(
		-compareBool(a.Sure, b.Sure),
		cmp.Compare(a.use(now)/useless, b.use(now)/useless),
		cmp.Compare(a.Priority, b.Priority),
		cmp.Compare(a.use(now), b.use(now)),
		a.Deadline.Compare(b.Deadline),
		cmp.Compare(a.Order, b.Order),
		cmp.Compare(a.Occur, b.Occur),
		cmp.Compare(a.Step, b.Step),
	// compareBool orders false before true.
	)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// useless is the result of use for a job that completes too late to have any value.
const useless = 2

// use returns how punctual the job would be if the step started now: 0 is in time, 1 is late, 2 is too
// late to have any value.
func (n *Need) use(now time.Time) int {
	end := now.Add(n.Work + n.Rest)
	switch {
	case !end.After(n.Deadline):
		return 0
	case !end.After(n.Late):
		return 1
	}
	return useless
}

// slot is a worker with its free resources during planning.
type slot struct {
	w    *Worker
	real Room // free now
	soon Room // free once stopping runs have ended, without what is kept for others
	// victims are the runs that could be stopped, in the order of the loss.
	victims []victim
}

// idle reports whether nothing runs on the worker and nothing is kept there.
func (s *slot) idle() bool { return s.free() == s.w.Size }

// free returns the resources that may be used now, without what is kept for others.
func (s *slot) free() Room {
	return Room{CPU: min(s.real.CPU, s.soon.CPU), Memory: min(s.real.Memory, s.soon.Memory), Accels: min(s.real.Accels, s.soon.Accels)}
}

type planner struct {
	in Input
	// planner holds the state of one planning round.
	slots  []slot
	racks  []string
	plan   Plan
	groups []*group
	// claims are the placements of the last plan's claims, by the steps that they are for.
	claims map[*Need]choice
}

// group holds runs that end together: the members of a gang, or a single run.
type group struct {
	runs  []*Run
	slots []int   // slot of each run
	loss  float64 // utility lost by stopping them
	gone  bool    // they are stopped by this plan
}

func newPlanner(in Input) *planner {
	// newPlanner returns a planner with the free resources of each worker.
	p := &planner{in: in, claims: map[*Need]choice{}}

	for i := range in.Workers {
		w := &in.Workers[i]
		s := slot{w: w, real: w.Size, soon: w.Size}
		for k := range w.Runs {
			r := &w.Runs[k]
			if !r.Stopping {
				g := p.groupOf(r)
				g.runs, g.slots = append(g.runs, r), append(g.slots, i)
				s.victims = append(s.victims, victim{r, g})
			}
			s.real = s.real.Minus(r.Room)
			if !r.Stopping {
				s.soon = s.soon.Minus(r.Room)
			}
		}
		p.slots = append(p.slots, s)
		if !slices.Contains(p.racks, w.Rack) {
			p.racks = append(p.racks, w.Rack)
		}
	}
	slices.Sort(p.racks)
	for _, g := range p.groups {
		// A gang ends with its slowest member.
		left := time.Duration(0)
		for _, r := range g.runs {
			left = max(left, r.Left)
		}
		for _, r := range g.runs {
			r.Left = left
		}
		g.loss = p.loss(g.runs)
	}
	for i := range p.slots {
		slices.SortStableFunc(p.slots[i].victims, func(a, b victim) int { return cmp.Compare(a.group.loss, b.group.loss) })
	}
	return p
}

// groupOf returns the group that a run belongs to, creating it if needed.
func (p *planner) groupOf(r *Run) *group {
	if !r.Gang {
		p.groups = append(p.groups, &group{})
		return p.groups[len(p.groups)-1]
	}
	of := func(g *group) bool { return len(g.runs) > 0 && g.runs[0].Gang && g.runs[0].sameGang(r) }
	at := slices.IndexFunc(p.groups, of)
	if at < 0 {
		p.groups = append(p.groups, &group{})
		at = len(p.groups) - 1
	}
	return p.groups[at]
}

// serve starts the tasks of a step, keeps resources for them or leaves them waiting.
func (p *planner) serve(n *Need) {
	switch {
	case n.Gang:
		p.serveGang(n)
	case n.Sure || n.Priority <= urgent:
		p.serveUrgent(n)
	default:
		p.serveSingles(n)
	}
}

// rule records the verdict on a step.
func (p *planner) rule(n *Need, v Verdict, tasks int) {
	r := Ruling{Job: n.Job, Step: n.Step, Verdict: v, Tasks: tasks, Work: n.Work, Deadline: n.Deadline, Sure: n.Sure}
	for i := range p.slots {
		if s := &p.slots[i]; n.allowed(s.w) {
			r.Workers++
			r.Free += max(0, s.free().Accels)
		}
	}
	p.plan.Rulings = append(p.plan.Rulings, r)
}

// allowed reports whether tasks of the step may run on a worker.
func (n *Need) allowed(w *Worker) bool {
	return !w.Barred && !n.Avoid[w.ID] && w.Service == n.Service && (n.Label == "" || slices.Contains(w.Labels, n.Label))
}

// limit returns how many more tasks of the step may be placed on a worker.
func (n *Need) limit(w *Worker) int {
	if n.Spread == 0 {
		return len(n.Indexes)
	}
	return max(0, n.Spread-n.Used[w.ID])
}

// factor returns how many times the usual duration the tasks take on a worker.
func (p *planner) factor(n *Need, w *Worker) float64 {
	f := 1 / max(w.Speed, slowest)
	if n.DataRack != "" && w.Rack != n.DataRack {
		f *= p.in.Remote
	}
	return f
}

// slowest is the lower bound of learned speeds. It keeps one bad measurement from excluding a worker
// for good.
const slowest = 0.05

// share is a number of tasks on one slot.
type share struct {
	slot  int
	tasks int
}

// inTime reports whether the job completes by its deadline if its tasks take factor times the usual
// duration.
func (p *planner) inTime(n *Need, factor float64) bool {
	return !p.in.Now.Add(stretch(n.Work, factor*caution) + n.Rest).After(n.Deadline)
}

// caution is the factor by which a run is assumed to take longer than expected when a deadline is
// checked: messages take time, and speeds are estimates.
const caution = 1.4

// prefer compares two workers for a step, with the factors of its duration there. The faster worker
// comes first. Work that isn't urgent prefers a slower worker on which it is still in time, and leaves
// the faster ones to work that needs them.
func (p *planner) prefer(n *Need, fx float64, x *slot, fy float64, y *slot) int {
	order := cmp.Compare(grade(stretch(n.Work, fx)), grade(stretch(n.Work, fy)))
	if n.Priority > hurried {
		ox, oy := p.inTime(n, fx), p.inTime(n, fy)
		if ox != oy {
			return compareBool(oy, ox)
		}
		if ox {
			// Running tasks of one step on workers of unknown speed reveals these speeds.
			order = cmp.Or(-cmp.Compare(x.w.unknown(), y.w.unknown()), cmp.Compare(x.w.pace(), y.w.pace()))
		}
	}
	return cmp.Or(
		order,
		compareBool(x.idle(), y.idle()),
		cmp.Compare(x.free().Accels, y.free().Accels),
	)
}

// hurried is the highest priority number of work that takes the fastest workers.
const hurried = 0

// unknown returns the uncertainty of a worker's speed, in steps of a quarter.
func (w *Worker) unknown() int { return int(4 * w.Doubt) }

// pace returns the speed of a worker on a logarithmic scale in steps of about a fifth.
func (w *Worker) pace() int { return int(math.Round(4 * math.Log2(max(w.Speed, slowest)))) }

func stretch(d time.Duration, f float64) time.Duration { return time.Duration(float64(d) * f) }

// take uses up resources of a slot.
func (p *planner) take(at int, r Room) {
	s := &p.slots[at]
	s.real, s.soon = s.real.Minus(r), s.soon.Minus(r)
}

// keep removes resources from those that later steps may use.
func (p *planner) keep(at int, r Room) { p.slots[at].soon = p.slots[at].soon.Minus(r) }

func (p *planner) place(n *Need, index, at int) jobs.Place {
	w := p.slots[at].w
	return jobs.Place{
		Task:   jobs.TaskID{Job: n.Job, Occur: n.Occur, Step: n.Step, Index: index},
		Worker: w.ID, Host: w.Host,
	}
}
