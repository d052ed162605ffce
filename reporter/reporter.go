// Package reporter builds the processes' loggers: short sentences with a fixed
// prefix for each part, as one JSON object a line.
package reporter

import (
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// New returns a logger of the given level: debug, info, warn or error.
func New(level string) (*zap.Logger, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "log level")
	}
	cfg := zap.NewProductionConfig()
	cfg.Level = zap.NewAtomicLevelAt(l)
	cfg.DisableCaller = true
	cfg.DisableStacktrace = true
	cfg.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	log, err := cfg.Build()
	return log, errors.Wrap(err, "build logger")
}

// Error returns the field for an error, in one line and without a stack.
func Error(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}
