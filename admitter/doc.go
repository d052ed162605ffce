// Package admitter decides which target a request is sent to, and whether it is sent at
// all. The decision depends on the requests that this router and its peers have in
// progress, on the latency and the failures observed at the targets, and on the prompt
// prefixes that the targets have cached. The package has no clock and performs no I/O. In
// this package, prefill is the processing of the tokens of a prompt by a model engine,
// which comes before the first token of the output.
package admitter
