package forwarder

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// readGap is the pause between two writes of a target that must be two reads of the router.
const readGap = 30 * time.Millisecond

// reads streams the pieces, each in one write, with pauses between them. It ends the stream
// properly if complete is set, and closes the connection otherwise.
func reads(complete bool, pieces ...string) script {
	return func(w net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 x\r\nId: %s\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
		for _, piece := range pieces {
			time.Sleep(readGap)
			writeChunk(w, piece)
		}
		if complete {
			_, _ = io.WriteString(w, "0\r\n\r\n")
		} else {
			time.Sleep(readGap)
		}
		return complete
	}
}

// sendStream sends a request for a stream that may be resumed. The first target that gets
// it runs first, the second one rest.
func sendStream(t *testing.T, first, rest script) (callerAnswer, []receivedRequest) {
	t.Helper()
	f := newFleet(t)
	both := firstThen(first, rest)
	f.addTarget("a", both)
	f.addTarget("b", both)
	return f.send(f.request(http.MethodPost, "/stream/1", "x")), f.requestsSeen()
}

// wrongEvent is an event of the stream of numberedEvents with a wrong id.
func wrongEvent(n int, id string) string { return fmt.Sprintf("id: %s\ndata: d%d\n\n", id, n) }

// Events that were read together with a wrong one after them reach the caller, and the
// stream goes on behind them at another target. They were lost (ORDER in review/4).
func TestEventsReadWithAWrongOneAreNotLost(t *testing.T) {
	for name, pieces := range map[string][]string{
		"in the first read":        {numberedEvents(1, 3) + wrongEvent(4, "914")},
		"in a later read":          {numberedEvents(1, 2), numberedEvents(3, 3) + wrongEvent(4, "914")},
		"and good ones after it":   {numberedEvents(1, 2), numberedEvents(3, 3) + wrongEvent(4, "914") + numberedEvents(5, 6)},
		"and a part of one behind": {numberedEvents(1, 2), numberedEvents(3, 3) + wrongEvent(4, "914") + "id: 5\nda"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			a, requests := sendStream(t, reads(false, pieces...), events(9, true, ""))
			g.Expect(a.truncated).To(BeFalse())
			g.Expect(a.body).To(Equal(numberedEvents(1, 9)))
			g.Expect(requests).To(HaveLen(2))
			g.Expect(requests[1].header.Get("After")).To(Equal("3"))
		})
	}
}

// A stream in which a number comes out of order does not look complete, even if the wrong
// event is the first or the last one and is read alone: it goes on at another target behind
// the last event in order, or is broken off. Events with lower numbers were left out as
// repetitions, so that a stream could look complete without its last event.
func TestWrongEventReadAloneIsNotTakenForARepetition(t *testing.T) {
	resumed := numberedEvents(1, 9)
	for _, c := range []struct {
		name   string
		pieces []string
		// body is what the caller gets, which is complete if it is resumed.
		body string
	}{
		{"last", []string{numberedEvents(1, 8), wrongEvent(9, "3")}, resumed},
		{"in the middle", []string{numberedEvents(1, 2), wrongEvent(3, "1"), numberedEvents(4, 9)}, resumed},
		{"twice", []string{numberedEvents(1, 2), numberedEvents(2, 2), numberedEvents(3, 9)}, resumed},
		{"no number", []string{numberedEvents(1, 2), wrongEvent(3, "x3"), numberedEvents(4, 9)}, resumed},
		{"first, read with the second", []string{wrongEvent(1, "901") + numberedEvents(2, 9)}, resumed},
		{"first", []string{wrongEvent(1, "901"), numberedEvents(2, 9)}, wrongEvent(1, "901")},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			a, _ := sendStream(t, reads(true, c.pieces...), events(9, true, ""))
			g.Expect(a.body).To(Equal(c.body))
			g.Expect(a.truncated).To(Equal(c.body != resumed))
		})
	}
}

// A target that goes on from the start of a stream, in spite of the last event's ID, repeats
// events that the caller has. They are left out, and the stream is not complete before
// events follow that it does not have.
func TestRepeatedStartOfAStreamIsLeftOut(t *testing.T) {
	g := NewWithT(t)
	first := reads(false, numberedEvents(1, 5))
	a, _ := sendStream(t, first, reads(true, numberedEvents(1, 3), numberedEvents(4, 9)))
	g.Expect(a.truncated).To(BeFalse())
	g.Expect(a.body).To(Equal(numberedEvents(1, 9)))
	a, _ = sendStream(t, first, reads(true, numberedEvents(1, 3)))
	g.Expect(a.truncated).To(BeTrue())
	g.Expect(a.body).To(Equal(numberedEvents(1, 5)))
}

// A stream is not resumed behind an event without an ID: the other target would send that
// event again. One behind the next event with an ID is.
func TestStreamIsNotResumedBehindEventWithoutID(t *testing.T) {
	g := NewWithT(t)
	const plain = "data: x\n\n"
	a, requests := sendStream(t, reads(false, numberedEvents(1, 3), plain), events(9, true, ""))
	g.Expect(a.truncated).To(BeTrue())
	g.Expect(a.body).To(Equal(numberedEvents(1, 3) + plain))
	g.Expect(requests).To(HaveLen(1))
	a, _ = sendStream(t, reads(false, numberedEvents(1, 3), plain, numberedEvents(4, 4), ": comment\n\n"), events(9, true, ""))
	g.Expect(a.truncated).To(BeFalse())
	g.Expect(a.body).To(Equal(numberedEvents(1, 3) + plain + numberedEvents(4, 4) + ": comment\n\n" + numberedEvents(5, 9)))
}
