package forwarder

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
	"time"

	"buckthorndrum/acceptor"
	"buckthorndrum/clocker"
	"buckthorndrum/exchanger"
)

// hopByHopHeaders are the header fields that apply to one connection only.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// stripHopByHop removes the hop-by-hop fields: those in hopByHopHeaders and those that
// the Connection field names. Fields that are needed end to end stay even if Connection
// names them: Host, Content-Length, Content-Type and all whose names begin with X-.
func stripHopByHop(h http.Header) {
	for _, list := range h["Connection"] {
		for _, name := range strings.Split(list, ",") {
			name = http.CanonicalHeaderKey(strings.TrimSpace(name))
			if !strings.HasPrefix(name, "X-") && name != "Host" && name != "Content-Length" && name != "Content-Type" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

// exchangeCall returns the request to be sent to target t.
func (f *Forwarder) exchangeCall(c *call, t *selectedTarget) exchanger.Call {
	h := c.r.Header.Clone()
	stripHopByHop(h)
	h.Del("Expect")
	h.Del("Content-Length")
	h.Del("Authorization")
	lastEventID := c.info.LastEventID
	if c.streamStarted() {
		lastEventID = c.stream.lastID
	}
	f.cfg.Dialect.WriteRequest(h, Attempt{Target: t.choice.Target, Workspace: c.workspace, Remaining: c.deadline.Sub(clocker.Now()), LastEventID: lastEventID})
	return exchanger.Call{
		Address:    t.address,
		Method:     c.r.Method,
		Head:       encodeHead(c, h),
		Body:       c.body,
		ID:         string(c.info.ID),
		Repeatable: c.repeatable(),
		Wanted:     func() bool { return c.wanted() && f.maySend(c, t) },
	}
}

// maxFirstSendDelay is how long after its arrival a request is still sent if no target
// may have run it yet. A router that takes longer is short of processor time, and other
// routers serve the request sooner.
const maxFirstSendDelay = time.Second

// readTooLate reports whether the request may have waited to be read for so long that
// its caller has given up. Such a caller does not close its connection at once.
func (c *call) readTooLate() bool {
	return c.info.MaxReadDelay > 0 && clocker.Coarse().Sub(c.earliestArrival) > c.info.MaxReadDelay
}

// wanted reports whether a request that is about to be sent should still be sent: its
// caller is connected, and a target may have run it before or its arrival is less than
// maxFirstSendDelay ago.
func (c *call) wanted() bool {
	return !acceptor.CallerDisconnected(c.r) && (c.runs > 0 || clocker.Now().Sub(c.arrived) < maxFirstSendDelay)
}

// encodeHead encodes the request line and the header.
func encodeHead(c *call, h http.Header) []byte {
	var b bytes.Buffer
	b.WriteString(c.r.Method + " " + requestTarget(c.r) + " HTTP/1.1\r\n")
	b.WriteString("Host: " + c.r.Host + "\r\n")
	if len(c.body) > 0 || c.r.ContentLength >= 0 && c.r.Method != http.MethodGet && c.r.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(c.body)) + "\r\n")
	}
	_ = h.Write(&b)
	b.WriteString("\r\n")
	return b.Bytes()
}
