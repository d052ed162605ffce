// Package placer decides, beside one engine, which model the engine has loaded.
//
// Agents of one pool tell each other what their engines serve and which kinds
// wait. Each decides for its own engine alone: a model that too few engines
// serve is loaded, and an engine goes over to another model if that one's
// waiting work is entitled to more engines than it has. No agent leaves a model
// unless enough others that outrank it serve that model, so that the highest
// ranked one stays. Weights are loaded in turn, one engine in each interval of
// the weight store's rate limit. The package is pure: callers pass the present
// time and carry out the decisions.
package placer
