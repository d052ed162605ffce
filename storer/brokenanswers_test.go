package storer

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"buckthorndrum/mangler"
)

// swap writes "x" for a key that is at version v, at a service that answers with some bytes.
func swap(t *testing.T, v Version, answer string) error {
	t.Helper()
	c := New(Config{Address: "http://" + mangler.Serve(t, mangler.Send(answer)), Timeout: 2 * time.Second})
	_, err := c.Swap(context.Background(), "k", []byte("x"), v, 0)
	return err
}

// answerOf returns an answer with a status and a body.
func answerOf(status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d x\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

func TestSoundAnswers(t *testing.T) {
	g := NewWithT(t)
	g.Expect(swap(t, 0, answerOf(200, `{"value":"eA==","version":3}`))).To(Succeed())
	g.Expect(swap(t, 0, answerOf(412, `{"value":"YQ==","version":3}`))).To(MatchError(ErrConflict))
	g.Expect(swap(t, 2, answerOf(412, `{"value":null,"version":0}`))).To(MatchError(ErrConflict), "the key has expired")
	g.Expect(swap(t, 0, answerOf(503, ""))).To(MatchError(ErrRefused))
	g.Expect(swap(t, 0, answerOf(404, ""))).To(MatchError(ErrAbsent))
}

// An answer that can't be one to the write doesn't show that the key was written, nor that it
// was not, nor who else wrote it.
func TestBrokenAnswersToAWriteAreLost(t *testing.T) {
	const written = `{"value":"eA==","version":3}`
	for name, tc := range map[string]struct {
		version Version
		answer  string
	}{
		"empty":                     {0, answerOf(200, "")},
		"null":                      {0, answerOf(200, "null")},
		"no entry":                  {0, answerOf(200, "{}")},
		"no version":                {0, answerOf(200, `{"value":"eA=="}`)},
		"another value":             {0, answerOf(200, `{"value":"YQ==","version":3}`)},
		"two entries":               {0, answerOf(200, written+written)},
		"conflict without entry":    {0, answerOf(412, "{}")},
		"conflict with an empty":    {0, answerOf(412, "null")},
		"conflict at that version":  {3, answerOf(412, `{"value":"YQ==","version":3}`)},
		"truncated":                 {0, "HTTP/1.1 200 x\r\n\r\n" + written[:len(written)-1]},
		"truncated refusal":         {0, "HTTP/1.1 503 x\r\nContent-Length: 5\r\n\r\nbus"},
		"status 000":                {0, strings.Replace(answerOf(200, written), "200", "000", 1)},
		"status 999":                {0, strings.Replace(answerOf(200, written), "200", "999", 1)},
		"refusal of HTTP/2.0":       {0, strings.Replace(answerOf(503, ""), "/1.1", "/2.0", 1)},
		"refusal, blank in a name":  {0, "HTTP/1.1 503 x\r\nX : y\r\nContent-Length: 0\r\n\r\n"},
		"absent, blank before name": {0, "HTTP/1.1 404 x\r\nX: y\r\n Z: y\r\nContent-Length: 0\r\n\r\n"},
		"blank in a name":           {0, "HTTP/1.1 200 x\r\nX : y\r\nContent-Length: 28\r\n\r\n" + written},
		"control byte in a name":    {0, "HTTP/1.1 503 x\r\nX\x01: y\r\nContent-Length: 0\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			err := swap(t, tc.version, tc.answer)
			if !errors.Is(err, ErrLost) || errors.Is(err, ErrRefused) {
				t.Errorf("it is %v", err)
			}
		})
	}
}
