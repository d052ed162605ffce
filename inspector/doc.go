// Package inspector checks an operator's configuration before it is sent. [Inspect] reports
// malformed values, entries that can never match and limits that contradict each other, each
// with its place in the file; [Compare] reports how it differs from the version in force.
//
// It has no decoder of the configuration's file: the caller passes the file as the running
// system decodes it. Findings and differences are in the terms of the file, so that this is
// the one package besides platform that has names of its fields. It uses no clock, file or
// network.
package inspector
