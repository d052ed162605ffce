package router

import (
	"bytes"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"buckthorndrum/claimer"
	"buckthorndrum/configurator"
	"buckthorndrum/identifier"
	"buckthorndrum/messenger"
)

// FuzzSubmission checks that the numbers of a submission that is accepted are in range.
func FuzzSubmission(f *testing.F) {
	f.Add([]byte(`{"kind":"ticket","payload":{"bale":7},"deadline_ms":9223372036854775807}`))
	f.Add([]byte(`{"kind":"answer","prompt":"p","max_tokens":1,"cost_hint":2,"prefix":"x"} {}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		sub, err := decodeSubmission(raw)
		if err != nil {
			return
		}
		limit := sub.timeLimit(configurator.Kind{DeadlineMS: 1000})
		if limit <= 0 || limit > maxDeadline {
			t.Fatalf("deadline_ms %d gives time limit %s", sub.DeadlineMS, limit)
		}
		if sub.CostHint < 0 || sub.MaxTokens < 0 {
			t.Fatalf("submission %+v was accepted", sub)
		}
	})
}

// FuzzClaim checks that a claim is followed only if it is of the same request.
func FuzzClaim(f *testing.F) {
	newAttempt := func(body string) *keyedAttempt { return &keyedAttempt{call: &call{body: []byte(body)}} }
	claim, err := encodeClaim(newAttempt("a"), "bk1~key")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(claim, "a")
	f.Fuzz(func(t *testing.T, raw []byte, body string) {
		e, _ := decodeClaim(newAttempt(body), raw)
		if e == claimer.Exists && !bytes.Contains(raw, []byte(requestHash(newAttempt(body)))) {
			t.Fatalf("claim %q was accepted for another request", raw)
		}
	})
}

// recordingSink records the tokens of an answer and fails the test if one is out of order.
type recordingSink struct {
	t      *testing.T
	tokens []string
}

func (l *recordingSink) accepted(identifier.Request, identifier.Target) error { return nil }

func (l *recordingSink) token(index int, text string) error {
	if index != len(l.tokens) {
		l.t.Fatalf("token %d came after %d tokens", index, len(l.tokens))
	}
	l.tokens = append(l.tokens, text)
	return nil
}

// FuzzPieces checks that no stream from an agent makes a caller's answer skip or repeat a
// token, that none counts as complete with tokens missing, and that each ends with an outcome.
func FuzzPieces(f *testing.F) {
	var stream []byte
	for _, p := range []messenger.Piece{{Tokens: []string{"a", "b"}}, {Index: 1, Tokens: []string{"b", "c"}}, {Index: 3, End: &messenger.End{Outcome: identifier.Done, Tokens: 3}}} {
		raw, err := cbor.Marshal(p)
		if err != nil {
			f.Fatal(err)
		}
		stream = append(stream, raw...)
	}
	f.Add(stream, 0)
	f.Add(stream[:len(stream)-3], 2)
	r := &Router{}
	r.metrics = newMetrics(r)
	f.Fuzz(func(t *testing.T, raw []byte, prior int) {
		tokens := slices.Repeat([]string{"p"}, max(0, min(prior, 8)))
		l := &recordingSink{t: t, tokens: slices.Clone(tokens)}
		c := &call{tokens: tokens}
		c.item.Arrived = identifier.InstantOf(time.Now())
		end, err := r.readAnswer(c, bytes.NewReader(raw), l)
		if !slices.Equal(c.tokens, l.tokens) {
			t.Fatalf("the router holds %d tokens, the caller has %d", len(c.tokens), len(l.tokens))
		}
		if err == nil && end.Outcome == identifier.Done && end.Tokens != len(l.tokens) {
			t.Fatalf("an answer of %d tokens counted as complete with %d", end.Tokens, len(l.tokens))
		}
		if err == nil && end.Outcome.Check() != nil {
			t.Fatalf("an answer ended as %q", end.Outcome)
		}
	})
}
