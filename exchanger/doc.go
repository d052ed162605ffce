// Package exchanger sends HTTP/1.1 requests to targets over a connection pool of its own
// and reads their answers. It never retries a request, reports whether a byte of it may
// have reached the target, and never delivers bytes that belong to another request as an
// answer.
//
// What is an answer, and whether it ended or broke off, is decided here for all processes:
// Transport brings the same rules to clients that use net/http.
package exchanger
