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

// HashOf returns the hash of part raw.
func HashOf(raw []byte) Hash {
	h := sha256.Sum256(raw)
	return Hash(hex.EncodeToString(h[:]))
}

// Head is the record that is compare-and-swapped. It names the document's parts
// by content, so that only changed parts travel.
type Head struct {
	// Revision is one more than that of the head it replaced.
	Revision identifier.Revision `json:"revision"`
	// Parts are the parts in the order in which they are joined.
	Parts []Hash `json:"parts"`
	// Audit is the latest entries, the newest first and one for each revision.
	Audit []AuditEntry `json:"audit"`
	// Older is the part that holds the entries before those, empty if none.
	Older Hash `json:"older,omitempty"`
}

// AuditEntry is one entry of the audit trail.
type AuditEntry struct {
	Revision identifier.Revision `json:"revision"`
	// Operator is who made the change.
	Operator string    `json:"operator"`
	Time     time.Time `json:"time"`
	// From is the revision that the change replaced.
	From identifier.Revision `json:"from"`
	// Changed are the paths that the change touched, at most maxChanged.
	Changed []string `json:"changed"`
}

// AuditPage is a part that holds older audit entries.
type AuditPage struct {
	Audit []AuditEntry `json:"audit"`
	Older Hash         `json:"older,omitempty"`
}

const (
	// maxAuditInHead is how many entries the head holds before a page is cut off.
	maxAuditInHead = 64
	// workspacesPerPart is about how many workspaces one part holds.
	workspacesPerPart = 256
	// maxChangedPaths bounds the paths listed in one audit entry.
	maxChangedPaths = 32
)

// DecodeHead reads a head record and checks it.
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

// Split cuts a document into parts. Workspaces are spread over parts by a hash
// of their id, so that one change touches one part.
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

// Join puts parts together again and checks the document.
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

// Change is a new head with the parts it needs, ready to be stored.
type Change struct {
	Head  Head
	Parts map[Hash][]byte
}

// Plan prepares the change from old, which may be empty, to document doc.
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

// moveOldAudit moves the older half of the entries to a page once there are many.
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
