package forwarder

import (
	"net/http"
	"time"

	"buckthorndrum/clocker"
)

// unreadGrace is how long after the deadline of its request an answer may wait to be read by
// its caller. An answer that is not read takes up the memory of others.
const unreadGrace = 2 * time.Second

// limitWrites ends the writes of an answer unreadGrace after the deadline of its request. A
// write that has to wait for its caller is not ended by the context of the request.
func limitWrites(c *call) {
	left := c.deadline.Sub(clocker.Coarse()) + unreadGrace
	_ = http.NewResponseController(c.w).SetWriteDeadline(time.Now().Add(left))
}

// endWrites writes what is buffered of an answer while writes are still limited, and lifts
// the limit for the next request on the connection.
func endWrites(c *call) {
	rc := http.NewResponseController(c.w)
	_ = rc.Flush()
	_ = rc.SetWriteDeadline(time.Time{})
}
