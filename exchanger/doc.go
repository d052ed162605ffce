// Package exchanger sends HTTP/1.1 requests to targets on connections of its
// own and reads their answers. It never sends a request twice, tells whether a
// byte of it may have reached the target, and takes no bytes for an answer that
// belong to another request.
package exchanger
