package load

import "math/rand/v2"

// pushPolicy is the base of the policies that send each job on arrival to a backend
// server, where it waits in order of arrival.
type pushPolicy struct {
	sim        *Simulation
	choose     func(entry int) int
	waiting    [][]*Job
	running    []int
	unanswered [][]int // number of jobs without an answer, by entry and server
}

func newPushPolicy(sim *Simulation) *pushPolicy {
	p := &pushPolicy{sim: sim, waiting: make([][]*Job, len(sim.Servers)), running: make([]int, len(sim.Servers))}
	for range sim.Scenario.EntryCount {
		p.unanswered = append(p.unanswered, make([]int, len(sim.Servers)))
	}
	return p
}

// Random sends each job to a backend server chosen at random.
func Random(sim *Simulation) Policy {
	p := newPushPolicy(sim)
	rng := rand.New(rand.NewPCG(sim.Scenario.Seed, 3))
	p.choose = func(int) int { return rng.IntN(len(sim.Servers)) }
	return p
}

// RoundRobin sends jobs to the backend servers in turn, at each entry.
func RoundRobin(sim *Simulation) Policy {
	p := newPushPolicy(sim)
	next := make([]int, sim.Scenario.EntryCount)
	p.choose = func(entry int) int {
		next[entry]++
		return (next[entry] + entry) % len(sim.Servers)
	}
	return p
}

// TwoChoices sends each job to one of two backend servers chosen at random: the
// one with fewer jobs of this entry without an answer.
func TwoChoices(sim *Simulation) Policy {
	p := newPushPolicy(sim)
	rng := rand.New(rand.NewPCG(sim.Scenario.Seed, 3))
	p.choose = func(entry int) int {
		a, b := rng.IntN(len(sim.Servers)), rng.IntN(len(sim.Servers))
		if p.unanswered[entry][b] < p.unanswered[entry][a] {
			return b
		}
		return a
	}
	return p
}

// LeastOutstanding sends each job to the backend server with the fewest jobs
// of this entry without an answer.
func LeastOutstanding(sim *Simulation) Policy {
	p := newPushPolicy(sim)
	rng := rand.New(rand.NewPCG(sim.Scenario.Seed, 3))
	p.choose = func(entry int) int {
		first := rng.IntN(len(sim.Servers))
		best := first
		for i := range sim.Servers {
			server := (first + i) % len(sim.Servers)
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
	p.sim.Send(func() {
		p.waiting[server] = append(p.waiting[server], j)
		p.start(server)
	})
}

func (p *pushPolicy) start(server int) {
	for p.running[server] < SlotsPerServer && len(p.waiting[server]) > 0 {
		j := p.waiting[server][0]
		p.waiting[server] = p.waiting[server][1:]
		p.running[server]++
		p.sim.Start(p.sim.Servers[server], j, func() {
			p.running[server]--
			p.start(server)
			p.sim.Send(func() {
				p.unanswered[j.Entry][server]--
				p.sim.Finish(j, true)
			})
		})
	}
}
