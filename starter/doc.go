// Package starter starts a small fleet with stand-ins in one process on
// loopback, for the local mode, for measurements and for tests.
package starter
