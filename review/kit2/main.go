// Command kit2 plays the cases of the second review that can't be put as a day of the
// users' bench: it starts the built programs as processes on loopback addresses, with
// stand-ins of callers, operators and workers, and checks one rule.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxLength is after how long a case is given up.
const maxLength = 110 * time.Second

// endAfter gives the case up after a time or on a signal.
func (s *system) endAfter(limit time.Duration) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case sig := <-signals:
		s.rec.add("NOT RUN: %v", sig)
	case <-time.After(limit):
		s.rec.add("NOT RUN: not done after %v", limit)
	}
	s.close()
	os.Exit(exitNotRun)
}

// play plays a case. It returns what was seen of the rule being broken, "" if it held.
type play func(s *system) (string, error)

var cases = map[string]play{
	"odd-heartbeat":       oddHeartbeat,
	"renamed-route":       renamedRoute,
	"many-orders":         manyOrders,
	"refused-after-stall": refusedAfterStall,
	"silent-conns":        silentConns,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, recordFile string) int {
	rec, err := newRecord(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	s, err := newSystem(rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer s.close()
	background(func() { s.endAfter(maxLength) })
	rec.add("case %s, with the disruption: %v", name, s.trouble)
	broken, err := cases[name](s)
	switch {
	case err != nil && errors.Is(err, errNotRun):
		rec.add("NOT RUN: %v", err)
		fmt.Println("NOT RUN:", err)
		return exitNotRun
	case err != nil:
		rec.add("NOT RUN: %v", err)
		fmt.Println("NOT RUN:", err)
		return exitNotRun
	case broken != "":
		rec.add("BROKEN: %s", broken)
		fmt.Println("BROKEN:", broken)
		return exitBroken
	}
	rec.add("HELD")
	fmt.Println("HELD")
	return exitHeld
}
