package exchanger

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// answerConn is a connection whose reads tell an answer that ended from one that broke off.
//
// The kernel reports the failure of a connection once, to the read or write that meets it
// first. If that is the write of a long request, the reads end without an error, as they do
// when the peer has closed the connection in good order.
type answerConn struct {
	net.Conn
	// writing is held during a write, and guards failure.
	writing sync.Mutex
	// failure is the failure of the connection that a write met, nil if none did.
	failure error
}

// Write implements net.Conn.
func (c *answerConn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	if c.failure == nil && isFailure(err) {
		c.failure = err
	}
	return n, err
}

// isFailure reports whether the error of a write is the failure of its connection. EPIPE is
// none: it means that the peer closed the connection in good order before, so that the reads
// end where the peer did.
func isFailure(err error) bool {
	return err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded)
}

// Read implements net.Conn. It returns io.EOF only if the peer has ended its side of the
// connection.
func (c *answerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) {
		if failure := c.endWrites(); failure != nil {
			err = errors.Wrap(failure, "the connection broke during the write of the request")
		}
	}
	return n, err
}

// endWrites ends a write that is under way and all later ones, and returns the failure that
// one of them met. The peer sends nothing more, so that the rest of a request is of no use.
func (c *answerConn) endWrites() error {
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.failure
}
