package allot

// roundShare is the share of all resources in which the tasks of one step are expected to run at once.
// The users' objectives count a wider step in several rounds.
const roundShare = 0.25

// Rounds returns how many times the duration of one task a step takes if its tasks use no more than
// roundShare of all resources at once. The members of a gang run together, however many there are.
func Rounds(tasks int, gang bool, each, all Room) float64 {
	if gang {
		return 1
	}
	return max(1, float64(tasks)*each.part(all)/roundShare)
}

// part returns the share of all that r takes, of the scarcest resource.
func (r Room) part(all Room) float64 {
	part := 0.0
	for _, p := range [][2]int64{{r.CPU, all.CPU}, {r.Memory, all.Memory}, {r.Accels, all.Accels}} {
		if p[1] > 0 {
			part = max(part, float64(p[0])/float64(p[1]))
		}
	}
	return part
}
