// Package collector sums the service that each workspace has received in a pool
// that is too large for every agent to exchange state with every other.
//
// Workspaces are divided into shards. Each shard has its own tree over the
// pool's agents, so that the inner nodes are spread evenly over the agents.
// Increments go up: an agent sends what it has counted to its parent, which
// takes it over and acknowledges it. The root of a shard counts what arrives in
// a grow-only row under its own origin, and the rows go down. There is no
// election: two roots do no harm, because the rows of both count. A lost message
// is sent again, and a repeated one is not counted twice. What an agent holds
// when it crashes is lost: at most the service of its subtree in one flush
// interval.
//
// The package does no I/O. It is measured at the size given in docs/CAPACITY.md.
// Pools of the present size exchange rows directly; see package counter.
package collector
