package fakes_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedlug/knapweedlug/internal/fakes"
)

// newEvent returns an event of job j at the given second after the start of the journal.
func newEvent(second int, kind fakes.EventKind, lease string, member int, epoch uint64, state string) fakes.Event {
	at := newClock().Now().Add(time.Duration(second) * time.Second)
	return fakes.Event{Kind: kind, At: at, Lease: lease, Job: "j", Member: member, Epoch: epoch, State: state}
}

func TestGangViolations(t *testing.T) {
	start, end := fakes.EventStart, fakes.EventEnd
	tests := map[string]struct {
		events []fakes.Event
		want   []string
	}{
		"members end at different times": {[]fakes.Event{
			newEvent(0, start, "l1", 0, 1, ""), newEvent(1, start, "l2", 1, 1, ""),
			newEvent(9, end, "l1", 0, 1, "done"), newEvent(50, end, "l2", 1, 1, "done"),
		}, nil},
		"one member never starts": {[]fakes.Event{
			newEvent(0, start, "l1", 0, 1, ""), newEvent(9, end, "l1", 0, 1, "expired"),
		}, []string{"job j epoch 1: ran in part for 9s"}},
		"one member is lost and the other keeps running": {[]fakes.Event{
			newEvent(0, start, "l1", 0, 1, ""), newEvent(0, start, "l2", 1, 1, ""),
			newEvent(5, end, "l1", 0, 1, "failed"), newEvent(12, end, "l2", 1, 1, "expired"),
		}, []string{"job j epoch 1: ran in part for 7s"}},
		"one member is lost and the other stops in time": {[]fakes.Event{
			newEvent(0, start, "l1", 0, 1, ""), newEvent(0, start, "l2", 1, 1, ""),
			newEvent(5, end, "l1", 0, 1, "failed"), newEvent(8, end, "l2", 1, 1, "stopped"),
		}, nil},
		"started twice under one epoch": {[]fakes.Event{
			newEvent(0, start, "l1", 0, 1, ""), newEvent(0, start, "l2", 1, 1, ""), newEvent(1, end, "l1", 0, 1, "done"),
			newEvent(1, end, "l2", 1, 1, "done"), newEvent(2, start, "l3", 0, 1, ""), newEvent(3, end, "l3", 0, 1, "done"),
		}, []string{"job j member 0: started twice under epoch 1"}},
		"two epochs at once": {[]fakes.Event{
			newEvent(0, start, "l1", 0, 1, ""), newEvent(0, start, "l2", 1, 1, ""),
			newEvent(4, start, "l3", 0, 2, ""), newEvent(4, start, "l4", 1, 2, ""),
			newEvent(3, end, "l2", 1, 1, "stopped"), newEvent(6, end, "l1", 0, 1, "stopped"),
			newEvent(9, end, "l3", 0, 2, "done"), newEvent(9, end, "l4", 1, 2, "done"),
		}, []string{"job j member 0: ran under epochs 1 and 2 at once"}},
		"still runs in part": {[]fakes.Event{
			newEvent(0, start, "l1", 0, 1, ""),
		}, []string{"job j epoch 1: ran in part for 1m40s"}},
	}
	now := newClock().Now().Add(100 * time.Second)
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tt.want, fakes.GangViolations(tt.events, map[string]int{"j": 2}, 3*time.Second, now))
		})
	}
}
