// Package loader drives a fleet with a mixed profile of requests from many
// workspaces, checks every answer to the byte and reports what the callers saw.
//
// It knows the answers because the stand-in engine's tokens follow from the
// prompt.
package loader
