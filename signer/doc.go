// Package signer makes and checks the minted keys that callers hold, and the
// hashes of workspaces' bearer tokens.
//
// A minted key names the agent incarnation that made it, the workspace and the
// kind, under a message authentication code, so that a caller can forge none.
package signer
