// Package agent is the process beside one target. All work for the target
// passes through it, so it alone decides order, limits, at most once and drain
// for that target.
//
// Its state is one blackboard. Controllers for links, runs, keys and counters
// read and write it under one lock and leave sending to their callers.
package agent
