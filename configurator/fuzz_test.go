package configurator_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"buckthorndrum/configurator"
)

// exampleDocument returns the document in testdata.
func exampleDocument(f testing.TB) []byte {
	raw, err := os.ReadFile(filepath.Join("testdata", "document.json"))
	if err != nil {
		f.Fatal(err)
	}
	return raw
}

// FuzzDecode checks that an accepted document can be encoded and decoded again, and that
// it does not change when it is split into parts and joined again.
func FuzzDecode(f *testing.F) {
	f.Add(exampleDocument(f))
	f.Fuzz(func(t *testing.T, raw []byte) {
		doc, err := configurator.Decode(raw)
		if err != nil {
			return
		}
		encoded, err := json.Marshal(doc)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := configurator.Decode(encoded); err != nil {
			t.Fatalf("encoded document %s cannot be decoded again: %v", encoded, err)
		}
		parts, err := configurator.Split(doc)
		if err != nil {
			t.Fatal(err)
		}
		joined, err := configurator.Join(parts)
		if err != nil {
			t.Fatalf("parts of document %s cannot be joined: %v", encoded, err)
		}
		if len(joined.Workspaces) != len(doc.Workspaces) || !reflect.DeepEqual(joined.Kinds, doc.Kinds) || !reflect.DeepEqual(joined.Limits, doc.Limits) {
			t.Fatalf("document %s differs after Split and Join", encoded)
		}
	})
}

// FuzzAdopter checks that no head makes an adopter return to an earlier revision, and that
// no part that the head does not name comes into force.
func FuzzAdopter(f *testing.F) {
	doc, err := configurator.Decode(exampleDocument(f))
	if err != nil {
		f.Fatal(err)
	}
	parts, err := configurator.Split(doc)
	if err != nil {
		f.Fatal(err)
	}
	head := configurator.Head{Revision: 2}
	for _, p := range parts {
		head.Parts = append(head.Parts, configurator.HashOf(p))
	}
	raw, err := json.Marshal(head)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw, parts[0])
	f.Add([]byte(`{"revision":1,"parts":[""]}`), []byte("{}"))
	f.Fuzz(func(t *testing.T, other, part []byte) {
		a := configurator.NewAdopter()
		if _, _, err := a.OfferHead(raw); err != nil {
			t.Fatal(err)
		}
		for _, p := range parts {
			if _, err := a.OfferPart(p); err != nil {
				t.Fatal(err)
			}
		}
		_, _, _ = a.OfferHead(other)
		_, _ = a.OfferPart(part)
		if a.Revision() < 2 || a.Current() == nil {
			t.Fatalf("revision %d is in force after revision 2", a.Revision())
		}
		if ps := a.Current().Document.Check(); len(ps) > 0 {
			t.Fatal(ps)
		}
	})
}
