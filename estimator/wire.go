package estimator

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"buckthorndrum/identifier"
	"buckthorndrum/linker"
	"buckthorndrum/messenger"
	"buckthorndrum/scheduler"
)

func encode(v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err) // The values are this package's own.
	}
	return raw
}

// wireHeader is the WebSocket header of a small frame with its mask, in bytes.
const wireHeader = 6

// offerBytes is the size of a frame with n offers whose names are known.
func offerBytes(n int) float64 {
	c := messenger.NewCoder()
	f := messenger.Frame{Revision: 1}
	for i := range n {
		f.Offers = append(f.Offers, scheduler.Offer{Class: classOf(i), Count: 2, Age: 300 * time.Millisecond, CostHint: 300, Prefix: 1 << 31})
	}
	return second(c, f)
}

func grantBytes(n int) float64 {
	c := messenger.NewCoder()
	f := messenger.Frame{Revision: 1}
	for i := range n {
		f.Grants = append(f.Grants, messenger.Grant{Number: uint64(1<<20 + i), Class: classOf(i)})
	}
	return second(c, f)
}

// second encodes a frame twice and returns the size of the second, in which
// names are numbers.
func second(c *messenger.Coder, f messenger.Frame) float64 {
	var raw []byte
	for range 2 {
		var err error
		if raw, err = c.Encode(f); err != nil {
			panic(err)
		}
	}
	return float64(len(raw) + wireHeader)
}

// frameTime is the processor time of n frames a second on one real link, both
// ends together, in microseconds for each second.
func frameTime(rate int) float64 {
	var t linker.Traffic
	hello := messenger.Hello{Role: messenger.AgentRole, Name: "a"}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if l, err := linker.Accept(w, r, hello, &t); err == nil {
			_ = l.Serve(r.Context(), func(messenger.Frame) {})
		}
	}))
	defer srv.Close()
	hello.Role = messenger.RouterRole
	l, err := dialer(http.DefaultClient, hello, &t).Dial(context.Background(), strings.TrimPrefix(srv.URL, "http://"))
	if err != nil {
		panic(err)
	}
	defer l.Close()
	go func() { _ = l.Serve(context.Background(), func(messenger.Frame) {}) }()
	f := messenger.Frame{Offers: []scheduler.Offer{{Class: classOf(1), Count: 1, CostHint: 10}}}
	const length = time.Second
	before := processorTime()
	ticks := time.NewTicker(length / time.Duration(rate))
	defer ticks.Stop()
	for range rate {
		<-ticks.C
		if err := l.Send(f); err != nil {
			panic(errors.Wrap(err, "send frame"))
		}
	}
	return float64((processorTime() - before).Microseconds())
}

func dialer(c *http.Client, h messenger.Hello, t *linker.Traffic) linker.Dialer {
	return linker.Dialer{Scheme: "http", Client: c, Sign: func(http.Header) {}, Hello: func() messenger.Hello { return h }, Traffic: t}
}

// processorTime is the time that this process has spent on processors.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// linkMemory is the memory of n open links, both ends together.
func linkMemory(n int) float64 {
	var t linker.Traffic
	hello := messenger.Hello{Role: messenger.AgentRole, Name: "a"}
	srv := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if l, err := linker.Accept(w, r, hello, &t); err == nil {
			_ = l.Serve(r.Context(), func(messenger.Frame) {})
		}
	})}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go func() { _ = srv.Serve(lis) }()
	defer func() { _ = srv.Close() }()
	var links []*linker.Link
	b := held(func() any {
		for i := range n {
			h := messenger.Hello{Role: messenger.RouterRole, Name: fmt.Sprint("r", i), Incarnation: identifier.Incarnation(i)}
			l, err := dialer(&http.Client{Transport: &http.Transport{}}, h, &t).Dial(context.Background(), lis.Addr().String())
			if err != nil {
				panic(err)
			}
			go func() { _ = l.Serve(context.Background(), func(messenger.Frame) {}) }()
			links = append(links, l)
		}
		time.Sleep(100 * time.Millisecond)
		return links
	})
	for _, l := range links {
		l.Close()
	}
	return b
}
