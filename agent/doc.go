// Package agent implements the process that runs beside one target. All work for the
// target passes through its agent, so the agent alone decides on order and limits for the
// target, runs each key at most once, and drains the target.
//
// The agent has one shared state. The code for links, runs, keys and counters reads and
// writes it under one lock. The scheduler and the placer do not send: they return what is
// to be sent, and the agent sends it.
package agent
