// Command standin runs the stand-ins of the review's scripts, and the scripts themselves.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxPrinted is the number of findings that are printed; the record has all.
const maxPrinted = 8

// scriptLimit ends a script that takes too long.
const scriptLimit = 118 * time.Second

// script plays one case. trouble is false for the run without the disruption. It returns what broke the
// rule.
type script func(s *system, trouble bool) ([]string, error)

func main() {
	if len(os.Args) > 2 && os.Args[1] == "worker" {
		if err := runMinion(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	if len(os.Args) != 4 || os.Args[1] != "play" || scripts[os.Args[2]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin play SCRIPT RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(scripts[os.Args[2]], os.Args[3], os.Getenv("TROUBLE") != "0"))
}

func play(run script, record string, trouble bool) int {
	s, err := newSystem()
	if err != nil {
		fmt.Fprintln(os.Stderr, "not run:", err)
		return exitNotRun
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-stop:
		case <-time.After(scriptLimit):
		}
		fmt.Fprintln(os.Stderr, "not run: stopped")
		s.stopAll()
		os.Exit(exitNotRun)
	}()
	s.note("script", "begins", fmt.Sprintf("disruption: %v", trouble))
	found, err := run(s, trouble)
	if err := s.writeRecord(record, found); err != nil {
		fmt.Fprintln(os.Stderr, "record:", err)
	}
	s.stopAll()
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "not run:", err)
		return exitNotRun
	case len(found) > 0:
		for _, f := range found[:min(len(found), maxPrinted)] {
			fmt.Println(f)
		}
		fmt.Printf("%d findings\n", len(found))
		return exitBroken
	}
	fmt.Println("the rule held")
	return exitHeld
}
