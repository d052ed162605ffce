package linker

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"

	"buckthorndrum/messenger"
	"buckthorndrum/securer"
)

const (
	// sendQueue is how many frames may wait to be sent on one link.
	sendQueue = 256
	// helloTimeout bounds the exchange of hellos.
	helloTimeout = 2 * time.Second
	// BeatAfter is after how much silence a side sends a heartbeat.
	BeatAfter = 1900 * time.Millisecond
	// BeatCheck is how often that is looked at. Both together are well below
	// SilentAfter.
	BeatCheck = 100 * time.Millisecond
	// SilentAfter is when a link on which nothing was received counts as lost; it
	// may take up to twice that time.
	SilentAfter = 3 * time.Second
)

// ErrQueueFull tells that a peer does not take in what is sent.
var ErrQueueFull = errors.New("link has too many frames waiting")

// Link is one WebSocket connection to a peer.
type Link struct {
	// Peer is who is at the other end. It does not change.
	Peer messenger.Hello
	conn *websocket.Conn
	// coder is used by one encoder under sending and by one decoder.
	coder   *messenger.Coder
	sending sync.Mutex
	out     chan []byte
	done    chan struct{}
	once    sync.Once
	// heard tells that something was received since it was last looked at.
	heard atomic.Bool
	// said is when a frame was queued last, in nanoseconds since the Unix epoch.
	said atomic.Int64
	// sent and received count bytes of frames.
	sent, received, queued *atomic.Int64
}

// Traffic counts the control bytes of one process over all its links.
type Traffic struct {
	// Queued counts what was given to links to send.
	Queued   atomic.Int64
	Sent     atomic.Int64
	Received atomic.Int64
}

// Accept upgrades an HTTP request to a link and exchanges hellos.
func Accept(w http.ResponseWriter, r *http.Request, self messenger.Hello, t *Traffic) (*Link, error) {
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return nil, errors.Wrapf(err, "accept link from %s", r.RemoteAddr)
	}
	return join(r.Context(), conn, self, t, r.RemoteAddr)
}

// Dialer opens links of one process.
type Dialer struct {
	// Scheme is http or https.
	Scheme string
	Client *http.Client
	// Sign adds the proof that the process belongs to the fleet.
	Sign func(http.Header)
	// Hello introduces the process.
	Hello   func() messenger.Hello
	Traffic *Traffic
}

// NewDialer returns the dialer of the process of this name.
func NewDialer(sec *securer.Securer, name string, hello func() messenger.Hello, t *Traffic) Dialer {
	return Dialer{
		Scheme:  sec.Scheme(),
		Client:  sec.LinkClient(),
		Sign:    func(h http.Header) { sec.Sign(h, name, time.Now()) },
		Hello:   hello,
		Traffic: t,
	}
}

// dialTimeout bounds the opening of a link.
const dialTimeout = 2 * time.Second

// Dial opens a link to the process at address, host:port, and exchanges hellos.
func (d Dialer) Dial(ctx context.Context, address string) (*Link, error) {
	limited, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	header := http.Header{}
	d.Sign(header)
	return dial(limited, d.Scheme+"://"+address+"/link", header, d.Client, d.Hello(), d.Traffic)
}

func dial(ctx context.Context, url string, header http.Header, client *http.Client, self messenger.Hello, t *Traffic) (*Link, error) {
	conn, resp, err := websocket.Dial(ctx, url, &websocket.DialOptions{HTTPHeader: header, HTTPClient: client})
	if resp != nil && resp.Body != nil {
		_ = resp.Body.Close()
	}
	if err != nil {
		return nil, errors.Wrapf(err, "dial link to %s", url)
	}
	return join(ctx, conn, self, t, url)
}

func join(ctx context.Context, conn *websocket.Conn, self messenger.Hello, t *Traffic, peer string) (*Link, error) {
	conn.SetReadLimit(messenger.MaxFrame)
	l := &Link{conn: conn, coder: messenger.NewCoder(), out: make(chan []byte, sendQueue), done: make(chan struct{}), sent: &t.Sent, received: &t.Received, queued: &t.Queued}
	hello, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	if err := l.greet(hello, self); err != nil {
		_ = conn.CloseNow()
		return nil, errors.Wrapf(err, "exchange hellos with %s", peer)
	}
	return l, nil
}

func (l *Link) greet(ctx context.Context, self messenger.Hello) error {
	raw, err := l.coder.Encode(messenger.Frame{Hello: &self})
	if err != nil {
		return err
	}
	if err := l.conn.Write(ctx, websocket.MessageBinary, raw); err != nil {
		return errors.Wrap(err, "write hello")
	}
	f, err := l.read(ctx)
	if err != nil {
		return err
	}
	if f.Hello == nil {
		return errors.New("first frame is no hello")
	}
	l.Peer = *f.Hello
	return nil
}

// Serve carries frames until the link is lost, and calls take for each frame
// received. It returns the reason of the loss.
func (l *Link) Serve(ctx context.Context, take func(messenger.Frame)) error {
	defer l.Close()
	go l.write(ctx)
	go l.watch(ctx)
	for {
		f, err := l.read(ctx)
		l.heard.Store(true)
		if err != nil {
			return errors.Wrapf(err, "read from %s %s", l.Peer.Role, l.Peer.Name)
		}
		take(f)
	}
}

func (l *Link) read(ctx context.Context) (messenger.Frame, error) {
	_, raw, err := l.conn.Read(ctx)
	if err != nil {
		return messenger.Frame{}, errors.Wrap(err, "read frame")
	}
	l.received.Add(int64(len(raw)))
	return l.coder.Decode(raw)
}

// Send queues a frame. A peer that does not read loses its link.
func (l *Link) Send(f messenger.Frame) error {
	l.sending.Lock()
	defer l.sending.Unlock()
	raw, err := l.coder.Encode(f)
	if err != nil {
		return err
	}
	select {
	case l.out <- raw:
		l.queued.Add(int64(len(raw)))
		l.said.Store(time.Now().UnixNano())
		return nil
	case <-l.done:
		return errors.Errorf("send to %s %s: link is closed", l.Peer.Role, l.Peer.Name)
	default:
		l.Close()
		return errors.Wrapf(ErrQueueFull, "send to %s %s", l.Peer.Role, l.Peer.Name)
	}
}

// Silence returns for how long nothing was sent.
func (l *Link) Silence() time.Duration { return time.Duration(time.Now().UnixNano() - l.said.Load()) }

func (l *Link) write(ctx context.Context) {
	defer l.Close()
	for {
		select {
		case raw := <-l.out:
			if l.writeOne(ctx, raw) != nil {
				return
			}
		case <-l.done:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (l *Link) writeOne(ctx context.Context, raw []byte) error {
	l.sent.Add(int64(len(raw)))
	return l.conn.Write(ctx, websocket.MessageBinary, raw)
}

// watch closes the link when nothing was received for SilentAfter. One timer
// for the link is cheaper than one for each frame. A peer that does not take in
// what is sent is noticed by the full queue.
func (l *Link) watch(ctx context.Context) {
	ticks := time.NewTicker(SilentAfter)
	defer ticks.Stop()
	for {
		select {
		case <-ticks.C:
			if !l.heard.Swap(false) {
				l.Close()
				return
			}
		case <-l.done:
			return
		case <-ctx.Done():
			return
		}
	}
}

// Done is closed when the link is lost or closed.
func (l *Link) Done() <-chan struct{} { return l.done }

// Close ends the link. It may be called more than once.
func (l *Link) Close() {
	l.once.Do(func() {
		close(l.done)
		_ = l.conn.CloseNow()
	})
}
