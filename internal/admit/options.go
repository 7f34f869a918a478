package admit

import "time"

// Options are the settings of a Queue.
type Options struct {
	MaxQueued int           // requests that one team may have queued for one service
	DeadlineMargin    time.Duration // time kept free before a deadline for sending and the answer
	MaxWaitFraction float64       // part of the time before the latest start that may be spent queued
	LongMaxWait  time.Duration // a long request that has waited this long goes before short ones
}

// Defaults returns the options with each unset value replaced by its default.
func (o Options) Defaults() Options {
	if o.MaxQueued == 0 {
		o.MaxQueued = 20_000
	}
	if o.DeadlineMargin == 0 {
		o.DeadlineMargin = 5 * time.Millisecond
	}
	if o.MaxWaitFraction == 0 {
		o.MaxWaitFraction = 0.25
	}
	if o.LongMaxWait == 0 {
		o.LongMaxWait = 30 * time.Second
	}
	return o
}
