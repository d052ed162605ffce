// Package collector sums the service that each workspace has received over a
// pool too large for every agent to hear from every other.
//
// Workspaces are spread over shards, and each shard has a tree of its own over
// the pool's agents, so that the inner places are spread evenly. Increments go
// up: an agent hands what it has counted to its parent, which takes it over with
// an acknowledgement. The root of a shard counts what arrives under its own
// origin in a grow-only row, and the rows go down. There is no election: two
// roots do no harm, for both rows count. A message that is lost is sent again,
// and one that is repeated is not counted twice; what an agent holds when it
// crashes is lost, which is at most one flush interval of its subtree's service.
//
// The package is pure and is measured at the size of docs/CAPACITY.md. Pools of
// today's size exchange rows directly; see the package counter.
package collector
