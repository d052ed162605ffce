package configurator

import (
	"fmt"

	"github.com/pkg/errors"

	"buckthorndrum/identifier"
)

// Adopter holds the configuration in force in one process and adopts later ones,
// from the store or from peers. It never returns to an earlier revision, whatever
// the source. It is not safe for concurrent use.
type Adopter struct {
	// current is the configuration in force, nil before the first. Its revision only
	// increases.
	current *Snapshot
	rawHead []byte
	head    Head
	// parts holds the parts of the head in force and of pending heads, by their hash.
	parts map[Hash][]byte
	// pending is the latest head with missing parts, nil if there is none. Its
	// revision is greater than the current one.
	pending    *Head
	rawPending []byte
}

// NewAdopter returns an adopter without a configuration.
func NewAdopter() *Adopter { return &Adopter{parts: map[Hash][]byte{}} }

// Current returns the configuration in force, or nil if there is none.
func (a *Adopter) Current() *Snapshot { return a.current }

// Revision returns the revision in force, or zero if there is none.
func (a *Adopter) Revision() identifier.Revision {
	if a.current == nil {
		return 0
	}
	return a.current.Revision
}

// Head returns the head in force, decoded and in its stored encoding.
func (a *Adopter) Head() (Head, []byte) { return a.head, a.rawHead }

// Part returns the part with hash h, or nil if the adopter does not hold it.
func (a *Adopter) Part(h Hash) []byte { return a.parts[h] }

// OfferHead adds an encoded head. It reports whether this put a new configuration in
// force, and if not, which parts are missing for the pending head. It ignores a head
// whose revision is not later. It returns an error if the head cannot be decoded or
// the configuration is not valid.
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

// OfferPart adds a part of the pending head and ignores other parts. It reports whether
// this put a new configuration in force. It returns an error if the configuration is
// not valid.
func (a *Adopter) OfferPart(raw []byte) (adopted bool, err error) {
	h := HashOf(raw)
	if a.pending == nil || !containsHash(a.pending.Parts, h) {
		return false, nil
	}
	a.parts[h] = raw
	adopted, _, err = a.adoptIfComplete()
	return adopted, err
}

// Missing returns the hashes of the parts that are missing for the pending head.
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

// adoptIfComplete puts the pending configuration in force if all its parts are held, and
// otherwise returns the missing ones. A configuration that is not valid is dropped.
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

// adopt puts doc in force under the pending head, and drops the parts that this head
// does not name.
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

// ConflictError is returned for a change that is based on another revision than the one
// in force.
type ConflictError struct {
	// Expected is the revision that the change is based on.
	Expected identifier.Revision
	// Actual is the revision in force.
	Actual identifier.Revision
}

// Error implements error.
func (e ConflictError) Error() string {
	return fmt.Sprintf("the change is based on revision %d, but revision %d is in force; read it again and repeat the change", e.Expected, e.Actual)
}
