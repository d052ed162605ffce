// Package identifier names the things that the processes of buckthorndrum
// talk about: workspaces, kinds, pools, targets, incarnations, grants and
// keys, together with the units of cost and time.
//
// It is the innermost package and imports nothing of the project.
package identifier
