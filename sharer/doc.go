// Package sharer works out which workspaces ask for more than their max-min
// share of a rate, from what all routers see. It is pure: it has no clock and no
// I/O.
package sharer
