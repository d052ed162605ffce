package router

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"

	"buckthorndrum/exchanger"
	"buckthorndrum/identifier"
	"buckthorndrum/mangler"
	"buckthorndrum/messenger"
	"buckthorndrum/securer"
	"buckthorndrum/signer"
)

// encoded returns values as a CBOR sequence.
func encoded(t testing.TB, values ...any) []byte {
	t.Helper()
	var seq []byte
	for _, v := range values {
		raw, err := cbor.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		seq = append(seq, raw...)
	}
	return seq
}

// newTestCall returns a router that is not started and a call of it.
func newTestCall() (*Router, *call) {
	r := &Router{}
	r.metrics = newMetrics(r)
	c := &call{}
	c.item.Arrived = identifier.InstantOf(time.Now())
	return r, c
}

// An answer of an agent that ends in a way that is none doesn't tell how the request ended, so
// that its caller must not hear that it has not run, nor that it is done.
func TestBrokenEndOfAnAnswerIsUnknown(t *testing.T) {
	type pieces []any
	for name, stream := range map[string]pieces{
		"no outcome":            {messenger.Piece{End: &messenger.End{}}},
		"another outcome":       {messenger.Piece{End: &messenger.End{Outcome: "ok"}}},
		"in capitals":           {messenger.Piece{End: &messenger.End{Outcome: "Done"}}},
		"not run behind tokens": {messenger.Piece{Tokens: []string{"a"}, End: &messenger.End{Outcome: identifier.NotRun, Tokens: 1}}},
		"too few tokens":        {messenger.Piece{Tokens: []string{"a"}}, messenger.Piece{Index: 1, End: &messenger.End{Outcome: identifier.Done, Tokens: 2}}},
		"a negative index":      {messenger.Piece{Index: -1, Tokens: []string{"a", "b"}, End: &messenger.End{Outcome: identifier.Done, Tokens: 1}}},
		"no end":                {messenger.Piece{Tokens: []string{"a"}}},
		"nothing":               {},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r, c := newTestCall()
			end, err := r.readAnswer(c, bytes.NewReader(encoded(t, stream...)), &recordingSink{t: t})
			res, _ := r.concludeAttempt(c, end, err)
			p := problemOf("r", *res)
			g.Expect(res.Outcome).To(Equal(identifier.Unknown))
			g.Expect(p.Status).To(Equal(http.StatusGatewayTimeout))
		})
	}
}

// A refusal shows that the request has not run only if it says so and no attempt before it may
// have run; it never shows that a request without a key is done.
func TestRefusalSaysNotRunOnlyIfItIsTrue(t *testing.T) {
	notRun := messenger.Fault{Outcome: identifier.NotRun, Step: "decode_handover"}
	keyClosed := messenger.Fault{Outcome: identifier.NotRun, Step: messenger.StepKey}
	keyEnded := messenger.Fault{Outcome: identifier.Done, Step: "find_answer"}
	for name, tc := range map[string]struct {
		body       []byte
		mayHaveRun bool
		keyed      bool
		want       identifier.Outcome
	}{
		"not run":                          {encoded(t, notRun), false, false, identifier.NotRun},
		"not run, after a lost attempt":    {encoded(t, notRun), true, false, identifier.Unknown},
		"not run under a key, lost before": {encoded(t, notRun), true, true, identifier.Unknown},
		"its key closed, a lost attempt":   {encoded(t, keyClosed), true, true, identifier.NotRun},
		"a key closed, but it has none":    {encoded(t, keyClosed), true, false, identifier.Unknown},
		"done without a key":               {encoded(t, keyEnded), false, false, identifier.Unknown},
		"done under a key":                 {encoded(t, keyEnded), false, true, identifier.Done},
		"another outcome":                  {encoded(t, messenger.Fault{Outcome: "refused"}), false, false, identifier.Unknown},
		"no outcome":                       {encoded(t, messenger.Fault{}), false, false, identifier.Unknown},
		"half of it":                       {encoded(t, notRun)[:5], false, false, identifier.Unknown},
		"two of them":                      {encoded(t, notRun, notRun), false, false, identifier.Unknown},
		"nothing":                          {nil, false, false, identifier.Unknown},
		"a page":                           {[]byte("<html>not_run</html>"), false, false, identifier.Unknown},
		"the grant, after a lost attempt":  {encoded(t, messenger.Fault{Outcome: identifier.NotRun, Step: messenger.StepGrant}), true, false, identifier.Unknown},
		"the grant":                        {encoded(t, messenger.Fault{Outcome: identifier.NotRun, Step: messenger.StepGrant}), false, false, identifier.NotRun},
	} {
		t.Run(name, func(t *testing.T) {
			r, c := newTestCall()
			c.mayHaveRun = tc.mayHaveRun
			if tc.keyed {
				c.key = &signer.Key{}
			}
			res, _ := r.handleHandoverRefusal(c, &http.Response{StatusCode: http.StatusConflict, Body: io.NopCloser(bytes.NewReader(tc.body))})
			NewWithT(t).Expect(res.Outcome).To(Equal(tc.want), fmt.Sprintf("%+v", *res))
		})
	}
}

