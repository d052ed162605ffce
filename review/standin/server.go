package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// eventGap is the time between two events of a stream.
const eventGap = 100 * time.Millisecond

// server is a stand-in for a server of the platform. It runs in a process of its own, and
// writes to standard output what it runs.
type server struct {
	id string
	// unframedEach is that one of so many streams has neither a length nor chunks, so that
	// it ends with its connection. It is zero for none.
	unframedEach int
	// burst is how many events are written at once, and spoilEach that one of so many
	// streams has wrong bytes in an event, zero for none.
	burst, spoilEach int
	streams          atomic.Int64
}

// serverMain runs a server until it is killed, or until its standard input ends.
func serverMain(args []string) {
	flags := flag.NewFlagSet("server", flag.ExitOnError)
	id := flags.String("id", "", "id of the server")
	unframedEach := flags.Int("unframed-each", 0, "one of so many streams ends with its connection")
	burst := flags.Int("burst", 1, "events that are written at once")
	spoilEach := flags.Int("spoil-each", 0, "one of so many streams has wrong bytes")
	address := flags.String("listen", "127.0.0.1:0", "address to listen on")
	_ = flags.Parse(args)
	l, err := net.Listen("tcp4", *address)
	if err != nil {
		fmt.Println("error", err)
		os.Exit(1)
	}
	fmt.Println("address", l.Addr())
	s := &server{id: *id, unframedEach: *unframedEach, burst: *burst, spoilEach: *spoilEach}
	go func() { _ = http.Serve(l, http.HandlerFunc(s.serve)) }()
	_, _ = io.Copy(io.Discard, os.Stdin)
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", s.id)
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	body, _ := io.ReadAll(r.Body)
	w.Header().Set("X-Attempt-Id", id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	fmt.Printf("run %s %s %s body=%d tenant=%s deadline=%s\n", id, r.Method, r.URL.RequestURI(), len(body), r.Header.Get("X-Tenant"), r.Header.Get("X-Deadline-Ms"))
	w.Header().Set("X-Response-Seal", "seal-"+id)
	ms, _ := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
	defer cancel()
	if strings.HasPrefix(r.URL.Path, "/draft/") {
		s.stream(ctx, w, r, id)
		return
	}
	select {
	case <-time.After(20 * time.Millisecond):
	case <-ctx.Done():
		fmt.Printf("dropped %s\n", id)
		return
	}
	w.Header().Set("Content-Type", "text/plain")
	_, _ = io.WriteString(w, "done "+id+" "+strings.Repeat("x", 800))
	fmt.Printf("done %s\n", id)
}

// events returns how many events the stream of a request has: one for each output token.
func events(r *http.Request) int {
	_, out, _ := strings.Cut(r.Header.Get("X-Token-Usage"), ",")
	n, _ := strconv.Atoi(out)
	return n
}

// stream sends the events of a stream. Event n has the id n; the last one says so.
func (s *server) stream(ctx context.Context, w http.ResponseWriter, r *http.Request, id string) {
	count := int(s.streams.Add(1))
	unframed := s.unframedEach > 0 && count%s.unframedEach == 0
	var out io.Writer = w
	flush := func() { _ = http.NewResponseController(w).Flush() }
	w.Header().Set("Content-Type", "text/event-stream")
	if unframed {
		fmt.Printf("unframed %s\n", id)
		conn, buf, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		h := w.Header().Clone()
		h.Set("Connection", "close")
		_, _ = buf.WriteString("HTTP/1.1 200 OK\r\n")
		_ = h.Write(buf)
		_, _ = buf.WriteString("\r\n")
		out, flush = buf, func() { _ = buf.Flush() }
		ctx = closedContext(ctx, conn)
	}
	total := events(r)
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	spoiled := 0
	if s.spoilEach > 0 && count%s.spoilEach == 0 {
		spoiled = first + rand.IntN(total)
	}
	for n := first; n <= total; n++ {
		text := fmt.Sprintf("event %d of %d for %s", n, total, id)
		if n == total {
			text += " (last)"
		}
		shown := strconv.Itoa(n)
		if n == spoiled {
			shown = "9" + shown
			fmt.Printf("spoils %s: its event %d has the id %s\n", id, n, shown)
		}
		if _, err := fmt.Fprintf(out, "id: %s\ndata: %s\n\n", shown, text); err != nil {
			break
		}
		if n%s.burst > 0 && n < total {
			continue
		}
		flush()
		select {
		case <-time.After(time.Duration(s.burst) * eventGap):
		case <-ctx.Done():
			fmt.Printf("dropped %s after event %d of %d\n", id, n, total)
			if !unframed {
				panic(http.ErrAbortHandler)
			}
			return
		}
	}
	fmt.Printf("done %s\n", id)
}

// closedContext returns a context that ends when the peer closes the connection.
func closedContext(ctx context.Context, conn net.Conn) context.Context {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		defer cancel()
		_, _ = conn.Read(make([]byte, 1))
	}()
	return ctx
}
