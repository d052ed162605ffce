package reporter

import (
	"encoding/json"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
)

// memory is a log that is kept.
type memory struct {
	mu   sync.Mutex
	text strings.Builder
}

func (m *memory) Write(b []byte) (int, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.text.Write(b)
}

func (m *memory) lines() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return strings.Split(strings.TrimSpace(m.text.String()), "\n")
}

func TestLinesAreWritten(t *testing.T) {
	g := NewWithT(t)
	out, stop := &memory{}, make(chan struct{})
	log, b, err := NewBounded("info", out, stop)
	g.Expect(err).NotTo(HaveOccurred())
	log.Named("part").With(zap.Int("a", 1)).Info("short sentence", zap.Duration("age", time.Second))
	log.Debug("not asked for")
	close(stop)
	g.Eventually(b.Done(), "2s").Should(BeClosed())
	g.Expect(out.lines()).To(HaveLen(1))
	var line map[string]any
	g.Expect(json.Unmarshal([]byte(out.lines()[0]), &line)).To(Succeed())
	g.Expect(line).To(And(HaveKeyWithValue("logger", "part"), HaveKeyWithValue("a", 1.0), HaveKeyWithValue("age", "1s")))
	g.Expect(b.Dropped()).To(BeZero())
}

func TestTooManyLinesAreCounted(t *testing.T) {
	g := NewWithT(t)
	out, stop := &memory{}, make(chan struct{})
	log, b, err := NewBounded("info", out, stop)
	g.Expect(err).NotTo(HaveOccurred())
	for i := 0; i < 10*linesAtOnce; i++ {
		log.Info("again")
	}
	log.Warn("not left out")
	g.Expect(b.Dropped()).To(BeNumerically(">", 8*linesAtOnce))
	g.Eventually(func() string { return strings.Join(out.lines(), "\n") }, "3s").Should(And(ContainSubstring("not left out"), ContainSubstring("lines left out")))
	close(stop)
	g.Eventually(b.Done(), "2s").Should(BeClosed())
}

// A reader that takes nothing in keeps nobody waiting.
func TestFullPipeStopsNobody(t *testing.T) {
	g := NewWithT(t)
	r, w, err := os.Pipe()
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _, _ = r.Close(), w.Close() }()
	log, b, err := NewBounded("info", w, make(chan struct{}))
	g.Expect(err).NotTo(HaveOccurred())
	written := make(chan struct{})
	go func() {
		defer close(written)
		for i := 0; i < 20000; i++ {
			log.Warn("a line that nobody reads, long enough to fill a pipe soon")
		}
	}()
	g.Eventually(written, "10s").Should(BeClosed())
	g.Expect(b.Dropped()).To(BeNumerically(">", 0))
}

func TestUnknownLevel(t *testing.T) {
	_, _, err := NewBounded("loud", &memory{}, nil)
	NewWithT(t).Expect(err).To(HaveOccurred())
}
