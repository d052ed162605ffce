package exchanger

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"buckthorndrum/identifier"
)

// conn is one connection to a target. One exchange uses it at a time.
type conn struct {
	*answerConn
	br *bufio.Reader
	// heads checks the heads of answers, under br.
	heads *headReader
	// reused reports whether the connection carried a request before the current one.
	reused bool
	// idleTimeout is how long the connection may stay idle, and idleSince the time from
	// which it is idle.
	idleTimeout time.Duration
	idleSince   identifier.Instant
	// writeDone is closed when the write of the last request has ended, in full or with
	// an error.
	writeDone chan struct{}
	// fullyWritten reports whether the last request was written completely. It is read
	// only after writeDone is closed.
	fullyWritten bool
	// pool counts the connection until forgotten is set, which its lock guards.
	pool      *Pool
	forgotten bool
}

// readBuffer is the size of a connection's read buffer, in bytes.
const readBuffer = 4 << 10

func newConn(c net.Conn) *conn {
	ac := &answerConn{Conn: c}
	heads := &headReader{r: ac}
	return &conn{answerConn: ac, br: bufio.NewReaderSize(heads, readBuffer), heads: heads, idleTimeout: defaultIdleTimeout}
}

// close closes the connection. The caller must not hold the lock of its pool.
func (k *conn) close() {
	_ = k.Close()
	if k.pool != nil {
		k.pool.closed(k)
	}
}

// usable reports whether an idle connection is open and has received no byte. Bytes that
// arrive while no request is pending belong to no request.
func (k *conn) usable() bool {
	if k.br.Buffered() > 0 {
		return false
	}
	sc, ok := k.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		noData = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && noData
}

// maxInlineBody is the largest body, in bytes, that is written before reading of the
// answer begins. A target may answer before it reads a longer body; if the answer were
// not read meanwhile, both sides would wait for each other.
const maxInlineBody = 4 << 10

// write sends a request. sent reports whether a byte of it may have been sent. A body
// longer than maxInlineBody is written in the background after write returns.
func (k *conn) write(c Call) (sent bool, err error) {
	k.writeDone = make(chan struct{})
	k.fullyWritten = false
	if len(c.Body) <= maxInlineBody {
		defer close(k.writeDone)
		request := append(append(make([]byte, 0, len(c.Head)+len(c.Body)), c.Head...), c.Body...)
		n, err := k.Write(request)
		k.fullyWritten = err == nil
		return n > 0 || err == nil, err
	}
	n, err := k.Write(c.Head)
	if err != nil {
		close(k.writeDone)
		return n > 0, err
	}
	go func() {
		defer close(k.writeDone)
		_, err := k.Write(c.Body)
		k.fullyWritten = err == nil
	}()
	return true, nil
}

// maxSkippedAnswers bounds how many answers to other requests are skipped before the
// exchange fails.
const maxSkippedAnswers = 3

// read returns the answer to request c and skips late answers to other requests. If
// identify is nil, the first answer is taken. An answer without an id is taken only if
// it is the first on a new connection.
func (k *conn) read(c Call, identify func(http.Header) string) (*http.Response, error) {
	for skipped := 0; ; skipped++ {
		resp, err := k.readFinal(c)
		if err != nil {
			return nil, err
		}
		if identify == nil {
			return resp, nil
		}
		id := identify(resp.Header)
		if id == c.ID || id == "" && skipped == 0 && !k.reused {
			return resp, nil
		}
		if skipped >= maxSkippedAnswers {
			return nil, errors.Errorf("more than %d answers to other requests", maxSkippedAnswers)
		}
		if err := discardBody(resp); err != nil {
			return nil, errors.Wrap(err, "skip an answer to another request")
		}
	}
}

// expectHead makes the next bytes be checked as the head of an answer, also those that were
// read together with the answer before it.
func (k *conn) expectHead() {
	k.heads.expect()
	if early, _ := k.br.Peek(k.br.Buffered()); len(early) > 0 {
		k.heads.unread = append(bytes.Clone(early), k.heads.unread...)
		k.br.Reset(k.heads)
	}
}

// readFinal reads the head of the next answer that is not an interim (1xx) answer.
func (k *conn) readFinal(c Call) (*http.Response, error) {
	k.expectHead()
	for {
		resp, err := http.ReadResponse(k.br, &http.Request{Method: c.Method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			checkTrailer(resp)
			return resp, nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("the target switched protocols (status 101)")
		}
	}
}

// maxSkippedBody bounds the body of an answer that is skipped, in bytes.
const maxSkippedBody = 1 << 20

// discardBody reads the body of a skipped answer to its end. It fails if the connection
// cannot be used after the answer or the body reaches maxSkippedBody bytes.
func discardBody(resp *http.Response) error {
	if resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return errors.New("the connection cannot be reused after the answer")
	}
	buf := make([]byte, readBuffer)
	for total := 0; total < maxSkippedBody; {
		n, err := resp.Body.Read(buf)
		total += n
		if err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
	}
	return errors.Errorf("the body of the answer reaches the limit of %d bytes", maxSkippedBody)
}

// setIdleTimeout sets idleTimeout from the timeout of the answer's Keep-Alive header, in
// seconds, minus idleMargin. Without a valid timeout it stays as it is.
func (k *conn) setIdleTimeout(h http.Header) {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(field), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil {
			k.idleTimeout = max(0, time.Duration(s)*time.Second-idleMargin)
		}
	}
}

// closeOnDone closes the connection when ctx ends, unless stop is called before.
func (k *conn) closeOnDone(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, k.close)
}
