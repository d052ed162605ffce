// Package storer speaks to the platform's key-value service.
//
// The brief names no protocol for the service. Every package that needs it
// declares the small interface it uses; this package has the types they share
// and one adapter for HTTP with JSON, described in docs/platform.md.
package storer
