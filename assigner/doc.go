// Package assigner decides at which software version of its pool a stream begins, in such a way
// that any router can tell later, from the id of the request that began it, where that was. It
// does no I/O and reads no clock.
package assigner
