// Package permitter decides whether a target may be given new work, and if not, why and
// since when. It decides by the list of targets, by what the target has reported in its
// answers, by the notices of peers, and by connections to the target that failed. The
// package has no clock and does no I/O.
package permitter
