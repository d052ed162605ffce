// Package sharer computes each workspace's max-min fair share of the fleet's token rate,
// and throttles workspaces that get much more than an underserved one. It works on the
// rates that all routers report. The package has no clock and does no I/O.
package sharer
