// Package queuer decides, in one router, which requests wait, which are refused
// and what is offered to which agent.
//
// Queues are bounded in count and bytes, so that a flood costs no more memory
// than they allow. A request that waits here was never handed to an agent, so a
// refusal from here is provably true. The package is pure: callers pass the
// present time and carry out the results.
package queuer
