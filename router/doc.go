// Package router implements the entry process of the fleet. A router holds callers'
// connections and their waiting requests, offers the requests to agents and hands each
// one over under a grant. When a router is lost, only its callers' open connections are
// lost.
//
// A router keeps its state in one struct, which its goroutines read and write under one
// lock.
package router
