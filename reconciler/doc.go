// Package reconciler decides which entries of the store count after the store has come back
// from a copy, for a router that has read what the copy lacks. It does no I/O and reads no clock.
package reconciler
