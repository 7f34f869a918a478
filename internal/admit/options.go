package admit

import "time"

// Options holds the settings of a Queue.
type Options struct {
	MaxQueued int           // most requests that one team may have queued for one service
	Margin    time.Duration // time reserved before a deadline for the network transfer of request and answer
	WaitShare float64       // largest fraction of the time until the latest start that a request may spend queued
	LongWait  time.Duration // a long request that has waited this long is served before short ones
}

// Defaults returns the options with each unset value replaced by its default.
func (o Options) Defaults() Options {
	if o.MaxQueued == 0 {
		o.MaxQueued = 20_000
	}
	if o.Margin == 0 {
		o.Margin = 5 * time.Millisecond
	}
	if o.WaitShare == 0 {
		o.WaitShare = 0.25
	}
	if o.LongWait == 0 {
		o.LongWait = 30 * time.Second
	}
	return o
}
