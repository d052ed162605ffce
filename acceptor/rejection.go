package acceptor

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Rejection is a reason to reject a request before it is accepted, or to close its
// connection.
type Rejection int

// The reasons.
const (
	HeadTooLarge Rejection = iota
	HeadMalformed
	HeadTooLate
	NoHeadMemory
	// PartialHeadsTooLarge and TooManyConnections close connections without a response.
	PartialHeadsTooLarge
	TooManyConnections
)

// rejections holds for each Rejection its name, which metrics use as a label, and the status
// and text of its response.
var rejections = [...]struct {
	name   string
	status int
	text   string
}{
	HeadTooLarge:         {"head too large", http.StatusRequestHeaderFieldsTooLarge, "The request head is too large."},
	HeadMalformed:        {"head malformed", http.StatusBadRequest, "The request head is malformed."},
	HeadTooLate:          {"head too late", http.StatusRequestTimeout, "The request head did not come in time."},
	NoHeadMemory:         {"no memory for the head", http.StatusServiceUnavailable, "There is no memory left for the request head."},
	PartialHeadsTooLarge: {"incomplete heads too large", 0, ""},
	TooManyConnections:   {"too many connections", 0, ""},
}

// Rejections returns all reasons.
func Rejections() []Rejection {
	all := make([]Rejection, len(rejections))
	for i := range all {
		all[i] = Rejection(i)
	}
	return all
}

// String returns the name of a reason.
func (r Rejection) String() string { return rejections[r].name }

// response returns the complete response to a rejected request.
func (r Rejection) response() string {
	retryAfter := ""
	if rejections[r].status == http.StatusServiceUnavailable {
		retryAfter = "Retry-After: " + strconv.Itoa(int(retryAfter503/time.Second)) + "\r\n"
	}
	text := rejections[r].text + "\n"
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\n%sConnection: close\r\n\r\n%s",
		rejections[r].status, http.StatusText(rejections[r].status), len(text), retryAfter, text)
}

// count counts a rejection.
func (b *HeadBudget) count(r Rejection) { b.rejected[r].Add(1) }

// Rejected returns how often requests were rejected or connections closed for a reason.
func (b *HeadBudget) Rejected(r Rejection) int64 { return b.rejected[r].Load() }

const (
	// retryAfter503 is when callers may come back that were rejected for lack of memory.
	retryAfter503 = time.Second
	// rejectWriteTimeout bounds the time to write the response to a rejected request.
	rejectWriteTimeout = 100 * time.Millisecond
	// lingerTime is how long what a rejected caller still sends is read and dropped: closing
	// a connection with unread input can lose its response.
	lingerTime = 200 * time.Millisecond
)

// reject answers a request that is not accepted and closes its connection. It returns the
// error for the server, which does not respond to it. The caller is the goroutine that reads
// the connection.
func (c *Conn) reject(r Rejection) error {
	c.budget().count(r)
	c.dropInput()
	_ = c.SetWriteDeadline(time.Now().Add(rejectWriteTimeout))
	if _, err := io.WriteString(c.TCPConn, r.response()); err == nil {
		_ = c.CloseWrite()
		_ = c.TCPConn.SetReadDeadline(time.Now().Add(lingerTime))
		var dropped [1 << 10]byte
		for n, err := 0, error(nil); err == nil && n < maxDiscarded; {
			var m int
			m, err = c.TCPConn.Read(dropped[:])
			n += m
		}
	}
	_ = c.Close()
	return io.EOF
}
