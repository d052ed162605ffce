package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// runServer is a stand-in of a server, as PROTOCOL.md describes it. What a request asks for is
// in its path: /PREFIX/EVENTS/PAUSE_MS for a stream of events, and a path that ends in
// plain/MS for a plain answer after some milliseconds. It writes a line for each run and its end to the
// standard output.
func runServer(args []string) int {
	fs := flag.NewFlagSet("server", flag.ExitOnError)
	listen := fs.String("listen", "127.0.0.1:0", "address")
	id := fs.String("id", "", "id of the instance")
	slots := fs.Int("slots", 64, "slots")
	lose := fs.Int("lose", 0, "2: the third and the fifth of each five plain answers are lost")
	unframed := fs.Int("unframed", 0, "one of so many streams has no length, none if it is 0")
	unframedFor := fs.Duration("unframed-for", 5*time.Second, "how long from the first stream on streams have no length")
	_ = fs.Parse(args)
	l, err := net.Listen("tcp4", *listen)
	if err != nil {
		fmt.Println("error", err)
		return 2
	}
	fmt.Println("listening", l.Addr().String())
	s := &server{id: *id, slots: int64(*slots), lose: int64(*lose), unframed: int64(*unframed), unframedFor: *unframedFor}
	for {
		c, err := l.Accept()
		if err != nil {
			return 2
		}
		go s.serve(c)
	}
}

type server struct {
	id      string
	slots   int64
	running atomic.Int64
	// lose is 2 if the third and the fifth of each five plain answers are lost, so that never
	// more than 0.4 of them are, and plain counts these answers.
	lose  int64
	plain atomic.Int64
	// unframed is how many streams there are to one that has no length, zero for none, and
	// streams counts the streams. The one is in the middle of them.
	unframed int64
	streams  atomic.Int64
	// unframedFor is how long from the first stream on there are such, which began at first.
	unframedFor time.Duration
	first       time.Time
	mu          sync.Mutex
}

func (s *server) say(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(os.Stdout, format+"\n", args...)
}

// head returns the head of an answer up to the fields that frame it.
func (s *server) head(id string, status int) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Attempt-Id: %s\r\nX-Instance-Id: %s\r\nX-Server-Load: %d,0,%d\r\n", status, http.StatusText(status), id, s.id, s.running.Load(), s.slots)
}

// serve serves the requests of one connection, one after the other.
func (s *server) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		id := r.Header.Get("X-Attempt-Id")
		if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
			_, _ = io.WriteString(c, s.head(id, 421)+"X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		if r.URL.Path == "/health" {
			_, _ = io.WriteString(c, s.head(id, 200)+"Content-Length: 0\r\n\r\n")
			continue
		}
		if s.running.Add(1) > s.slots {
			s.running.Add(-1)
			_, _ = io.WriteString(c, s.head(id, 503)+"X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		keep := s.answer(c, r, id, len(body))
		s.running.Add(-1)
		if !keep {
			return
		}
	}
}

// answer runs a request and reports whether the connection goes on.
func (s *server) answer(c net.Conn, r *http.Request, id string, bodyBytes int) bool {
	parts := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	s.say("run %s %s tenant=%s body=%d last=%s", id, r.URL.Path, r.Header.Get("X-Tenant"), bodyBytes, r.Header.Get("Last-Event-Id"))
	defer s.say("end %s", id)
	seal := "X-Response-Seal: " + s.id + "." + id + "\r\n"
	if n := len(parts); n >= 3 && parts[n-2] == "plain" {
		ms, _ := strconv.Atoi(parts[n-1])
		time.Sleep(time.Duration(ms) * time.Millisecond)
		if n := s.plain.Add(1) % 5; s.lose == 2 && (n == 3 || n == 0) {
			// The request has run, and its answer is lost with a reset.
			s.say("lost %s", id)
			if t, ok := c.(*net.TCPConn); ok {
				_ = t.SetLinger(0)
			}
			return false
		}
		body := "done " + id + "\n"
		_, err := io.WriteString(c, s.head(id, 200)+seal+"Content-Type: text/plain\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
		return err == nil
	}
	if len(parts) != 3 {
		_, err := io.WriteString(c, s.head(id, 400)+seal+"Content-Length: 0\r\n\r\n")
		return err == nil
	}
	events, _ := strconv.Atoi(parts[1])
	pause, _ := strconv.Atoi(parts[2])
	unframed := s.beginsUnframed()
	framing := "Transfer-Encoding: chunked\r\n"
	if unframed {
		framing = "Connection: close\r\n"
		s.say("unframed %s", id)
	}
	if _, err := io.WriteString(c, s.head(id, 200)+seal+"Content-Type: text/event-stream\r\n"+framing+"\r\n"); err != nil {
		return false
	}
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := first + 1; n <= events; n++ {
		time.Sleep(time.Duration(pause) * time.Millisecond)
		event := streamEvent(id, n)
		if !unframed {
			event = fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		}
		if _, err := io.WriteString(c, event); err != nil {
			return false
		}
	}
	if unframed {
		return false
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// beginsUnframed reports whether the stream that begins now has no length.
func (s *server) beginsUnframed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.first.IsZero() {
		s.first = time.Now()
	}
	return s.unframed > 0 && s.streams.Add(1)%s.unframed == s.unframed/2 && time.Since(s.first) < s.unframedFor
}

// streamEvent returns event n of the stream of a request.
func streamEvent(id string, n int) string {
	return fmt.Sprintf("id: %d\ndata: {\"request\":\"%s\",\"piece\":%d}\n\n", n, id, n)
}
