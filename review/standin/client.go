package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var nextRequest atomic.Int64

// commonPart is the part that the prompts of callers share if they name no other.
const commonPart = 0x5c1e07a2

// client is a caller with one kept connection to a router.
type client struct {
	d    *deployment
	name string
	conn net.Conn
	br   *bufio.Reader
	// part is the shared part of the prompts of this caller.
	part int
}

func (d *deployment) dial(name, address string) (*client, error) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{d: d, name: name, conn: conn, br: bufio.NewReader(conn), part: commonPart}, nil
}

func (c *client) close() { _ = c.conn.Close() }

// result is what a caller has seen of one request.
type result struct {
	id     string
	sentAt time.Time
	endAt  time.Time
	status int
	header http.Header
	body   string
	// err is nil if the answer came whole, as far as the protocol tells.
	err error
}

// whole reports whether the answer looks complete.
func (r result) whole() bool { return r.err == nil }

// keepsOpen reports whether the caller may use the connection again.
func (r result) keepsOpen() bool { return r.err == nil && r.header.Get("Connection") != "close" }

// post sends a request with the given path, length of the answer in events, and time limit,
// and reads its answer.
func (c *client) post(path string, events int, limit time.Duration) result {
	res := result{id: fmt.Sprintf("%s-%d", c.name, nextRequest.Add(1)), sentAt: time.Now()}
	model := ""
	if events > 0 {
		model = fmt.Sprintf("X-Model: m\r\nX-Token-Usage: 1460,%d\r\nX-Prompt-Prefix: %x:800,%x:660\r\n", events, c.part, 0x1000+nextRequest.Load())
	}
	body := "{}"
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: %s\r\n%sX-Deadline-Ms: %d\r\nAuthorization: Bearer key-1\r\nContent-Length: %d\r\n\r\n%s", path, res.id, model, limit.Milliseconds(), len(body), body)
	c.d.rec.logf(c.name, "sends %s: POST %s, %d events, limit %s", res.id, path, events, limit)
	_ = c.conn.SetDeadline(time.Now().Add(limit + time.Second))
	_, res.err = io.WriteString(c.conn, head)
	if res.err == nil {
		c.read(&res)
	}
	res.endAt = time.Now()
	c.d.rec.logf(c.name, "gets %s: status %d, %d bytes, %s, end %v", res.id, res.status, len(res.body), lastEvent(res.body), errText(res.err))
	return res
}

func (c *client) read(res *result) {
	resp, err := http.ReadResponse(c.br, &http.Request{Method: http.MethodPost})
	if err != nil {
		res.err = err
		return
	}
	defer func() { _ = resp.Body.Close() }()
	res.status, res.header = resp.StatusCode, resp.Header
	if resp.Close {
		res.header.Set("Connection", "close")
	}
	body, err := io.ReadAll(resp.Body)
	res.body, res.err = string(body), err
	if err == nil && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		c.d.rec.logf(c.name, "the answer to %s has neither a length nor chunks", res.id)
	}
}

// lastEvent returns the last event of a stream.
func lastEvent(body string) string {
	list := strings.Split(strings.TrimSpace(body), "\n\n")
	last := list[len(list)-1]
	if !strings.HasPrefix(last, "id:") {
		return "no event"
	}
	return strings.ReplaceAll(last, "\n", " ")
}

func errText(err error) string {
	if err == nil {
		return "complete"
	}
	return "broken off (" + err.Error() + ")"
}
