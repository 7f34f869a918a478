package conf

// maxHistoryEntries is the maximum number of deltas in a deltaHistory.
const maxHistoryEntries = 1024

// historyEntry holds the revision at which a delta ended and the names of the teams
// and services that it set or dropped.
type historyEntry struct {
	revision uint64
	teams    []string
	services []string
}

// deltaHistory describes the latest deltas that led to a configuration, so that a
// relay can send changes instead of full copies. It is immutable.
type deltaHistory struct {
	startRevision uint64 // revision before the first entry; changes up to it are unknown
	entries       []historyEntry
}

// add returns the history with a delta added. A full copy empties it.
func (h deltaHistory) add(d Delta) deltaHistory {
	if d.Full {
		return deltaHistory{startRevision: d.Revision}
	}
	teams, services := d.changedNames()
	entry := historyEntry{revision: d.Revision, teams: teams, services: services}
	entries := append(h.entries[:len(h.entries):len(h.entries)], entry)
	if excess := len(entries) - maxHistoryEntries; excess > 0 {
		return deltaHistory{startRevision: entries[excess-1].revision, entries: entries[excess:]}
	}
	return deltaHistory{startRevision: h.startRevision, entries: entries}
}

// since returns the delta from a revision to the configuration, or a full copy if
// the history doesn't reach back that far. An entry that began before the revision
// adds more names than needed, which is harmless, since deltas carry values.
func (h deltaHistory) since(from uint64, c Config) Delta {
	if from == 0 || from < h.startRevision || from > c.Revision() {
		return c.FullDelta()
	}
	var teams, services []string
	for _, entry := range h.entries {
		if entry.revision > from {
			teams = append(teams, entry.teams...)
			services = append(services, entry.services...)
		}
	}
	return c.DeltaSince(from, teams, services)
}
