// Package keeper runs each minted key of one agent incarnation at most once.
//
// It keeps two bits for each key for the incarnation's whole life: used and
// closed. Answers are kept for repeats while room lasts; a repeat that comes
// later is still never run again.
package keeper
