package configurator

import (
	"fmt"

	"github.com/pkg/errors"

	"buckthorndrum/identifier"
)

// Adopter holds the configuration that one process has in force and takes in
// later ones, from the store or from peers. It never goes back to an earlier
// revision, whoever offers it. It is not safe for concurrent use.
type Adopter struct {
	// current is nil until a configuration is in force. Its revision only rises.
	current *Snapshot
	rawHead []byte
	head    Head
	// parts are the parts of the head in force and of the pending one.
	parts map[Hash][]byte
	// pending is the latest head whose parts are not all here, if any. Its
	// revision is above the current one.
	pending    *Head
	rawPending []byte
}

// NewAdopter returns an adopter without a configuration.
func NewAdopter() *Adopter { return &Adopter{parts: map[Hash][]byte{}} }

// Current returns the configuration in force, or nil.
func (a *Adopter) Current() *Snapshot { return a.current }

// Revision returns the revision in force, zero if none.
func (a *Adopter) Revision() identifier.Revision {
	if a.current == nil {
		return 0
	}
	return a.current.Revision
}

// Head returns the head in force, decoded and as stored.
func (a *Adopter) Head() (Head, []byte) { return a.head, a.rawHead }

// Part returns a part that is held here, or nil.
func (a *Adopter) Part(h Hash) []byte { return a.parts[h] }

// OfferHead takes in a head record. It reports whether a new configuration came
// into force, and if not, which parts are missing for it.
func (a *Adopter) OfferHead(raw []byte) (adopted bool, missing []Hash, err error) {
	h, err := DecodeHead(raw)
	if err != nil {
		return false, nil, err
	}
	if h.Revision <= a.Revision() {
		return false, nil, nil
	}
	if a.pending == nil || h.Revision > a.pending.Revision {
		a.pending = &h
		a.rawPending = raw
	}
	return a.adoptIfComplete()
}

// OfferPart takes in a part of the pending head; others are ignored.
func (a *Adopter) OfferPart(raw []byte) (adopted bool, err error) {
	h := HashOf(raw)
	if a.pending == nil || !containsHash(a.pending.Parts, h) {
		return false, nil
	}
	a.parts[h] = raw
	adopted, _, err = a.adoptIfComplete()
	return adopted, err
}

// Missing returns the parts that the pending head lacks.
func (a *Adopter) Missing() []Hash {
	if a.pending == nil {
		return nil
	}
	var missing []Hash
	for _, h := range a.pending.Parts {
		if a.parts[h] == nil {
			missing = append(missing, h)
		}
	}
	return missing
}

// adoptIfComplete puts the pending configuration in force once all its parts are here.
func (a *Adopter) adoptIfComplete() (bool, []Hash, error) {
	if missing := a.Missing(); len(missing) > 0 {
		return false, missing, nil
	}
	parts := make([][]byte, len(a.pending.Parts))
	for i, h := range a.pending.Parts {
		parts[i] = a.parts[h]
	}
	doc, err := Join(parts)
	if err != nil {
		rev := a.pending.Revision
		a.pending = nil
		return false, nil, errors.Wrapf(err, "adopt configuration revision %d", rev)
	}
	a.adopt(doc)
	return true, nil, nil
}

func (a *Adopter) adopt(doc Document) {
	a.current = NewSnapshot(a.pending.Revision, doc)
	a.rawHead = a.rawPending
	a.head = *a.pending
	a.pending = nil
	for h := range a.parts {
		if !containsHash(a.head.Parts, h) {
			delete(a.parts, h)
		}
	}
}

func containsHash(hs []Hash, h Hash) bool {
	for i := range hs {
		if hs[i] == h {
			return true
		}
	}
	return false
}

// ConflictError tells that a change was based on an earlier revision.
type ConflictError struct {
	// Expected is the revision that the operator had seen.
	Expected identifier.Revision
	// Actual is the revision in force.
	Actual identifier.Revision
}

// Error implements error.
func (e ConflictError) Error() string {
	return fmt.Sprintf("the change is based on revision %d, but revision %d is in force; read it again and repeat the change", e.Expected, e.Actual)
}
