package acceptor

import (
	"bytes"
	"container/list"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Conn is a connection of a Listener. Its Read returns the head of a request only once it
// is complete, within the limits, and its cost is reserved, and never returns bytes of two
// requests at once, so that an HTTP server buffers nothing that was not accepted. A request
// that is not accepted is answered by Read itself. Close discards what has been received and
// not read: closing a socket with unread input resets its connection, which drops what its
// peer has not received yet, such as the end of a response.
//
// The server must report the states of its connections to SetState.
type Conn struct {
	*net.TCPConn
	listener *Listener

	// The fields up to the next blank line are used by the goroutine that reads, and
	// between requests by the one that serves.
	phase connPhase
	head  headScanner
	body  bodyScanner
	// emptyBytes counts the bytes of empty lines before the request.
	emptyBytes int
	// buf holds what was received and is not part of the request being read or served, or
	// is part of it and not yet returned. It begins with the head while there is one.
	buf []byte
	// returned is how many bytes of the head in buf were returned, and headEnd is its size
	// once it is complete.
	returned, headEnd int
	// recorded is set while the budget knows of the buffer.
	recorded bool

	// reserved is the cost reserved for the request being served, in bytes.
	reserved atomic.Int64
	// unread is how many bytes in buf were not returned, or all of them while they are an
	// incomplete head.
	unread atomic.Int64
	closed atomic.Bool

	// mu guards the deadlines.
	mu sync.Mutex
	// serverDeadline is the read deadline that the server has set.
	serverDeadline time.Time
	// headBegan and headDeadline are when the first bytes of an incomplete head came and
	// when it must be complete. They are zero if there is no such head.
	headBegan, headDeadline time.Time

	// partialEntry and partialBytes are the connection's entry in its HeadBudget and the
	// size of its buffer. The budget's lock guards them and partialEvicted.
	partialEntry *list.Element
	partialBytes int64
	// partialEvicted is set when the budget has closed the connection.
	partialEvicted bool
	// waitingEntry is the connection's entry in its listener, and kept is set if it has had
	// a request. counted is set while the listener counts it. The listener's lock guards
	// them.
	waitingEntry  *list.Element
	kept, counted bool
}

// connPhase is what a connection reads next.
type connPhase int

// The phases: the head of a request, a complete head in the buffer, the body, what follows
// a request that is being served, and anything once the protocol is not HTTP/1 any more.
const (
	readingHead connPhase = iota
	returningHead
	readingBody
	servingRequest
	unframed
	// failed connections return no more input.
	failed
)

const (
	// minDirectRead is the smallest buffer into which a head is read directly, in bytes.
	minDirectRead = 512
	// minHeadBuffer is the smallest buffer of an incomplete head, in bytes.
	minHeadBuffer = 1 << 10
	// maxEmptyBytes bounds the empty lines before a request, in bytes. RFC 9112, section
	// 2.2, has servers accept one.
	maxEmptyBytes = 8
)

// Read implements net.Conn. It must be called by one goroutine at a time.
func (c *Conn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	switch c.phase {
	case readingHead:
		if len(c.buf) == 0 && len(p) >= minDirectRead {
			return c.readHeadInto(p)
		}
		return c.readHead(p)
	case returningHead:
		return c.returnHead(p)
	case readingBody:
		return c.readBody(p)
	case servingRequest:
		return c.readAhead(p)
	case unframed:
		return c.readAny(p)
	}
	return 0, io.ErrUnexpectedEOF
}

// readHeadInto reads a head into the caller's buffer, without a copy if it arrives at once.
func (c *Conn) readHeadInto(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n == 0 {
		return 0, c.headError(err)
	}
	received, ok := c.skipEmptyLines(p[:n])
	if !ok {
		return 0, c.reject(HeadMalformed)
	}
	end, ok := c.head.scan(received)
	switch {
	case !ok:
		return 0, c.reject(HeadMalformed)
	case end == 0:
		c.buffer(received)
		return c.readHead(p)
	case end > c.listener.headLimits().MaxBytes:
		return 0, c.reject(HeadTooLarge)
	}
	if err := c.accept(end); err != nil {
		return 0, err
	}
	if len(received) < n {
		copy(p, received)
		received = p[:len(received)]
	}
	used := end + c.scanBody(received[end:])
	c.keep(received[used:])
	return used, nil
}

// skipEmptyLines returns what follows the empty lines before a request. ok is false if there
// are too many.
func (c *Conn) skipEmptyLines(received []byte) (rest []byte, ok bool) {
	rest = bytes.TrimLeft(received, "\r\n")
	c.emptyBytes += len(received) - len(rest)
	return rest, c.emptyBytes <= maxEmptyBytes
}

// buffer copies the beginning of a head into the connection's own buffer.
func (c *Conn) buffer(received []byte) {
	size := minHeadBuffer
	for size < 2*len(received) {
		size *= 2
	}
	c.setBuffer(append(make([]byte, 0, size), received...))
}

// setBuffer replaces the buffer and records how much of it is unread.
func (c *Conn) setBuffer(b []byte) {
	c.buf = b
	unread := len(b)
	if c.phase != readingHead {
		unread -= c.returned
	}
	c.unread.Store(int64(unread))
}

// readHead reads a head into the connection's own buffer until it is complete, and returns
// the first part of it.
func (c *Conn) readHead(p []byte) (int, error) {
	budget, limit := c.budget(), c.listener.headLimits().MaxBytes
	for {
		if c.returned == 0 {
			rest, ok := c.skipEmptyLines(c.buf)
			if !ok {
				return 0, c.reject(HeadMalformed)
			}
			c.setBuffer(rest)
		}
		end, ok := c.head.scan(c.buf)
		switch {
		case !ok:
			return 0, c.reject(HeadMalformed)
		case end > limit, end == 0 && len(c.buf) >= limit:
			return 0, c.reject(HeadTooLarge)
		case end > 0:
			return c.acceptBuffered(p, end)
		}
		if len(c.buf) > 0 {
			c.beginHead()
		}
		if c.reserveBuffer(limit) {
			c.recorded = true
			budget.setPartial(c, int64(cap(c.buf)))
		}
		n, err := c.TCPConn.Read(c.buf[len(c.buf):cap(c.buf)])
		if n == 0 {
			return 0, c.headError(err)
		}
		c.setBuffer(c.buf[:len(c.buf)+n])
	}
}

// reserveBuffer makes room in the buffer for a head of up to limit bytes, and reports whether
// the buffer's size is to be recorded.
func (c *Conn) reserveBuffer(limit int) bool {
	if len(c.buf) < cap(c.buf) {
		return !c.recorded
	}
	size := min(max(2*cap(c.buf), minHeadBuffer), max(limit, len(c.buf)+1))
	c.setBuffer(append(make([]byte, 0, size), c.buf...))
	return true
}

// acceptBuffered accepts the request whose complete head is in the buffer, and returns the
// first part of the head.
func (c *Conn) acceptBuffered(p []byte, end int) (int, error) {
	c.recorded = false
	if !c.budget().endPartial(c) {
		return 0, net.ErrClosed
	}
	if err := c.accept(end); err != nil {
		return 0, err
	}
	c.endHead()
	c.headEnd = end
	if c.listener.http2 && bytes.HasPrefix(c.buf, []byte(http2Preface)) {
		c.phase = unframed
		return c.readAny(p)
	}
	c.phase = returningHead
	return c.returnHead(p)
}

// http2Preface is the beginning of an HTTP/2 connection. See RFC 9113, section 3.4.
const http2Preface = "PRI * HTTP/2.0\r\n\r\n"

// returnHead returns a part of the head in the buffer.
func (c *Conn) returnHead(p []byte) (int, error) {
	n := copy(p, c.buf[c.returned:c.headEnd])
	c.returned += n
	if c.returned < c.headEnd {
		c.setBuffer(c.buf)
		return n, nil
	}
	rest := c.buf[c.headEnd:]
	c.returned = 0
	c.keep(rest)
	c.scanBody(nil)
	return n, nil
}

// accept reserves the cost of the request whose complete head has the given size, and takes
// the connection from those that may be closed. If that fails, it answers the request.
func (c *Conn) accept(size int) error {
	if !c.listener.endWaiting(c) {
		return net.ErrClosed
	}
	cost := headCost(size, c.head.lines)
	if !c.budget().accept(cost) {
		return c.reject(NoHeadMemory)
	}
	c.reserved.Add(cost)
	c.body = c.head.body()
	return nil
}

// scanBody scans bytes of the body and returns how many belong to it. It sets the phase.
func (c *Conn) scanBody(p []byte) int {
	n, ok := c.body.scan(p)
	switch {
	case !ok:
		c.phase = failed
	case c.body.ended():
		c.phase = servingRequest
	default:
		c.phase = readingBody
	}
	return n
}

// keep keeps bytes that were received and belong to a later part of the input. They count
// as part of the request that is served.
func (c *Conn) keep(rest []byte) {
	if len(rest) == 0 {
		c.setBuffer(nil)
		return
	}
	kept := append(make([]byte, 0, len(rest)), rest...)
	c.budget().accepted.Add(int64(cap(kept)))
	c.reserved.Add(int64(cap(kept)))
	c.setBuffer(kept)
}

// readBody reads a part of the body.
func (c *Conn) readBody(p []byte) (int, error) {
	if len(c.buf) > 0 {
		n := copy(p, c.buf)
		used := c.scanBody(p[:n])
		c.setBuffer(c.buf[used:])
		if used == 0 {
			return 0, io.ErrUnexpectedEOF
		}
		return used, nil
	}
	if !c.body.chunked && c.body.left < int64(len(p)) {
		p = p[:c.body.left]
	}
	n, err := c.TCPConn.Read(p)
	used := c.scanBody(p[:n])
	if used < n && c.phase != failed {
		c.keep(p[used:n])
	}
	if used == 0 && err == nil {
		err = io.ErrUnexpectedEOF
	}
	return used, err
}

// readAhead reads the first byte of the next request while one is served, as the server
// does to learn when its caller disconnects.
func (c *Conn) readAhead(p []byte) (int, error) {
	for c.returned == 0 {
		if len(c.buf) == 0 {
			n, err := c.TCPConn.Read(p[:1])
			if n == 0 {
				return 0, err
			}
			c.setBuffer(append(c.buf, p[0]))
		}
		rest, ok := c.skipEmptyLines(c.buf)
		if !ok {
			return 0, io.ErrUnexpectedEOF
		}
		c.setBuffer(rest)
		if len(rest) > 0 {
			p[0] = rest[0]
			c.returned = 1
			c.setBuffer(rest)
			return 1, nil
		}
	}
	return 0, io.ErrUnexpectedEOF
}

// readAny reads what comes next.
func (c *Conn) readAny(p []byte) (int, error) {
	if rest := c.buf[c.returned:]; len(rest) > 0 {
		n := copy(p, rest)
		c.returned += n
		c.setBuffer(c.buf)
		return n, nil
	}
	if c.buf != nil {
		c.returned = 0
		c.setBuffer(nil)
	}
	return c.TCPConn.Read(p)
}

// WriteTo implements io.WriterTo. It keeps io.Copy from reading the socket directly.
func (c *Conn) WriteTo(w io.Writer) (int64, error) {
	return io.Copy(w, struct{ io.Reader }{c})
}

// headError returns the error for a head that cannot be read. It answers one that did not
// come in time.
func (c *Conn) headError(err error) error {
	c.mu.Lock()
	late := !c.headDeadline.IsZero() && !time.Now().Before(c.headDeadline)
	c.mu.Unlock()
	var timeout net.Error
	if late && len(c.buf) > 0 && errors.As(err, &timeout) && timeout.Timeout() {
		return c.reject(HeadTooLate)
	}
	return err
}

// beginHead bounds the time in which a head that has begun must be complete.
func (c *Conn) beginHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.headDeadline.IsZero() {
		return
	}
	c.headBegan = time.Now()
	c.headDeadline = c.headBegan.Add(c.listener.headLimits().Timeout)
	_ = c.TCPConn.SetReadDeadline(c.readDeadline())
}

