package reporter

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/time/rate"
)

const (
	// linesPerSecond and linesAtOnce bound the lines below the level of a warning.
	linesPerSecond = 150
	linesAtOnce    = 300
	// queuedLines is how many lines may wait to be written.
	queuedLines = 1024
	// tellDropped is how often it is told how many lines were left out.
	tellDropped = time.Second
)

// Bounded writes log lines without ever making its callers wait. Lines that are
// too many, or that the reader of the log does not take in, are left out and
// counted.
type Bounded struct {
	lines   chan []byte
	out     io.Writer
	limit   *rate.Limiter
	dropped atomic.Uint64
	// done is closed when no more lines are written.
	done chan struct{}
}

// NewBounded returns a logger of the given level that writes to out, and what
// bounds it. It goes on until stop is closed.
func NewBounded(level string, out io.Writer, stop <-chan struct{}) (*zap.Logger, *Bounded, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, nil, errors.Wrap(err, "log level")
	}
	b := &Bounded{lines: make(chan []byte, queuedLines), out: out, limit: rate.NewLimiter(linesPerSecond, linesAtOnce), done: make(chan struct{})}
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.EncodeDuration = zapcore.StringDurationEncoder
	core := &boundedCore{Core: zapcore.NewCore(zapcore.NewJSONEncoder(cfg), zapcore.AddSync(b), l), b: b}
	log := zap.New(core)
	go b.write(stop, log.Named("reporter"))
	return log, b, nil
}

// Dropped returns how many lines were left out.
func (b *Bounded) Dropped() uint64 { return b.dropped.Load() }

// Done is closed when no more lines are written.
func (b *Bounded) Done() <-chan struct{} { return b.done }

// Write queues one line. It never fails and never waits.
func (b *Bounded) Write(line []byte) (int, error) {
	// The encoder uses the buffer again.
	own := append([]byte(nil), line...)
	select {
	case b.lines <- own:
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

func (b *Bounded) write(stop <-chan struct{}, log *zap.Logger) {
	defer close(b.done)
	ticks := time.NewTicker(tellDropped)
	defer ticks.Stop()
	var told uint64
	for {
		select {
		case line := <-b.lines:
			_, _ = b.out.Write(line)
		case <-ticks.C:
			if n := b.Dropped(); n > told {
				log.Warn("lines left out", zap.Uint64("lines", n-told))
				told = n
			}
		case <-stop:
			b.flush()
			return
		}
	}
}

// flush writes what is queued.
func (b *Bounded) flush() {
	for {
		select {
		case line := <-b.lines:
			_, _ = b.out.Write(line)
		default:
			return
		}
	}
}

// boundedCore leaves out lines below the level of a warning that are too many.
type boundedCore struct {
	zapcore.Core
	b *Bounded
}

// With implements zapcore.Core.
func (c *boundedCore) With(fields []zapcore.Field) zapcore.Core {
	return &boundedCore{Core: c.Core.With(fields), b: c.b}
}

// Check implements zapcore.Core.
func (c *boundedCore) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !c.Enabled(e.Level) {
		return ce
	}
	if e.Level < zapcore.WarnLevel && !c.b.limit.Allow() {
		c.b.dropped.Add(1)
		return ce
	}
	return c.Core.Check(e, ce)
}
