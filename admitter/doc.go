// Package admitter decides which target a request is sent to, and whether it is
// sent at all, from what this router and its peers have under way, what was
// learned of the targets, and which prompt parts they hold. It is pure: it has no
// clock and no I/O.
package admitter
