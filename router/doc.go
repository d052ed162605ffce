// Package router is the thin entry process. It holds callers' connections and
// their waiting requests, offers them to the agents and hands each one over
// under a grant. Losing a router loses only its callers' open connections.
//
// Its state is one blackboard that its controllers read and write under one
// lock.
package router
