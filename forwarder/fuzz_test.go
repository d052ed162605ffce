package forwarder

import (
	"bytes"
	"testing"
)

// FuzzEvents checks that the events of a stream do not depend on how its bytes are
// divided into reads, and that no byte is lost.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: end\n\nrest"), byte(3))
	f.Add([]byte("\n\n\r\n\n"), byte(1))
	f.Fuzz(func(t *testing.T, raw []byte, step byte) {
		single := &eventBuffer{memory: &reservation{budget: &memoryBudget{}}}
		parts := &eventBuffer{memory: &reservation{budget: &memoryBudget{}}}
		if err := single.add(raw); err != nil {
			t.Fatal(err)
		}
		var want, got [][]byte
		for e := single.next(); e != nil; e = single.next() {
			want = append(want, bytes.Clone(e))
			_, _ = eventID(e)
			_ = hasContent(e)
		}
		for rest := raw; len(rest) > 0; {
			n := min(len(rest), 1+int(step))
			if err := parts.add(rest[:n]); err != nil {
				t.Fatal(err)
			}
			rest = rest[n:]
			for e := parts.next(); e != nil; e = parts.next() {
				got = append(got, bytes.Clone(e))
			}
			parts.compact()
		}
		if len(got) != len(want) {
			t.Fatalf("%d events in parts of %d, %d at once: %q, %q", len(got), 1+int(step), len(want), got, want)
		}
		for i := range got {
			if !bytes.Equal(got[i], want[i]) {
				t.Fatalf("event %d is %q in parts of %d, %q at once", i, got[i], 1+int(step), want[i])
			}
		}
		if !bytes.Equal(append(bytes.Join(got, nil), parts.data[parts.consumed:]...), raw) {
			t.Fatalf("%q was read, %q is left", raw, parts.data)
		}
	})
}
