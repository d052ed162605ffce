package forwarder

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"buckthorndrum/identifier"
)

// streamEnd is how a stream of softwareEvents ends.
type streamEnd int

const (
	streamWhole streamEnd = iota
	streamBreaksOff
	streamPauses
)

// streamLength is the number of events of a whole stream, and brokenLength that of one which
// breaks off or pauses.
const (
	streamLength = 9
	brokenLength = 3
)

// softwareEvents streams events that name the software of their target, from the one behind
// the After header on. end is asked for each request.
func softwareEvents(software identifier.Software, end func() streamEnd) script {
	return func(w net.Conn, r *http.Request) bool {
		from := 1
		if n, err := strconv.Atoi(r.Header.Get("After")); err == nil {
			from = n + 1
		}
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 x\r\nId: %s\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
		ends := end()
		for i := from; i <= streamLength; i++ {
			if i == from+brokenLength && ends == streamBreaksOff {
				return false
			}
			if i == from+brokenLength && ends == streamPauses {
				time.Sleep(2500 * time.Millisecond)
			}
			writeChunk(w, fmt.Sprintf("id: %d\ndata: v%s\n\n", i, software))
		}
		_, _ = io.WriteString(w, "0\r\n\r\n")
		return true
	}
}

// first returns a function that returns end for the first request and streamWhole for others.
func first(end streamEnd) func() streamEnd {
	var requests atomic.Int64
	return func() streamEnd {
		if requests.Add(1) == 1 {
			return end
		}
		return streamWhole
	}
}

// newSoftwareFleet starts a router and a target t0, t1 and so on of each software.
func newSoftwareFleet(t testing.TB, end func() streamEnd, software ...identifier.Software) *fleet {
	t.Helper()
	f := newFleet(t)
	for i, v := range software {
		f.addTarget(fmt.Sprintf("t%d", i), softwareEvents(v, end))
		f.targets[i].Software = v
	}
	f.SetTargets(f.targets)
	return f
}

var eventSoftware = regexp.MustCompile("data: v(.*)\n")

// softwareOf returns the software of the events of a stream, and whether it is one for all.
func softwareOf(body string) (v identifier.Software, one bool) {
	for i, m := range eventSoftware.FindAllStringSubmatch(body, -1) {
		if i > 0 && v != identifier.Software(m[1]) {
			return v, false
		}
		v = identifier.Software(m[1])
	}
	return v, true
}

// wholeStream is the body of a stream that one software has sent to its end.
func wholeStream(v identifier.Software) string {
	body := ""
	for i := range streamLength {
		body += fmt.Sprintf("id: %d\ndata: v%s\n\n", i+1, v)
	}
	return body
}

// A stream that broke off went on at a target of another software (ORDER).
func TestBrokenStreamIsNotJoinedWithOtherSoftware(t *testing.T) {
	g := NewWithT(t)
	f := newSoftwareFleet(t, first(streamBreaksOff), "1", "2")
	a := f.send(f.request(http.MethodPost, "/stream/1", "x"))
	_, one := softwareOf(a.body)
	g.Expect(one).To(BeTrue(), a.body)
	g.Expect(a.truncated).To(BeTrue())
	g.Expect(f.requestsSeen()).To(HaveLen(1))
}

// Of the targets that are left, a stream that broke off goes on at the one of its software.
func TestBrokenStreamGoesOnAtItsSoftware(t *testing.T) {
	for range 12 {
		g := NewWithT(t)
		f := newSoftwareFleet(t, first(streamBreaksOff), "1", "2", "1", "2")
		a := f.send(f.request(http.MethodPost, "/stream/1", "x"))
		v, one := softwareOf(a.body)
		g.Expect(one).To(BeTrue(), a.body)
		g.Expect(a.truncated).To(BeFalse())
		g.Expect(a.body).To(Equal(wholeStream(v)))
	}
}

// A stream that paused was given to a target of another software (ORDER). It is waited for if
// there is no other of its own.
func TestStalledStreamIsNotJoinedWithOtherSoftware(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := newSoftwareFleet(t, first(streamPauses), "1", "2")
	a := f.send(f.request(http.MethodPost, "/stream/1", "x"))
	v, one := softwareOf(a.body)
	g.Expect(one).To(BeTrue(), a.body)
	g.Expect(a.body).To(Equal(wholeStream(v)))
	g.Expect(f.requestsSeen()).To(HaveLen(1))
}

// A target that was listed with other software while the rest of a stream was on its way has
// its answer joined to the stream (ORDER).
func TestAnswerOfTargetThatHasOtherSoftwareNowIsDropped(t *testing.T) {
	for name, change := range map[string]func(f *fleet){
		"software": func(f *fleet) {
			for i := range f.targets {
				f.targets[i].Software = "2"
			}
		},
		"incarnation": func(f *fleet) {
			for i := range f.targets {
				f.targets[i].Incarnation++
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newFleet(t)
			second := func(w net.Conn, r *http.Request) bool {
				change(f)
				f.SetTargets(f.targets)
				return softwareEvents("2", first(streamWhole))(w, r)
			}
			both := firstThen(softwareEvents("1", first(streamBreaksOff)), second)
			f.addTarget("t0", both)
			f.addTarget("t1", both)
			for i := range f.targets {
				f.targets[i].Software = "1"
			}
			f.SetTargets(f.targets)
			a := f.send(f.request(http.MethodPost, "/stream/1", "x"))
			v, one := softwareOf(a.body)
			g.Expect(one).To(BeTrue(), a.body)
			g.Expect(v).To(BeEquivalentTo("1"))
			g.Expect(a.truncated).To(BeTrue())
			g.Expect(f.requestsSeen()).To(HaveLen(2))
		})
	}
}

// Guards against a request that is written to a target which was listed with other software
// after it had been selected.
func TestTargetOfOtherSoftwareGetsNoPinnedRequest(t *testing.T) {
	for name, change := range map[string]func(f *fleet){
		"other software": func(f *fleet) { f.targets[0].Software = "2"; f.SetTargets(f.targets) },
		"not listed":     func(f *fleet) { f.SetTargets(nil) },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newSoftwareFleet(t, first(streamWhole), "1")
			ctx, c := f.prepareCall(t)
			c.pin = softwarePin{set: true, software: "1"}
			selected, e := f.selectTarget(c)
			g.Expect(e).To(BeNil())
			change(f)
			done, _ := f.attempt(ctx, c, selected)
			g.Expect(done).To(BeFalse())
			g.Expect(f.requestsSeen()).To(BeEmpty())
			g.Expect(c.mayHaveRun).To(BeFalse())
		})
	}
}
