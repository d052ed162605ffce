// Package seeder fixes the seed and the number of histories of the stateful
// fuzzers, so that CI gives the same verdict every time.
package seeder

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// seed is the seed of every fuzzer unless the command line gives another.
const seed = 20261204

// Main runs a package's tests with a number of histories for each property. The
// flags -rapid.checks and -rapid.seed on the command line go before it.
func Main(m *testing.M, histories int) {
	set("rapid.checks", histories)
	set("rapid.seed", seed)
	flag.Parse()
	os.Exit(m.Run())
}

func set(name string, v int) {
	if err := flag.Set(name, strconv.Itoa(v)); err != nil {
		panic(err) // The package does not use the fuzzer.
	}
}
