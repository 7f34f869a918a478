package admit

import "time"

// Options holds the settings of a Queue.
type Options struct {
	MaxQueued       int           // most requests that one team may have queued for one service
	DeadlineMargin  time.Duration // time reserved before a deadline for the network transfer of request and answer
	MaxWaitFraction float64       // largest fraction of the time until the latest start that a request may spend queued
	LongMaxWait     time.Duration // a long request that has waited this long is served before short ones
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
