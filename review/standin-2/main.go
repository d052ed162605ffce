// Command standin-2 holds the stand-ins and the drivers of the cases of the second review.
package main

import (
	"errors"
	"fmt"
	"os"
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: standin-2 server|CASE RECORD")
		os.Exit(2)
	}
	if os.Args[1] == "server" {
		os.Exit(runServer(os.Args[2:]))
	}
	c := cases[os.Args[1]]
	if c == nil || len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "unknown case, or no record")
		os.Exit(2)
	}
	f, err := newFleet(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	broken, err := c(f, os.Getenv("TROUBLE") != "0")
	code := 0
	switch {
	case err != nil:
		f.note("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		code = 2
	case broken != "":
		f.note("broken: %s", broken)
		fmt.Println("broken:", broken)
		code = 1
	default:
		f.note("held")
		fmt.Println("held")
	}
	if errors.Is(err, errCannotRun) {
		code = 2
	}
	f.stop()
	os.Exit(code)
}
