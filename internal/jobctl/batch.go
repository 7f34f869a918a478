package jobctl

import (
	"cmp"
	"slices"

	"github.com/knapweedlug/knapweedlug/internal/jobs"
	"github.com/knapweedlug/knapweedlug/internal/wire"
)

const (
	// maxStartBytes is the size of the starts in one message from which on the next start goes into another message.
	maxStartBytes = 256 << 10
	// maxWaitingMessages is how many messages with starts are queued for an agent at a time. The answers to its reports
	// queue behind them, also on a slow link.
	maxWaitingMessages = 8
	// startOverhead is the size of a start without its texts.
	startOverhead = 32
	// maxCommandStarts is the size of the starts in one command, far less than the log allows.
	maxCommandStarts = 1 << 20
	// placementOverhead is the size of a task in a command without its texts.
	placementOverhead = 160
	// maxEndsPerCommand limits the ends in one command, and the runs that were given up.
	maxEndsPerCommand = 4000
)

// orderBatch splits the orders for an agent into messages. All stops are in the first one.
type orderBatch struct {
	messages []*wire.HostOrders
	seen     uint64 // ends up to this number are recorded
	room     int    // number of messages with starts that may still be queued
	size     int    // of the starts in the last message
}

// newOrderBatch returns a batch for an agent for which a number of messages is queued.
func newOrderBatch(seen uint64, queued int) *orderBatch {
	return &orderBatch{messages: []*wire.HostOrders{{Seen: seen}}, seen: seen, room: maxWaitingMessages - queued}
}

// full reports whether further starts have to wait until the agent has read some messages.
func (b *orderBatch) full() bool { return b.room <= 0 }

func (b *orderBatch) addStop(s *wire.RunStop) { b.messages[0].Stops = append(b.messages[0].Stops, s) }

// addStart adds a start to the last message. The batch must not be full.
func (b *orderBatch) addStart(s *wire.RunStart) {
	last := b.messages[len(b.messages)-1]
	if b.size >= maxStartBytes {
		last = &wire.HostOrders{Seen: b.seen}
		b.messages, b.size = append(b.messages, last), 0
	}
	last.Starts = append(last.Starts, s)
	if b.size += startOverhead + len(s.Task) + len(s.Spec) + len(s.Saved); b.size >= maxStartBytes {
		b.room--
	}
}

// empty reports whether the batch has neither starts nor stops.
func (b *orderBatch) empty() bool { return len(b.messages[0].Starts)+len(b.messages[0].Stops) == 0 }

// takeTurns orders runs, which are sorted by task name, so that jobs take turns: the starts of a wide job don't keep
// those of others waiting.
func takeTurns(runs []runKey) {
	turn, next := make(map[runKey]int, len(runs)), map[string]int{}
	for _, k := range runs {
		job := jobOf(k.task)
		turn[k] = next[job]
		next[job]++
	}
	slices.SortStableFunc(runs, func(a, b runKey) int { return cmp.Compare(turn[a], turn[b]) })
}

// splitStarts splits the starts of a plan into commands. The tasks of a start, which are the members of a gang, stay
// together.
func splitStarts(starts []jobs.Start) [][]jobs.Start {
	var commands [][]jobs.Start
	size := 0
	for _, st := range starts {
		n := 0
		for _, p := range st.Placements {
			n += placementOverhead + len(p.Task.Job) + len(p.Worker.Name) + len(p.Host)
		}
		if len(commands) == 0 || size+n > maxCommandStarts {
			commands, size = append(commands, nil), 0
		}
		last := len(commands) - 1
		commands[last] = append(commands[last], st)
		size += n
	}
	return commands
}
