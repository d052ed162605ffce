// Package claimer takes one attempt at a request under an idempotency key from
// its arrival at a router to the outcome that the caller is told.
//
// A caller's own key is bound to one minted key by a create-if-absent in the
// key-value service: whoever wins runs, and whoever loses closes its own minted
// key and follows the winner's. A minted key that the caller brings is bound
// already. The package is a pure state machine: an event gives the next action,
// and the outcome speaks of the key, never of the attempt alone.
package claimer
