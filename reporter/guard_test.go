package reporter

import (
	"testing"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

func TestGuardLogsAPanicAndGoesOn(t *testing.T) {
	g := NewWithT(t)
	core, lines := observer.New(zapcore.InfoLevel)
	g.Expect(Guard(zap.New(core), "take", func() { panic("odd") })).To(BeFalse())
	g.Expect(lines.All()).To(HaveLen(1))
	g.Expect(lines.All()[0].ContextMap()).To(HaveKeyWithValue("step", "take"))
	g.Expect(Guard(zap.New(core), "take", func() {})).To(BeTrue())
	g.Expect(lines.All()).To(HaveLen(1))
}
