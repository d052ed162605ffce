// Package scheduler decides, beside one target, which waiting work the target
// takes next.
//
// Routers offer what they have waiting. While the target has room, the
// scheduler picks a kind by its guaranteed share, then the workspace of that
// kind that is furthest behind across the fleet, and issues a grant to a router
// that offers it. The package is pure: it has no clock, goroutine, random
// source or I/O; callers pass the present time and carry out the actions.
package scheduler
