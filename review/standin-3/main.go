// Standin-3 plays the cases of the third review that are scripts: it starts the project's routers
// as separate processes beside small stand-ins of the store, the servers and the consumers.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// The ends of a case.
const (
	held    = 0
	broken  = 1
	cannot  = 2
	usage   = "usage: standin-3 CASE RECORD (TROUBLE=0 plays it without the disruption)"
	caseArg = 1
	pathArg = 2
)

var cases = map[string]func(rec *record, dir string, trouble bool) int{
	"deny":  playDeny,
	"drain": playDrain,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != pathArg+1 || cases[os.Args[caseArg]] == nil {
		fmt.Fprintln(os.Stderr, usage)
		return cannot
	}
	rec, err := newRecord(os.Args[pathArg])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannot
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "standin-3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannot
	}
	defer func() { _ = os.RemoveAll(dir) }()
	defer killAll()
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupts
		killAll()
		_ = os.RemoveAll(dir)
		os.Exit(cannot)
	}()
	return cases[os.Args[caseArg]](rec, dir, os.Getenv("TROUBLE") != "0")
}
