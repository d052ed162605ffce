package main

import (
	"context"
	"flag"
	"io"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"buckthorndrum/reporter"
	"buckthorndrum/securer"
)

// processFlags are the settings that routers and agents share.
type processFlags struct {
	dataCentre string
	listen     string
	secret     string
	cert       string
	key        string
	ca         string
	level      string
	grace      time.Duration
}

// defaultGrace is how long a process waits for its work when it is stopped.
const defaultGrace = 2 * time.Minute

func (p *processFlags) register(fs *flag.FlagSet) {
	fs.StringVar(&p.dataCentre, "data-centre", "", "data centre in which the process runs")
	fs.StringVar(&p.listen, "listen", "", "own address, as host:port")
	fs.StringVar(&p.secret, "secret", "", "secret that all processes of the fleet share, at least 16 bytes")
	fs.StringVar(&p.cert, "tls-cert", "", "certificate file for links between processes")
	fs.StringVar(&p.key, "tls-key", "", "key file of that certificate")
	fs.StringVar(&p.ca, "tls-ca", "", "file of the authority that signs the processes' certificates")
	fs.StringVar(&p.level, "log-level", "info", "debug, info, warn or error")
	fs.DurationVar(&p.grace, "grace", defaultGrace, "how long to wait for work in hand after SIGTERM")
}

func (p *processFlags) security() securer.Config {
	return securer.Config{Secret: p.secret, CertFile: p.cert, KeyFile: p.key, CAFile: p.ca}
}

// check reports the first bad setting by its key.
func (p *processFlags) check() error {
	if _, err := securer.New(p.security()); err != nil {
		return settingsError{errors.Wrap(err, "secret or tls")}
	}
	if _, err := zapcore.ParseLevel(p.level); err != nil {
		return settingsError{errors.Wrap(err, "log-level")}
	}
	return nil
}

func (p *processFlags) logger() (*zap.Logger, error) {
	log, err := reporter.New(p.level)
	if err != nil {
		return nil, settingsError{err}
	}
	return log, nil
}

// run starts a process and serves until it ends or is to stop.
func (p *processFlags) run(ctx context.Context, start func(*zap.Logger) (drainable, error)) error {
	log, err := p.logger()
	if err != nil {
		return err
	}
	d, err := start(log)
	if err != nil {
		return err
	}
	return serve(ctx, d, p.grace)
}

// processCommand returns the subcommand that runs a process.
func processCommand(name, help string, errOut io.Writer, register func(*flag.FlagSet), run func(context.Context) error) *ffcli.Command {
	fs := newFlags(name, errOut)
	register(fs)
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "buckthorndrum " + name + " [flags]",
		ShortHelp:  help,
		FlagSet:    fs,
		Options:    options(),
		Exec: func(ctx context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			// Without a reader of its log, a process goes on without a log.
			signal.Ignore(syscall.SIGPIPE)
			return run(ctx)
		},
	}
}

// drainable is a process that can be stopped gracefully.
type drainable interface {
	Drain(ctx context.Context) error
	Done() <-chan struct{}
}

// serve runs a process until it ends or ctx is done, and then drains it.
func serve(ctx context.Context, p drainable, grace time.Duration) error {
	select {
	case <-p.Done():
		return nil
	case <-ctx.Done():
	}
	limited, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	return errors.Wrap(p.Drain(limited), "drain")
}

// list splits a comma-separated setting.
func list(v string) []string {
	if v == "" {
		return nil
	}
	return strings.Split(v, ",")
}
