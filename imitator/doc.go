// Package imitator stands in for the outside systems on loopback: a model
// engine, a plain service, the platform's key-value service and its instance
// list. They are small fakes at the interfaces for tests and for the local
// mode, and no part of a deployment.
package imitator
