// Package informer lets routers tell each other, several times a second, what
// they have under way. A message holds the whole of what its sender says, so that
// lost, repeated and reordered ones do no harm.
package informer
