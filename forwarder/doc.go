// Package forwarder is the request path of a router that forwards callers' HTTP
// requests to targets. It accepts a request, checks its key and route, selects a
// target, relays the answer, and reports an outcome to the caller that never claims
// more than is known.
//
// A Dialect defines the names of the headers that callers and targets use.
package forwarder