// A reply about a key that names no key is none: two callers would get the same key from two of
// them.
func TestReplyWithoutKeyIsRefused(t *testing.T) {
	security, err := securer.New(securer.Config{Secret: "secret of the tests"})
	if err != nil {
		t.Fatal(err)
	}
	sound := messenger.KeyReply{Sequence: 1, State: "fresh", Incarnation: 7}
	for name, tc := range map[string]struct {
		body  []byte
		sound bool
	}{
		"sound":           {encoded(t, sound), true},
		"empty":           {nil, false},
		"an empty map":    {encoded(t, map[int]int{}), false},
		"null":            {encoded(t, nil), false},
		"no incarnation":  {encoded(t, messenger.KeyReply{Sequence: 1, State: "fresh"}), false},
		"no state":        {encoded(t, messenger.KeyReply{Sequence: 1, Incarnation: 7}), false},
		"half of it":      {encoded(t, sound)[:4], false},
		"bytes behind it": {append(encoded(t, sound), 0xf6), false},
		"two of them":     {encoded(t, sound, sound), false},
		"a page":          {[]byte("<html></html>"), false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(tc.body) }))
			defer agent.Close()
			r, _ := newTestCall()
			r.security, r.client = security, agent.Client()
			rep, _, err := r.sendKeyRequest(context.Background(), http.MethodPost, agent.Listener.Addr().String(), "/keys", nil)
			g.Expect(err == nil).To(Equal(tc.sound), "%+v", rep)
		})
	}
}

// What is no answer doesn't tell a caller that its request is cancelled at another router.
func TestBrokenAnswerToACancellationIsNone(t *testing.T) {
	for answer, want := range map[string]bool{
		"HTTP/1.1 204 x\r\n\r\n":                       true,
		"HTTP/1.1 404 x\r\n\r\n":                       false,
		"HTTP/1.1 204 x\r\nX : y\r\n\r\n":              false,
		"HTTP/1.1 204 x\r\nX: y\r\n Z: y\r\n\r\n":      false,
		"HTTP/2.0 204 x\r\n\r\n":                       false,
		"HTTP/1.1 204 x\r\nX: y":                       false,
		"HTTP/1.1 000 x\r\n\r\nHTTP/1.1 204 x\r\n\r\n": false,
	} {
		t.Run(answer, func(t *testing.T) {
			address := mangler.Serve(t, mangler.Send(answer))
			r, _ := newTestCall()
			r.peerClient = exchanger.NewClient(cancelTimeout)
			NewWithT(t).Expect(r.cancelAtRouter(context.Background(), address, "r-1-1", "")).To(Equal(want))
		})
	}
}
