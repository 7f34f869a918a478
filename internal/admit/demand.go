package admit

// Count is a number of requests by class.
type Count struct {
	Short, Long int
}

// Total returns the requests of both classes.
func (c Count) Total() int { return c.Short + c.Long }

// Demand is what an entry has queued for one service, by the order in which it
// deserves slots. Agents share their slots by it.
type Demand struct {
	Guaranteed Count // of teams that use less than their guaranteed slots
	Urgent     Count // urgent ones beyond the guarantees
	Borrowed   Count // all others
}

// ByClass returns all requests of the demand by class.
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
