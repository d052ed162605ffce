package router

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"buckthorndrum/lister"
	"buckthorndrum/securer"
	"buckthorndrum/storer"
)

// unresponsivePlatform is a platform whose key-value service and instance list never
// answer.
type unresponsivePlatform struct{}

func (unresponsivePlatform) Get(ctx context.Context, _ string) (storer.Entry, error) {
	return blockUntilDone(ctx)
}

func (unresponsivePlatform) Swap(ctx context.Context, _ string, _ []byte, _ storer.Version, _ time.Duration) (storer.Entry, error) {
	return blockUntilDone(ctx)
}

func (unresponsivePlatform) Watch(ctx context.Context, _ string, _ storer.Version, _ time.Duration) (storer.Entry, error) {
	return blockUntilDone(ctx)
}

func (unresponsivePlatform) List(ctx context.Context) ([]lister.Instance, error) {
	_, err := blockUntilDone(ctx)
	return nil, err
}

// blockUntilDone waits until ctx is done and returns its error.
func blockUntilDone(ctx context.Context) (storer.Entry, error) {
	<-ctx.Done()
	return storer.Entry{}, ctx.Err()
}

// startRouter starts a router without a platform and stops it at the end of the test.
func startRouter(t *testing.T) *Router {
	t.Helper()
	r, err := Start(Config{
		Name: "r1", DataCentre: "dc1", Region: "region1", Listen: "127.0.0.1:0", Store: unresponsivePlatform{}, Instances: unresponsivePlatform{},
		Security: securer.Config{Secret: "a secret of the fleet"}, Log: zap.NewNop(),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Stop)
	return r
}

// probe sends a request and reads the response. It reports whether the connection stays
// open, and whether the response is truncated or missing.
func probe(c net.Conn, br *bufio.Reader) (keptOpen, truncated bool) {
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.WriteString(c, "GET /readyz HTTP/1.1\r\nHost: desk\r\n\r\n"); err != nil {
		return false, true
	}
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		return false, true
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return !resp.Close, err != nil
}

// A router that drains under load answers everything that has come to its port: on
// connections in the kernel's accept queue, on those just accepted, and on reused ones.
func TestDrainTruncatesNoAnswer(t *testing.T) {
	for name, reuse := range map[string]bool{"new connections": false, "kept connections": true} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := startRouter(t)
			stop := make(chan struct{})
			var requests, truncated atomic.Int64
			var wg sync.WaitGroup
			for range 8 {
				wg.Go(func() { callUntilClosed(r.Address(), reuse, stop, &requests, &truncated) })
			}
			time.Sleep(100 * time.Millisecond)
			ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
			defer cancel()
			g.Expect(r.Drain(ctx)).To(Succeed())
			close(stop)
			wg.Wait()
			g.Expect(requests.Load()).To(BeNumerically(">", 100))
			g.Expect(truncated.Load()).To(BeZero(), "of %d", requests.Load())
		})
	}
}

// callUntilClosed calls a router until it accepts no more connections. With reuse it sends
// as many requests as it can on each connection. It counts the requests, and those whose
// response is truncated or missing.
func callUntilClosed(address string, reuse bool, stop chan struct{}, requests, truncated *atomic.Int64) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		c, err := net.Dial("tcp4", address)
		if err != nil {
			return
		}
		br := bufio.NewReader(c)
		for keptOpen := true; keptOpen; {
			var cutOff bool
			keptOpen, cutOff = probe(c, br)
			requests.Add(1)
			if cutOff {
				truncated.Add(1)
			}
			keptOpen = keptOpen && reuse
		}
		_ = c.Close()
	}
}
