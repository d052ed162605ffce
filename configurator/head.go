package configurator

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"buckthorndrum/identifier"
)

// Hash is the SHA-256 hash of a part, in hexadecimal.
type Hash string

// HashOf returns the hash of the encoded part raw.
func HashOf(raw []byte) Hash {
	h := sha256.Sum256(raw)
	return Hash(hex.EncodeToString(h[:]))
}

// Head is the record that a change of the configuration replaces by compare-and-swap.
// It refers to the parts of the document by content hash, so that only changed parts
// are transferred.
type Head struct {
	// Revision is one greater than that of the replaced head.
	Revision identifier.Revision `json:"revision"`
	// Parts holds the hashes of the parts in the order in which Join takes them.
	Parts []Hash `json:"parts"`
	// Audit holds the latest audit entries, one for each revision, the newest first.
	Audit []AuditEntry `json:"audit"`
	// Older is the hash of the AuditPage with the preceding entries, empty if there is
	// none.
	Older Hash `json:"older,omitempty"`
}

// AuditEntry records one change of the configuration in the audit trail.
type AuditEntry struct {
	Revision identifier.Revision `json:"revision"`
	// Operator is the id of the operator who made the change.
	Operator string    `json:"operator"`
	Time     time.Time `json:"time"`
	// From is the revision that the change replaced.
	From identifier.Revision `json:"from"`
	// Changed holds the paths that Diff returns for the change.
	Changed []string `json:"changed"`
}

// AuditPage is a part that holds older audit entries. Older is the hash of the page
// with the preceding ones, empty if there is none.
type AuditPage struct {
	Audit []AuditEntry `json:"audit"`
	Older Hash         `json:"older,omitempty"`
}

const (
	// maxAuditInHead is the maximum number of entries in the head. If it is exceeded,
	// older ones are moved to a page.
	maxAuditInHead = 64
	// workspacesPerPart is the maximum average number of workspaces per part.
	workspacesPerPart = 256
	// maxChangedPaths is the maximum number of paths in one audit entry.
	maxChangedPaths = 32
)

// DecodeHead decodes a head. It returns an error if the head is malformed, or has no
// revision or no parts.
func DecodeHead(raw []byte) (Head, error) {
	var h Head
	if err := json.Unmarshal(raw, &h); err != nil {
		return Head{}, errors.Wrap(err, "decode configuration head")
	}
	if h.Revision == 0 || len(h.Parts) == 0 {
		return Head{}, fmt.Errorf("configuration head has revision %d and %d parts", h.Revision, len(h.Parts))
	}
	return h, nil
}

// Split encodes a document in parts. The first part holds all but the workspaces. These
// are distributed over the other parts by a hash of their id, so that a change of one
// workspace changes one part.
func Split(doc Document) ([][]byte, error) {
	rest := doc
	rest.Workspaces = nil
	first, err := json.Marshal(rest)
	if err != nil {
		return nil, errors.Wrap(err, "encode configuration")
	}
	parts := [][]byte{first}
	for _, b := range partitionWorkspaces(doc.Workspaces) {
		raw, err := json.Marshal(b)
		if err != nil {
			return nil, errors.Wrap(err, "encode workspaces")
		}
		parts = append(parts, raw)
	}
	return parts, nil
}

// partitionWorkspaces distributes workspaces over a power of two of partitions by a hash
// of their id, and sorts each partition by id.
func partitionWorkspaces(ws []Workspace) [][]Workspace {
	n := 1
	for n*workspacesPerPart < len(ws) {
		n *= 2
	}
	bs := make([][]Workspace, n)
	for _, w := range ws {
		i := xxhash.Sum64String(string(w.ID)) % uint64(n)
		bs[i] = append(bs[i], w)
	}
	for _, b := range bs {
		sort.Slice(b, func(i, j int) bool { return b[i].ID < b[j].ID })
	}
	return bs
}

// Join decodes the parts that Split returns, and checks the document. Its workspaces are
// sorted by id.
func Join(parts [][]byte) (Document, error) {
	if len(parts) == 0 {
		return Document{}, errors.New("join configuration: there are no parts")
	}
	var doc Document
	if err := json.Unmarshal(parts[0], &doc); err != nil {
		return Document{}, errors.Wrap(err, "decode configuration part 0")
	}
	for i, raw := range parts[1:] {
		var ws []Workspace
		if err := json.Unmarshal(raw, &ws); err != nil {
			return Document{}, errors.Wrapf(err, "decode configuration part %d", i+1)
		}
		doc.Workspaces = append(doc.Workspaces, ws...)
	}
	sort.Slice(doc.Workspaces, func(i, j int) bool { return doc.Workspaces[i].ID < doc.Workspaces[j].ID })
	if ps := doc.Check(); len(ps) > 0 {
		return Document{}, ps
	}
	return doc, nil
}

// Change is a new head with its parts, ready to be stored.
type Change struct {
	Head  Head
	Parts map[Hash][]byte
}

// Plan returns the change from oldHead, which may be the zero Head, to document doc. The
// audit entry names the operator, the time now and the paths that differ between oldDoc
// and doc; oldDoc may be nil.
func Plan(oldHead Head, oldDoc *Document, doc Document, operator string, now time.Time) (Change, error) {
	parts, err := Split(doc)
	if err != nil {
		return Change{}, err
	}
	ch := Change{Parts: map[Hash][]byte{}}
	ch.Head = Head{Revision: oldHead.Revision + 1, Older: oldHead.Older}
	for _, raw := range parts {
		h := HashOf(raw)
		ch.Head.Parts = append(ch.Head.Parts, h)
		ch.Parts[h] = raw
	}
	entry := AuditEntry{
		Revision: ch.Head.Revision,
		Operator: operator,
		Time:     now.UTC(),
		From:     oldHead.Revision,
		Changed:  Diff(oldDoc, &doc),
	}
	ch.Head.Audit = append([]AuditEntry{entry}, oldHead.Audit...)
	return ch, ch.moveOldAudit()
}

// moveOldAudit moves the older entries to a page if there are more than maxAuditInHead. The
// newest maxAuditInHead/2 entries stay in the head.
func (ch *Change) moveOldAudit() error {
	if len(ch.Head.Audit) <= maxAuditInHead {
		return nil
	}
	half := maxAuditInHead / 2
	page := AuditPage{Audit: ch.Head.Audit[half:], Older: ch.Head.Older}
	raw, err := json.Marshal(page)
	if err != nil {
		return errors.Wrap(err, "encode audit page")
	}
	h := HashOf(raw)
	ch.Parts[h] = raw
	ch.Head.Older = h
	ch.Head.Audit = ch.Head.Audit[:half:half]
	return nil
}
