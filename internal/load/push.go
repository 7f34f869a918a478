package load

import "math/rand/v2"

// pushPolicy is the base of the policies that send each job on arrival to a backend
// server, where it waits in order of arrival.
type pushPolicy struct {
	world      *World
	choose     func(entry int) int
	waiting    [][]*Job
	running    []int
	unanswered [][]int // number of jobs without an answer, by entry and server
}

func newPushPolicy(w *World) *pushPolicy {
	p := &pushPolicy{world: w, waiting: make([][]*Job, len(w.Servers)), running: make([]int, len(w.Servers))}
	for range w.Scenario.Entries {
		p.unanswered = append(p.unanswered, make([]int, len(w.Servers)))
	}
	return p
}

// Random sends each job to a backend server chosen at random.
func Random(w *World) Policy {
	p := newPushPolicy(w)
	rng := rand.New(rand.NewPCG(w.Scenario.Seed, 3))
	p.choose = func(int) int { return rng.IntN(len(w.Servers)) }
	return p
}

// RoundRobin sends jobs to the backend servers in turn, at each entry.
func RoundRobin(w *World) Policy {
	p := newPushPolicy(w)
	next := make([]int, w.Scenario.Entries)
	p.choose = func(entry int) int {
		next[entry]++
		return (next[entry] + entry) % len(w.Servers)
	}
	return p
}

// TwoChoices sends each job to one of two backend servers chosen at random: the
// one with fewer jobs of this entry without an answer.
func TwoChoices(w *World) Policy {
	p := newPushPolicy(w)
	rng := rand.New(rand.NewPCG(w.Scenario.Seed, 3))
	p.choose = func(entry int) int {
		a, b := rng.IntN(len(w.Servers)), rng.IntN(len(w.Servers))
		if p.unanswered[entry][b] < p.unanswered[entry][a] {
			return b
		}
		return a
	}
	return p
}

// LeastOutstanding sends each job to the backend server with the fewest jobs
// of this entry without an answer.
func LeastOutstanding(w *World) Policy {
	p := newPushPolicy(w)
	rng := rand.New(rand.NewPCG(w.Scenario.Seed, 3))
	p.choose = func(entry int) int {
		first := rng.IntN(len(w.Servers))
		best := first
		for i := range w.Servers {
			server := (first + i) % len(w.Servers)
			if p.unanswered[entry][server] < p.unanswered[entry][best] {
				best = server
			}
		}
		return best
	}
	return p
}

// Arrive implements Policy.
func (p *pushPolicy) Arrive(j *Job) {
	server := p.choose(j.Entry)
	p.unanswered[j.Entry][server]++
	p.world.Send(func() {
		p.waiting[server] = append(p.waiting[server], j)
		p.start(server)
	})
}

func (p *pushPolicy) start(server int) {
	for p.running[server] < SlotsPerServer && len(p.waiting[server]) > 0 {
		j := p.waiting[server][0]
		p.waiting[server] = p.waiting[server][1:]
		p.running[server]++
		p.world.Start(p.world.Servers[server], j, func() {
			p.running[server]--
			p.start(server)
			p.world.Send(func() {
				p.unanswered[j.Entry][server]--
				p.world.End(j, true)
			})
		})
	}
}
