package agent

import (
	"encoding/json"
	"testing"

	"buckthorndrum/messenger"
	"buckthorndrum/placer"
)

// FuzzEvent checks that no event of an engine makes an answer skip or repeat a token, and that
// one without an index or a text is refused.
func FuzzEvent(f *testing.F) {
	f.Add(`{"index":2,"text":"x"}`, 2)
	f.Add(`{"index":-1}`, 0)
	f.Add(`{"error":"x"}`, 0)
	f.Fuzz(func(t *testing.T, data string, at int) {
		next := max(0, at)
		before, seen := next, 0
		err := handleEvent(data, &next, func(string) { seen++ })
		var event streamEvent
		if (json.Unmarshal([]byte(data), &event) != nil || event.check() != nil) && err == nil {
			t.Fatalf("malformed event %q was accepted", data)
		}
		if want := err == nil && *event.Index == before; (seen == 1) != want || seen > 1 {
			t.Fatalf("event %q at token %d was passed on %d times", data, before, seen)
		}
	})
}

// FuzzLoad checks that any report of an engine can be sent to other agents.
func FuzzLoad(f *testing.F) {
	f.Add(`{"batch":3,"model":"meta/Model-3:8b","adapters":["a"],"loading":true,"fence":7}`)
	f.Add(`{"model":"a b","adapters":["","\u0000"]}`)
	f.Fuzz(func(t *testing.T, raw string) {
		var l engineLoad
		if json.Unmarshal([]byte(raw), &l) != nil {
			return
		}
		p := placer.New(placer.Config{})
		p.UpdateEngine(1, l.EngineState)
		r := p.LastReport()
		if d := p.Tick(1, placer.LocalState{}); d.Announce != nil {
			r = *d.Announce
		}
		enc, dec := messenger.NewCoder(), messenger.NewCoder()
		frame, err := enc.Encode(messenger.Frame{Placement: &r})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := dec.Decode(frame); err != nil {
			t.Fatalf("report %q of the engine breaks the link: %v", raw, err)
		}
	})
}
