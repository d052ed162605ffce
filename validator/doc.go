// Package validator holds the rules of HTTP/1.1 for the fields of a head, which are the same
// in requests and answers.
package validator
