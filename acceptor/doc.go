// Package acceptor provides the listener for callers and tracks their connections. A
// process that shuts down, or has too many connections, closes only those on which no
// request has arrived. See docs/design/platform.md.
package acceptor
