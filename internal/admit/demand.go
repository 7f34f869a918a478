package admit

// Count holds numbers of requests by class.
type Count struct {
	Short, Long int
}

// Total returns the number of requests of both classes together.
func (c Count) Total() int { return c.Short + c.Long }

// Demand holds the numbers of requests that an entry has queued for one service,
// in order of priority. Agents divide their slots among the entries by it.
type Demand struct {
	Guaranteed Count // requests that fit into unused guaranteed slots of their teams
	Urgent     Count // urgent requests beyond the guarantees
	Borrowed   Count // all other requests beyond the guarantees
}

// ByClass returns the numbers of all requests by class.
func (d Demand) ByClass() Count {
	return Count{
		Short: d.Guaranteed.Short + d.Urgent.Short + d.Borrowed.Short,
		Long:  d.Guaranteed.Long + d.Urgent.Long + d.Borrowed.Long,
	}
}

func (c *Count) add(o Count) {
	c.Short += o.Short
	c.Long += o.Long
}
