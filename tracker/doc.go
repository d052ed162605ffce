// Package tracker keeps the list of targets as a store tells of them, through the
// store's outages. It is pure: it has no clock and no I/O.
package tracker