// endHead ends the bound of beginHead.
func (c *Conn) endHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headBegan, c.headDeadline = time.Time{}, time.Time{}
	_ = c.TCPConn.SetReadDeadline(c.serverDeadline)
}

// SetReadDeadline implements net.Conn. While a head is being read, its own deadline applies
// instead of a later or an idle one, unless t has passed, which ends a read at once.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serverDeadline = t
	return c.TCPConn.SetReadDeadline(c.readDeadline())
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// readDeadline returns the deadline in force. The caller must hold mu.
func (c *Conn) readDeadline() time.Time {
	if c.headDeadline.IsZero() || !c.serverDeadline.IsZero() && c.serverDeadline.Before(c.headBegan) {
		return c.serverDeadline
	}
	return c.headDeadline
}

// SetState is a ConnState hook of an http.Server that serves a Listener.
func SetState(c net.Conn, state http.ConnState) {
	if c, ok := c.(*Conn); ok {
		c.setState(state)
	}
}

// setState follows the state that the server reports.
func (c *Conn) setState(state http.ConnState) {
	switch state {
	case http.StateIdle:
		c.release()
		if c.phase == unframed {
			return
		}
		c.emptyBytes, c.head = 0, headScanner{}
		if c.phase == servingRequest {
			c.phase = readingHead
		} else {
			c.phase = failed
		}
		c.setBuffer(c.buf)
		c.listener.beginWaiting(c)
	case http.StateHijacked:
		c.release()
		c.phase = unframed
	case http.StateClosed:
		// The reader may have reserved more after another goroutine closed the connection.
		c.budget().endPartial(c)
		c.release()
	}
}

// release returns what the request that was served has reserved.
func (c *Conn) release() { c.budget().accepted.Add(-c.reserved.Swap(0)) }

// budget returns the budget of the connection's listener.
func (c *Conn) budget() *HeadBudget { return c.listener.budget }

// dropInput drops what was read and not returned.
func (c *Conn) dropInput() {
	c.budget().endPartial(c)
	c.phase, c.returned = failed, 0
	c.setBuffer(nil)
}

// closeNow closes the socket, so that the server closes the connection.
func (c *Conn) closeNow() { _ = c.TCPConn.Close() }

// Close implements net.Conn.
func (c *Conn) Close() error {
	if c.closed.Swap(true) {
		return net.ErrClosed
	}
	c.budget().endPartial(c)
	c.listener.remove(c)
	c.release()
	discardInput(c.TCPConn)
	return c.TCPConn.Close()
}
