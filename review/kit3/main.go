// Command kit3 plays the cases of the third review against processes of the system. It exits with 1 if the rule was
// broken, with 0 if it held and with 2 if the case couldn't be played.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// playLimit is how long a case may take.
const playLimit = 110 * time.Second

const (
	held = iota
	broken
	notPlayed
)

var cases = map[string]func(s *system, trouble bool) (int, error){
	"lasting-gang": lastingGang, "lasting-leader": lastingLeader, "first-start": firstStart, "odd-beats": oddBeats,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: kit3 CASE RECORD")
		return notPlayed
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notPlayed
	}
	defer rec.f.Close() //nolint:errcheck
	s, err := newSystem(rec)
	if s != nil {
		defer s.stop()
	}
	stopOnSignal(s)
	result := notPlayed
	if err == nil {
		result, err = cases[os.Args[1]](s, os.Getenv("TROUBLE") != "0")
	}
	if err != nil {
		rec.log("not played: %v", err)
		fmt.Println("not played:", err)
		return notPlayed
	}
	rec.log("result: %d", result)
	fmt.Println([]string{"held", "broken"}[result])
	return result
}

// stopOnSignal ends all processes of the system when this one is to end, or when the case takes too long.
func stopOnSignal(s *system) {
	if s == nil {
		return
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(playLimit):
		}
		s.rec.log("not played to the end")
		s.stop()
		os.Exit(notPlayed)
	}()
}
