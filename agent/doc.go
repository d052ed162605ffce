// Package agent implements the process that runs beside one target. All work for the
// target passes through its agent, so the agent alone decides on order and limits for the
// target, runs each key at most once, and drains the target.
//
// The agent has one shared state. The code for links, runs, keys and counters reads and
// writes it under one lock.
package agent
