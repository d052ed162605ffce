// Package linker joins processes by WebSocket links that carry frames, and
// chooses which processes link to which.
package linker
