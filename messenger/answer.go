package messenger

import (
	"fmt"

	"buckthorndrum/identifier"
)

// WorkspaceHeader names the workspace on whose behalf a router asks an agent.
const WorkspaceHeader = "X-Buckthorndrum-Workspace"

// StepGrant is the step with which an agent refuses a grant. The request that
// came with it is not run and goes back to the front of its queue.
const StepGrant = "check_grant"

// StepKey is the step with which an agent refuses a key. What it says of the request
// holds for all attempts under that key.
const StepKey = "check_key"

// Handover is the request that a router hands to an agent under a grant, or
// under a key alone when it is a repeat.
type Handover struct {
	// Grant is the permission, absent for a repeat of a used key.
	Grant *identifier.Grant `cbor:"1,keyasint,omitempty"`
	// Request is the caller's request.
	Request identifier.Request `cbor:"2,keyasint"`
	Class   identifier.Class   `cbor:"3,keyasint"`
	// Key is the minted key under which it runs, if any.
	Key *KeyRef `cbor:"4,keyasint,omitempty"`
	// DeadlineMS is the time left for the answer, in milliseconds.
	DeadlineMS int64 `cbor:"5,keyasint"`
	// Body is the caller's payload.
	Body []byte `cbor:"6,keyasint"`
	// MaxTokens bounds the answer of a model request.
	MaxTokens int `cbor:"7,keyasint,omitempty"`
	// Prior is the tokens that an earlier attempt has delivered; the answer
	// goes on after them.
	Prior []string `cbor:"8,keyasint,omitempty"`
	// Prefix is the hash of the prompt prefix, zero if none.
	Prefix identifier.Prefix `cbor:"9,keyasint,omitempty"`
}

// KeyRef names a minted key to the agent that is expected to have minted it.
type KeyRef struct {
	Incarnation identifier.Incarnation `cbor:"1,keyasint"`
	Sequence    uint64                 `cbor:"2,keyasint"`
}

// Check reports the first fault of a decoded handover.
func (h Handover) Check() error {
	if h.Request == "" {
		return fmt.Errorf("handover names no request")
	}
	if h.Grant == nil && h.Key == nil {
		return fmt.Errorf("handover of request %s has neither a grant nor a key", h.Request)
	}
	return checkClass(h.Class)
}

// Piece is one part of an answer.
type Piece struct {
	// Index is the number of tokens before this piece. The pieces of an answer
	// follow each other without a gap.
	Index int `cbor:"1,keyasint"`
	// Tokens are the tokens of the piece. A plain answer is one token.
	Tokens []string `cbor:"2,keyasint,omitempty"`
	// End marks the last piece.
	End *End `cbor:"3,keyasint,omitempty"`
}

// Check reports the first fault of a decoded piece.
func (p Piece) Check() error {
	if p.Index < 0 {
		return fmt.Errorf("piece begins at token %d", p.Index)
	}
	if p.End == nil {
		return nil
	}
	return p.End.Outcome.Check()
}

// End is how a request ended at its agent.
type End struct {
	Outcome identifier.Outcome `cbor:"1,keyasint"`
	// Tokens is how many tokens the whole answer has.
	Tokens int `cbor:"2,keyasint"`
	// Status is the HTTP status of a plain service, zero for a model.
	Status int `cbor:"3,keyasint,omitempty"`
	// Step and Peer tell where an error arose.
	Step string `cbor:"4,keyasint,omitempty"`
	Peer string `cbor:"5,keyasint,omitempty"`
	// Detail is the error in words.
	Detail string `cbor:"6,keyasint,omitempty"`
	// Final tells that the request is not to be tried again: its caller has
	// cancelled it.
	Final bool `cbor:"7,keyasint,omitempty"`
}

// Fault is the body of an agent's refusal.
type Fault struct {
	Outcome identifier.Outcome `cbor:"1,keyasint"`
	Step    string             `cbor:"2,keyasint"`
	Detail  string             `cbor:"3,keyasint"`
}

// Error implements error.
func (f Fault) Error() string { return fmt.Sprintf("%s: %s", f.Step, f.Detail) }

// KeyReply is an agent's answer about a minted key.
type KeyReply struct {
	Sequence uint64 `cbor:"1,keyasint"`
	// State is the key's state.
	State string `cbor:"2,keyasint"`
	// Incarnation is that of the agent which answers.
	Incarnation identifier.Incarnation `cbor:"3,keyasint"`
	// Outcome and Request are set for a key that has ended.
	Outcome identifier.Outcome `cbor:"4,keyasint,omitempty"`
	Request identifier.Request `cbor:"5,keyasint,omitempty"`
	// Kept tells that the answer can still be fetched.
	Kept bool `cbor:"6,keyasint,omitempty"`
	// Revives tells that the target refuses repeats itself, so that the key may
	// run in a later incarnation of the agent.
	Revives bool `cbor:"7,keyasint,omitempty"`
}

// Check reports the first fault of a decoded reply. Keys of incarnation zero would be
// alike whichever agent minted them.
func (r KeyReply) Check() error {
	if r.Incarnation == 0 || r.State == "" {
		return fmt.Errorf("reply about key %d has no incarnation or no state", r.Sequence)
	}
	return nil
}
