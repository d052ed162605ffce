// Package counter keeps the service that each workspace of one pool has received across
// the fleet.
//
// The state is a grow-only counter: one row per origin, workspace and period, merged by
// maximum, so that messages may be lost, repeated or reordered. A period covers the time
// in which a workspace is continuously backlogged. A new period starts from a base level,
// and every process drops the rows of older periods. The level of a workspace is its base
// plus its rows, less refunds. The workspace with the lowest level is furthest behind.
package counter
