// Package queuer decides, in one router, which requests are queued or refused and which
// agents are offered what is queued.
//
// Queues are bounded in requests and bytes, so that a flood uses no more memory than
// the bounds allow. A queued request has not been handed to an agent, so a request that
// this package refuses has certainly not run. The package is pure: callers pass the
// current time and carry out the results.
package queuer
