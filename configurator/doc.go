// Package configurator defines the document with which operators configure the
// fleet: its types, its validation, its division into parts that are addressed by
// content hash, and the audit entry that is written in the same compare-and-swap as
// the change.
package configurator
