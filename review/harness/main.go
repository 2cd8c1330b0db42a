// Command harness plays the cases of the review. Each case starts the project's own programs with the commands of the deploy file, beside
// stand-ins for clients, servers and discovery, on loopback addresses. The exit code is 1 if the rule was broken, 0 if it held, and 2 if
// the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitNoCase  = 2
	longestCase = 100 * time.Second
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER")
		os.Exit(exitNoCase)
	}
	cases := map[string]func(*lab) (bool, error){"returned-holder": returnedHolder, "late-copy": lateCopy, "lost-planners": lostPlanners, "whole-list": wholeList, "weaker-class": weakerClass}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		os.Exit(exitNoCase)
	}
	os.Exit(runCase(play, os.Args[2]))
}

// runCase plays a case, ends everything that it started, and returns the exit code.
func runCase(play func(*lab) (bool, error), folder string) int {
	l, err := newLab(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoCase
	}
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := play(l)
		done <- result{broken, err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	var r result
	select {
	case r = <-done:
	case <-interrupted:
		r.err = fmt.Errorf("interrupted")
	case <-time.After(longestCase):
		r.err = fmt.Errorf("not over after %s", longestCase)
	}
	code := exitHeld
	switch {
	case r.err != nil:
		l.note("could not run: %v", r.err)
		code = exitNoCase
	case r.broken:
		l.note("RULE BROKEN")
		code = exitBroken
	default:
		l.note("rule held")
	}
	l.close()
	return code
}
