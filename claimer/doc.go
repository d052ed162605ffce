// Package claimer binds a caller's own idempotency key to one minted key.
//
// Each attempt mints a key at an agent and claims the caller's key with a
// create-if-absent in the key-value service. Whoever wins runs; whoever loses
// closes its own minted key and follows the winner's. The package is a pure
// state machine: an event gives the next action.
package claimer
