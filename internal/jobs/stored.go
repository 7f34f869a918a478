package jobs

// Estimates in bytes of what each control process holds for a stored job: its record, its part of a snapshot that is
// being written, its entry in the log, and what the leader keeps to plan it.
const (
	storedJobBytes  = 3 << 10
	storedStepBytes = 2 << 10
	storedTaskBytes = 192
	// storedTextFactor is how often a text of the caller is there: in the record, the log and the snapshot.
	storedTextFactor = 3
)

// maxOpenOccurrences is the highest number of occurrences of a job that are planned at a time. It bounds the plan where
// many are due at once: they differ only in their due times, so the later ones can wait for the earlier ones.
const maxOpenOccurrences = 64

// OpenOccurrences returns how many occurrences of the job are planned at a time: together they have no more steps and
// tasks than a job that isn't repeated may have.
func (s *Spec) OpenOccurrences() int {
	return min(s.Occurrences(), max(1, min(maxOpenOccurrences, MaxSteps/max(1, len(s.Steps)), MaxTasks/max(1, s.Tasks()))))
}

// longRunning reports whether an occurrence lasts until the job is canceled.
func (s *Spec) longRunning() bool {
	for _, st := range s.Steps {
		if st.LongRunning {
			return true
		}
	}
	return false
}

// StoredBytes returns about how many bytes a control process holds for the job until it is dropped. It depends on
// nothing but the specification, so it is the same on all replicas, after a restart too.
func (s *Spec) StoredBytes() int64 {
	occurrences := s.OpenOccurrences()
	if s.longRunning() {
		occurrences = s.Occurrences() // each keeps its record
	}
	texts := len(s.Text)
	for _, st := range s.Steps {
		texts += len(st.RequiredLabel) + len(st.DataRack) + len(st.Image) + 8*len(st.DependsOn)
	}
	progress := int64(len(s.Steps))*storedStepBytes + int64(s.Tasks())*storedTaskBytes
	return storedJobBytes + int64(texts)*storedTextFactor + int64(occurrences)*progress
}

// addStored adds n times what is held for a job to the account of its team.
func (d *stateData) addStored(j *Job, n int64) {
	bytes := n * j.Spec.StoredBytes()
	d.storedTotal += bytes
	if d.stored[j.Team] += bytes; d.stored[j.Team] == 0 {
		delete(d.stored, j.Team)
	}
}

// countStored computes what is held for each team from the jobs.
func (d *stateData) countStored() {
	d.stored, d.storedTotal = map[string]int64{}, 0
	for _, j := range d.Jobs {
		d.addStored(j, 1)
	}
}

// Stored returns about how many bytes are held for the jobs of a team, and for those of all teams.
func (v View) Stored(team string) (ofTeam, total int64) {
	return v.data.stored[team], v.data.storedTotal
}
