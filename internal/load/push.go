package load

import "math/rand/v2"

// pushed is the baseline of sending each job at once to a chosen backend
// server, where it waits in order of arrival.
type pushed struct {
	w       *Simulation
	choose  func(entry int) int
	waiting [][]*Job
	running []int
	sent    [][]int // by entry and server: jobs without an answer
}

func newPushed(w *Simulation) *pushed {
	p := &pushed{w: w, waiting: make([][]*Job, len(w.Servers)), running: make([]int, len(w.Servers))}
	for range w.Scenario.EntryCount {
		p.sent = append(p.sent, make([]int, len(w.Servers)))
	}
	return p
}

// Random sends each job to a backend server chosen at random.
func Random(w *Simulation) Policy {
	p := newPushed(w)
	rng := rand.New(rand.NewPCG(w.Scenario.Seed, 3))
	p.choose = func(int) int { return rng.IntN(len(w.Servers)) }
	return p
}

// RoundRobin sends jobs to the backend servers in turn, at each entry.
func RoundRobin(w *Simulation) Policy {
	p := newPushed(w)
	next := make([]int, w.Scenario.EntryCount)
	p.choose = func(entry int) int {
		next[entry]++
		return (next[entry] + entry) % len(w.Servers)
	}
	return p
}

// TwoChoices sends each job to the better of two backend servers chosen at
// random: the one with fewer jobs of this entry without an answer.
func TwoChoices(w *Simulation) Policy {
	p := newPushed(w)
	rng := rand.New(rand.NewPCG(w.Scenario.Seed, 3))
	p.choose = func(entry int) int {
		a, b := rng.IntN(len(w.Servers)), rng.IntN(len(w.Servers))
		if p.sent[entry][b] < p.sent[entry][a] {
			return b
		}
		return a
	}
	return p
}

// LeastOutstanding sends each job to the backend server with the fewest jobs
// of this entry without an answer.
func LeastOutstanding(w *Simulation) Policy {
	p := newPushed(w)
	rng := rand.New(rand.NewPCG(w.Scenario.Seed, 3))
	p.choose = func(entry int) int {
		first := rng.IntN(len(w.Servers))
		best := first
		for i := range w.Servers {
			at := (first + i) % len(w.Servers)
			if p.sent[entry][at] < p.sent[entry][best] {
				best = at
			}
		}
		return best
	}
	return p
}

// Arrive implements Policy.
func (p *pushed) Arrive(j *Job) {
	at := p.choose(j.Entry)
	p.sent[j.Entry][at]++
	p.w.Send(func() {
		p.waiting[at] = append(p.waiting[at], j)
		p.start(at)
	})
}

func (p *pushed) start(at int) {
	for p.running[at] < SlotsPerServer && len(p.waiting[at]) > 0 {
		j := p.waiting[at][0]
		p.waiting[at] = p.waiting[at][1:]
		p.running[at]++
		p.w.Start(p.w.Servers[at], j, func() {
			p.running[at]--
			p.start(at)
			p.w.Send(func() {
				p.sent[j.Entry][at]--
				p.w.Finish(j, true)
			})
		})
	}
}
