// Package permitter tells whether a target may be given new work, since when and why
// not: from lists of targets, from what the target has said of itself in its answers,
// and from connections to it that failed. It is pure.
package permitter
