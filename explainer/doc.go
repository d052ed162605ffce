// Package explainer tells from the logs of routers what became of one request: where it
// came, what was decided and on which grounds, what changed meanwhile, and the cause of
// its end in one sentence.
//
// Reading is kept apart from deciding: [Read] takes in log files, [History.Causes] is
// a function of what it found.
package explainer
