package jobs

import (
	"maps"
	"slices"
)

// useDecayMs is the time over which the mean of what a team held decays: two to three usual runs. What a team held
// before that no longer keeps the work of others waiting.
const useDecayMs = 20_000

// Use is an amount of resources that a team holds or held on average.
type Use struct {
	CPU    float64 `json:"cpu"`    // thousandths of a core
	Memory float64 `json:"memory"` // MiB
	Accels float64 `json:"accels"` // accelerators
}

// TeamUse tells what a team holds now and what it held on average lately.
type TeamUse struct{ Held, Lately Use }

// use returns the resources that a task of the step holds on its worker.
func (st Step) use() Use {
	u := Use{CPU: float64(st.CPU), Memory: float64(st.Memory), Accels: float64(st.Accels)}
	if st.BestEffortCPU {
		u.CPU = 0
	}
	return u
}

// plus returns the sum of u and n times o. All amounts held are whole numbers, so their sums are exact.
func (u Use) plus(o Use, n float64) Use {
	return Use{u.CPU + float64(n*o.CPU), u.Memory + float64(n*o.Memory), u.Accels + float64(n*o.Accels)}
}

// Decayed returns the mean after ms more milliseconds in which the given resources were held. It lies between the two,
// however long that was.
func (u Use) Decayed(held Use, ms float64) Use {
	return Use{decay(u.CPU, held.CPU, ms), decay(u.Memory, held.Memory, ms), decay(u.Accels, held.Accels, ms)}
}

// decay is one implicit step of the decay. The conversions keep processors from fusing the operations, so that all
// replicas get the same result.
func decay(mean, held, ms float64) float64 {
	return (float64(mean*useDecayMs) + float64(held*ms)) / (useDecayMs + ms)
}

// negligible reports whether the mean of a team that holds nothing may be forgotten.
func (u Use) negligible() bool { return u.CPU < 1 && u.Memory < 1 && u.Accels < 0.001 }

// advanceUse updates the means of all teams to the time of a command. A clock that jumped back charges nothing.
func (d *stateData) advanceUse(nowMs int64) {
	ms := float64(max(0, nowMs-d.UseMs))
	if d.UseMs == 0 {
		ms = 0
	}
	d.UseMs = nowMs
	if ms == 0 {
		return
	}
	for team := range d.held {
		if _, ok := d.LatelyHeld[team]; !ok {
			d.LatelyHeld[team] = Use{}
		}
	}
	for team, mean := range d.LatelyHeld {
		held, holds := d.held[team]
		mean = mean.Decayed(held, ms)
		if !holds && mean.negligible() {
			delete(d.LatelyHeld, team)
			continue
		}
		d.LatelyHeld[team] = mean
	}
}

// hold adds n runs of a step to what the team of a job holds; n is negative when they have ended.
func (d *stateData) hold(j *Job, step, n int) {
	held := d.held[j.Team].plus(j.Spec.Steps[step].use(), float64(n))
	if held == (Use{}) {
		delete(d.held, j.Team)
		return
	}
	d.held[j.Team] = held
}

// holdAll adds n times the runs of a job that haven't ended to what its team holds.
func (d *stateData) holdAll(j *Job, n int) {
	for _, o := range j.Occurrences {
		for step := range o.Steps {
			for i := range o.Steps[step].Tasks {
				if !o.Steps[step].Tasks[i].Worker.Zero() {
					d.hold(j, step, n)
				}
			}
		}
	}
}

// countHeld computes what each team holds from the jobs.
func (d *stateData) countHeld() {
	d.held = map[string]Use{}
	for _, j := range d.Jobs {
		d.holdAll(j, 1)
	}
}

// renameUse gives the accounts of teams the new names of the teams. The accounts of teams that become one are added.
func (d *stateData) renameUse(owners map[string]string) {
	renamed := map[string]Use{}
	for _, team := range slices.Sorted(maps.Keys(d.LatelyHeld)) {
		owner, ok := owners[team]
		if !ok {
			owner = team
		}
		renamed[owner] = renamed[owner].plus(d.LatelyHeld[team], 1)
	}
	d.LatelyHeld = renamed
	d.countHeld()
}

// TeamUse returns what teams hold and held lately, by name. Teams without an entry hold nothing and held nothing
// lately.
func (v View) TeamUse() map[string]TeamUse {
	use := map[string]TeamUse{}
	for team, mean := range v.data.LatelyHeld {
		use[team] = TeamUse{Lately: mean}
	}
	for team, held := range v.data.held {
		use[team] = TeamUse{Held: held, Lately: use[team].Lately}
	}
	return use
}
