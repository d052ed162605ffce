// Package measurer drives the fleet's own decision code in virtual time and
// takes the four measures of docs/MEASURES.md, next to two baselines and to a
// perfect central queue.
//
// It is no simulator of a cluster: messages are delayed or dropped, targets
// take tokens one step at a time, and everything else is the code that runs in
// production. One run is repeatable from its seed.
package measurer
