package allot

// roundShare is the part of all room in which the tasks of one step are expected
// to run at once. The users' objectives count a wider step in several rounds.
const roundShare = 0.25

// Rounds returns how many times as long as one task a step takes, if no more of its
// tasks run at once than fit into their share of all room. The members of a gang
// run together, however many they are.
func Rounds(tasks int, gang bool, each, all Room) float64 {
	if gang {
		return 1
	}
	return max(1, float64(tasks)*each.part(all)/roundShare)
}

// part returns which part of all room r takes, by what is scarcest.
func (r Room) part(all Room) float64 {
	part := 0.0
	for _, p := range [][2]int64{{r.CPU, all.CPU}, {r.Memory, all.Memory}, {r.Accels, all.Accels}} {
		if p[1] > 0 {
			part = max(part, float64(p[0])/float64(p[1]))
		}
	}
	return part
}
