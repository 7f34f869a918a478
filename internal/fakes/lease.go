package fakes

import (
	"strings"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/platf"
)

// lease is a lease with its task and the progress of the task.
type lease struct {
	task      platf.Task
	speed     float64       // speed of its worker
	totalWork time.Duration // total work of the command, as its duration at speed 1.0
	doneWork  time.Duration // work done until updatedAt, as its duration at speed 1.0
	savedWork time.Duration // work done by the last checkpoint
	updatedAt time.Time     // when doneWork was last updated
	fails     bool          // the command fails at once
	endless   bool          // the command never ends by itself
}

// rate returns the work done per unit of time.
func (l *lease) rate() float64 { return l.speed * l.task.Share }

// updateProgress adds the work done since the last update to doneWork.
func (l *lease) updateProgress(now time.Time) {
	if l.task.State != platf.TaskRunning || now.Before(l.updatedAt) {
		return
	}
	l.doneWork += time.Duration(float64(now.Sub(l.updatedAt)) * l.rate())
	l.updatedAt = now
}

// finishTime returns the time at which the command ends by itself, and false if it
// never does.
func (l *lease) finishTime() (time.Time, bool) {
	if l.task.State != platf.TaskRunning || (l.endless && !l.fails) {
		return time.Time{}, false
	}
	if l.fails {
		return l.updatedAt, true
	}
	return l.updatedAt.Add(time.Duration(float64(l.totalWork-l.doneWork) / l.rate())), true
}

// advance ends the lease if its command has ended or its deadline has passed by now, and
// reports whether it did.
func (l *lease) advance(now time.Time) bool {
	if !l.task.State.Live() {
		return false
	}
	end, endsByItself := l.finishTime()
	expired := !now.Before(l.task.Deadline)
	finished := endsByItself && !end.After(now)
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
	l.updateProgress(at)
	l.task.State, l.task.Reason, l.task.Ended = state, reason, at
}

// setCommand sets the command of the task. It understands "sleep 2s", "fail" and "forever".
// Any other command ends at once.
func (l *lease) setCommand(text string) error {
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
		l.totalWork = d
	}
	return nil
}
