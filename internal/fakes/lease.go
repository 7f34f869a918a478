package fakes

import (
	"strings"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/platf"
)

// lease is a lease with its task and the progress of the task.
type lease struct {
	task    platf.Task
	speed   float64       // speed of its worker
	total   time.Duration // total work of the command, as its duration at speed 1.0
	done    time.Duration // work done by the time since
	saved   time.Duration // work done by the last checkpoint
	since   time.Time     // when done was last updated
	fails   bool          // the command fails at once
	endless bool          // the command never ends by itself
}

// rate returns the work done per unit of time.
func (l *lease) rate() float64 { return l.speed * l.task.Share }

// settle adds the work done since the last update to done.
func (l *lease) settle(now time.Time) {
	if l.task.State != platf.TaskRunning || now.Before(l.since) {
		return
	}
	l.done += time.Duration(float64(now.Sub(l.since)) * l.rate())
	l.since = now
}

// finish returns the time at which the command ends by itself, and false if it never does.
func (l *lease) finish() (time.Time, bool) {
	if l.task.State != platf.TaskRunning || (l.endless && !l.fails) {
		return time.Time{}, false
	}
	if l.fails {
		return l.since, true
	}
	return l.since.Add(time.Duration(float64(l.total-l.done) / l.rate())), true
}

// advance ends the lease if its command has ended or its deadline has passed by now, and
// reports whether it did.
func (l *lease) advance(now time.Time) bool {
	if !l.task.State.Live() {
		return false
	}
	end, ends := l.finish()
	expired := !now.Before(l.task.Deadline)
	finished := ends && !end.After(now)
	if finished && (!expired || !l.task.Deadline.Before(end)) {
		l.end(end, platf.TaskDone, "")
		if l.fails {
			l.task.State, l.task.Reason = platf.TaskFailed, "command failed"
		}
		return true
	}
	if expired {
		l.end(l.task.Deadline, platf.TaskExpired, "lease not renewed")
		return true
	}
	return false
}

// end ends the lease and its task at the given time.
func (l *lease) end(at time.Time, state platf.TaskState, reason string) {
	l.settle(at)
	l.task.State, l.task.Reason, l.task.Ended = state, reason, at
}

// command sets the command of the task. It understands "sleep 2s", "fail" and "forever".
// Any other command ends at once.
func (l *lease) command(text string) error {
	l.task.Command = text
	verb, arg, _ := strings.Cut(strings.TrimSpace(text), " ")
	switch verb {
	case "fail":
		l.fails = true
	case "forever":
		l.endless = true
	case "sleep":
		d, err := time.ParseDuration(strings.TrimSpace(arg))
		if err != nil {
			return err
		}
		l.total = d
	}
	return nil
}
