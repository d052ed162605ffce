package spreader_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"buckthorndrum/configurator"
	"buckthorndrum/identifier"
	"buckthorndrum/messenger"
	"buckthorndrum/seeder"
	"buckthorndrum/spreader"
)

func TestMain(m *testing.M) { seeder.Main(m, 500) }

// newDocument returns a valid document of n workspaces. Its weights depend on v.
func newDocument(n, v int) configurator.Document {
	doc := configurator.Document{
		Limits:    configurator.DefaultLimits(),
		Pools:     []configurator.Pool{{ID: "p", Type: configurator.Engine, CreditWindow: 1}},
		Operators: []configurator.Operator{{ID: "o", TokenHash: fmt.Sprintf("%064x", 1)}},
	}
	for i := range n {
		doc.Workspaces = append(doc.Workspaces, configurator.Workspace{ID: identifier.Workspace(fmt.Sprint("w", i)), Weight: float64(1 + (v+i)%3)})
	}
	return doc
}

// fleet is a few processes, a store and the messages between them.
type fleet struct {
	t             *rapid.T
	procs         []*configurator.Adopter
	heads         [][]byte
	parts         map[configurator.Hash][]byte
	lastRevisions []identifier.Revision
	inbox         []message
	written       map[identifier.Revision]string
}

type message struct {
	from, to int
	frame    messenger.Frame
}

// change writes a new configuration by compare-and-swap.
func (f *fleet) change(v int) {
	var old configurator.Head
	if n := len(f.heads); n > 0 {
		old, _ = configurator.DecodeHead(f.heads[n-1])
	}
	doc := newDocument(300, v)
	ch, err := configurator.Plan(old, nil, doc, "o", time.Unix(int64(v), 0))
	if err != nil {
		f.t.Fatal(err)
	}
	raw, err := json.Marshal(ch.Head)
	if err != nil {
		f.t.Fatal(err)
	}
	for h, p := range ch.Parts {
		f.parts[h] = p
	}
	f.heads = append(f.heads, raw)
	f.written[ch.Head.Revision] = string(raw)
}

// read makes process i read the store, which may return any earlier head.
func (f *fleet) read(i int) {
	if len(f.heads) == 0 {
		return
	}
	raw := f.heads[rapid.IntRange(0, len(f.heads)-1).Draw(f.t, "shown")]
	_, missing, err := f.procs[i].OfferHead(raw)
	if err != nil {
		f.t.Fatal(err)
	}
	for _, h := range missing {
		if rapid.IntRange(0, 9).Draw(f.t, "part lost") > 0 {
			if _, err := f.procs[i].OfferPart(f.parts[h]); err != nil {
				f.t.Fatal(err)
			}
		}
	}
}

func (f *fleet) send(from, to int, fr messenger.Frame) {
	fr.Revision = f.procs[from].Revision()
	f.inbox = append(f.inbox, message{from, to, fr})
}

// deliver delivers message n. If duplicate is set, the message stays in the
// inbox and may be delivered again.
func (f *fleet) deliver(n int, duplicate bool) {
	m := f.inbox[n]
	if !duplicate {
		f.inbox = append(f.inbox[:n:n], f.inbox[n+1:]...)
	}
	res, err := spreader.Handle(f.procs[m.to], m.frame)
	if err != nil {
		f.t.Fatal(err)
	}
	for _, r := range res.Replies {
		f.send(m.to, m.from, r)
	}
}

func (f *fleet) check() {
	for i, p := range f.procs {
		if p.Revision() < f.lastRevisions[i] {
			f.t.Fatalf("process %d went from revision %d to %d", i, f.lastRevisions[i], p.Revision())
		}
		f.lastRevisions[i] = p.Revision()
		if _, raw := p.Head(); p.Revision() > 0 && string(raw) != f.written[p.Revision()] {
			f.t.Fatalf("process %d has a different head as revision %d", i, p.Revision())
		}
	}
}

// TestSpread checks that no process goes back to an older revision, whatever the
// store returns and however messages are lost, repeated and reordered. It also
// checks that in the end one process with the newest revision brings all others
// to it without the store.
func TestSpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{t: t, parts: map[configurator.Hash][]byte{}, written: map[identifier.Revision]string{}}
		for range 3 {
			f.procs = append(f.procs, configurator.NewAdopter())
			f.lastRevisions = append(f.lastRevisions, 0)
		}
		f.change(0)
		for i := range rapid.IntRange(1, 30).Draw(t, "events") {
			a, b := rapid.IntRange(0, 2).Draw(t, "a"), rapid.IntRange(0, 2).Draw(t, "b")
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0:
				f.change(i + 1)
			case 1:
				f.read(a)
			case 2:
				f.send(a, b, messenger.Frame{})
			case 3: // A process loses its state and may start again from any revision.
				f.procs[a], f.lastRevisions[a] = configurator.NewAdopter(), 0
			default:
				if len(f.inbox) > 0 {
					f.deliver(rapid.IntRange(0, len(f.inbox)-1).Draw(t, "message"), rapid.Bool().Draw(t, "again"))
				}
			}
			f.check()
		}
		f.checkConvergence()
	})
}

func (f *fleet) checkConvergence() {
	f.inbox = nil
	newest := f.heads[len(f.heads)-1]
	_, missing, _ := f.procs[0].OfferHead(newest)
	for _, h := range missing {
		if _, err := f.procs[0].OfferPart(f.parts[h]); err != nil {
			f.t.Fatal(err)
		}
	}
	for _, to := range []int{1, 2} {
		f.send(to-1, to, messenger.Frame{})
		for n := 0; len(f.inbox) > 0 && n < 100; n++ {
			f.deliver(0, false)
		}
	}
	for i, p := range f.procs {
		if p.Revision() != identifier.Revision(len(f.heads)) {
			f.t.Fatalf("process %d is at revision %d of %d", i, p.Revision(), len(f.heads))
		}
	}
}

// TestLargeDocument checks that a document of more than a megabyte is stored in
// parts, that a change touches few of them, and that old audit entries are moved
// to pages.
func TestLargeDocument(t *testing.T) {
	doc := newDocument(20_000, 0)
	a, err := configurator.Plan(configurator.Head{}, nil, doc, "o", time.Unix(0, 0))
	if err != nil {
		t.Fatal(err)
	}
	total := 0
	for _, p := range a.Parts {
		total += len(p)
		if len(p) > 256<<10 {
			t.Fatalf("a part has %d bytes", len(p))
		}
	}
	doc.Workspaces = append([]configurator.Workspace(nil), doc.Workspaces...)
	doc.Workspaces[7].Weight = 9
	head := a.Head
	for i := range 100 {
		b, err := configurator.Plan(head, nil, doc, "o", time.Unix(int64(i), 0))
		if err != nil {
			t.Fatal(err)
		}
		head = b.Head
		changed := 0
		for h := range b.Parts {
			if a.Parts[h] == nil && h != head.Older {
				changed++
			}
		}
		if changed != 1 {
			t.Fatalf("a change of one workspace touches %d parts", changed)
		}
	}
	if len(head.Audit) > 64 || head.Older == "" {
		t.Fatalf("head holds %d audit entries and the older page %q", len(head.Audit), head.Older)
	}
	t.Logf("document of %d bytes in %d parts", total, len(a.Head.Parts))
}
