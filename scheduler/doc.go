// Package scheduler decides, for one target, which waiting request the target takes
// next.
//
// Routers offer the requests that wait in their queues. While the target has free
// slots, the scheduler chooses a kind by its guaranteed share, then the workspace of
// that kind that has received the least service across the fleet relative to its
// weight, and issues a grant to a router that offers such a request. The package is
// pure: it has no clock, goroutine, random source or I/O. Callers pass the current time
// and carry out the returned actions.
package scheduler
