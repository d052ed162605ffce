// Package forwarder is the request path of a router that sends callers' own HTTP
// requests on to targets: it takes them in, checks their keys and routes, picks a
// target, follows the answer and tells the caller the truth about its outcome.
//
// What the callers' and targets' headers are called is left to a Dialect.
package forwarder
