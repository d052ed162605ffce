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

// silent is a platform whose key-value service and instance list do not answer.
type silent struct{}

func (silent) Get(ctx context.Context, _ string) (storer.Entry, error) { return silence(ctx) }

func (silent) Swap(ctx context.Context, _ string, _ []byte, _ storer.Version, _ time.Duration) (storer.Entry, error) {
	return silence(ctx)
}

func (silent) Watch(ctx context.Context, _ string, _ storer.Version, _ time.Duration) (storer.Entry, error) {
	return silence(ctx)
}

func (silent) List(ctx context.Context) ([]lister.Instance, error) {
	_, err := silence(ctx)
	return nil, err
}

func silence(ctx context.Context) (storer.Entry, error) {
	<-ctx.Done()
	return storer.Entry{}, ctx.Err()
}

func startAlone(t *testing.T) *Router {
	t.Helper()
	r, err := Start(Config{
		Name: "r1", DataCentre: "dc1", Region: "region1", Listen: "127.0.0.1:0", Store: silent{}, Instances: silent{},
		Security: securer.Config{Secret: "a secret of the fleet"}, Log: zap.NewNop(),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Stop)
	return r
}

// probe sends a request and reads its answer. It tells whether the connection goes
// on, and whether the request was cut off.
func probe(c net.Conn, br *bufio.Reader) (goesOn, cut bool) {
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

// A stop under load answers what has come: on connections that wait in the kernel's
// queue, on those just accepted, and on kept ones in use.
func TestStopCutsOffNothing(t *testing.T) {
	for name, keeps := range map[string]bool{"new connections": false, "kept connections": true} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := startAlone(t)
			stop := make(chan struct{})
			var n, cuts atomic.Int64
			var wait sync.WaitGroup
			for range 8 {
				wait.Go(func() { callAll(r.Address(), keeps, stop, &n, &cuts) })
			}
			time.Sleep(100 * time.Millisecond)
			ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
			defer cancel()
			g.Expect(r.Drain(ctx)).To(Succeed())
			close(stop)
			wait.Wait()
			g.Expect(n.Load()).To(BeNumerically(">", 100))
			g.Expect(cuts.Load()).To(BeZero(), "of %d", n.Load())
		})
	}
}

// callAll calls a router until it takes no more connections.
func callAll(address string, keeps bool, stop chan struct{}, n, cuts *atomic.Int64) {
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
		for goesOn := true; goesOn; {
			var cut bool
			goesOn, cut = probe(c, br)
			n.Add(1)
			if cut {
				cuts.Add(1)
			}
			goesOn = goesOn && keeps
		}
		_ = c.Close()
	}
}
