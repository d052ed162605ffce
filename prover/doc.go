// Package prover holds the soak: real processes on loopback under a seeded
// schedule of faults, with the stand-ins as oracles. It has no code of its own
// outside its tests.
package prover
