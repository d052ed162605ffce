package main

import (
	"context"
	"flag"
	"io"
	"net/url"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"buckthorndrum/agent"
	"buckthorndrum/identifier"
)

// agentFlags are an agent's settings.
type agentFlags struct {
	processFlags
	target    string
	targetURL string
	retain    time.Duration
}

func (f *agentFlags) register(fs *flag.FlagSet) {
	f.processFlags.register(fs)
	fs.StringVar(&f.target, "target", "", "name of the target beside which the agent runs")
	fs.StringVar(&f.targetURL, "target-url", "", "base URL of the target")
	fs.DurationVar(&f.retain, "retain", agent.DefaultRetain, "how long an answer is kept for repeats and resumption")
}

func (f *agentFlags) config() agent.Config {
	return agent.Config{
		Target:     identifier.Target(f.target),
		DataCentre: identifier.DataCentre(f.dataCentre),
		Listen:     f.listen,
		TargetURL:  f.targetURL,
		Security:   f.security(),
		Retain:     f.retain,
	}
}

func (f *agentFlags) check() error {
	if err := f.config().Check(); err != nil {
		return settingsError{err}
	}
	if err := checkURL("target-url", f.targetURL); err != nil {
		return err
	}
	return f.processFlags.check()
}

// checkURL reports a setting that is no base URL.
func checkURL(key, v string) error {
	u, err := url.Parse(v)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return settingsError{errors.Errorf("%s %q is not an http or https URL", key, v)}
	}
	return nil
}

func newAgentCommand(errOut io.Writer) *ffcli.Command {
	var f agentFlags
	return processCommand("agent", "run the agent beside one target", errOut, f.register, func(ctx context.Context) error { return runAgent(ctx, &f) })
}

func runAgent(ctx context.Context, f *agentFlags) error {
	if err := f.check(); err != nil {
		return err
	}
	return f.run(ctx, func(log *zap.Logger) (drainable, error) {
		cfg := f.config()
		cfg.Log = log
		return agent.Start(cfg)
	})
}
