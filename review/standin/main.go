// Command standin runs the review's scripts. It plays the platform's store, the servers
// and the callers of a small deployment, and starts the project's routers as separate
// processes. See ../REPORT.md.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNoRun  = 2
)

// caseFunc plays a case. It returns what broke the rule, nothing if the rule held, and an
// error if the case could not run.
type caseFunc func(d *deployment, trouble bool) (breaks []string, err error)

var cases = map[string]caseFunc{
	"leaving": playLeaving,
	"sigterm": playSigterm,
	"flap":    playFlap,
	"spoiled": playSpoiled,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "server" {
		serverMain(os.Args[2:])
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(exitNoRun)
	}
	os.Exit(runCase(cases[os.Args[1]], os.Args[2]))
}

// runCase plays a case and returns its exit code. All processes have ended when it
// returns.
func runCase(play caseFunc, recordPath string) int {
	rec, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoRun
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.logf("case", "trouble %t", trouble)
	d, err := newDeployment(rec)
	if err != nil {
		rec.logf("case", "could not run: %v", err)
		return exitNoRun
	}
	defer d.close()
	go d.closeOnSignal()
	breaks, err := play(d, trouble)
	if err != nil {
		rec.logf("case", "could not run: %v", err)
		return exitNoRun
	}
	for _, b := range breaks {
		rec.logf("BROKEN", "%s", b)
	}
	if len(breaks) > 0 {
		return exitBroken
	}
	rec.logf("case", "the rule held")
	return exitHeld
}
