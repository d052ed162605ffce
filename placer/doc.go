// Package placer decides which model one engine has loaded. Each agent runs a
// placer for the engine beside it.
//
// Agents of one pool report to each other which models their engines serve and
// which kinds have waiting work. Each agent decides only for its own engine. It
// loads a model that fewer targets serve than the configured minimum, and it
// switches to another model if the waiting work of that model is entitled to
// more engines than serve it. Targets are ranked for each model. A target leaves
// a model only while enough targets that outrank it serve that model, so the
// highest-ranked ones stay. The targets take turns in loading weights: at most
// one engine starts to load in each interval of the weight store's rate limit.
// The package does no I/O and reads no clock: callers pass the current time and
// carry out the decisions.
package placer
