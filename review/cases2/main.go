// Command cases2 plays one case of the second review: it starts the project's own programs as separate processes, plays
// clients, servers, discovery and the registry on loopback addresses, and checks one rule. Its exit code is 0 if the rule
// held, 1 if it was broken and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// timeLimit bounds a case.
const timeLimit = 110 * time.Second

// cases lists the cases by name; blind is beyond the five of the review (REPORT-2.md). A case returns how the rule
// was broken, or nothing if it held.
var cases = map[string]func(*rig) []string{
	"routeclass": routeClass,
	"control":    controlRestart,
	"tier":       tierStop,
	"zone":       unknownZone,
	"hedge":      fallbackCopies,
	"blind":      blindStart,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases2 CASE FOLDER")
		os.Exit(exitCannotRun)
	}
	r, err := newRig(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCannotRun)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		select {
		case <-signals:
		case <-time.After(timeLimit):
		}
		r.logf("stopped from outside or over the time limit")
		r.exit(exitCannotRun)
	}()
	broken := cases[os.Args[1]](r)
	for _, line := range broken {
		r.logf("BROKEN: %s", line)
		fmt.Println("BROKEN:", line)
	}
	if len(broken) > 0 {
		r.exit(exitBroken)
	}
	r.logf("the rule held")
	fmt.Println("the rule held; record:", filepath.Join(os.Args[2], "record.txt"))
	r.exit(exitHeld)
}
