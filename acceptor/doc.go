// Package acceptor is the port where callers connect, and keeps count of their
// connections, so that a process that stops, or has too many, closes only those on
// which no request has come. See docs/design/platform.md.
package acceptor
