// Package configurator holds the one document by which operators change the
// behaviour of the fleet: its types, its checks, its split into parts that are
// addressed by content hash, and the audit entry that is written in the same
// swap as the change.
package configurator
