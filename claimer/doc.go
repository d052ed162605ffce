// Package claimer runs one attempt at a request under an idempotency key, from
// its arrival at a router to the outcome that is returned to the caller.
//
// A key that the caller generated is bound to one minted key by a
// create-if-absent operation in the key-value service. The attempt whose minted
// key is stored wins and runs the request. An attempt that loses closes its own
// minted key and follows the run under the winning key. A minted key that the
// caller sends needs no claim. The package is a pure state machine: each event
// yields the next action. The outcome is always that of the key, never that of a
// single attempt.
package claimer
