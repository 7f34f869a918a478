package allot

// roundShare is the share of all resources in which the tasks of one step are expected to run at once.
// The users' objectives count a wider step in several rounds.
const roundShare = 0.25

// Rounds returns how many times the duration of one task a step takes if its tasks use no more than
// roundShare of all resources at once. The members of a gang run together, however many there are.
func Rounds(tasks int, gang bool, perTask, total Resources) float64 {
	if gang {
		return 1
	}
	return max(1, float64(tasks)*perTask.shareOf(total)/roundShare)
}

// shareOf returns the share of all that r takes, of the scarcest resource.
func (r Resources) shareOf(total Resources) float64 {
	share := 0.0
	for _, p := range [][2]int64{{r.CPU, total.CPU}, {r.Memory, total.Memory}, {r.Accels, total.Accels}} {
		if p[1] > 0 {
			share = max(share, float64(p[0])/float64(p[1]))
		}
	}
	return share
}
