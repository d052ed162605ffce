// Package keeper ensures that each minted key of one agent incarnation runs at
// most once.
//
// It keeps two bits per key for the whole life of the incarnation: used and
// closed. The results of ended keys are kept for repeats up to a limit; a repeat
// that arrives after its result was dropped is still never run again.
package keeper
