package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"buckthorndrum/starter"
)

// startTimeout bounds the start of a local fleet.
const startTimeout = 30 * time.Second

func newLocalCommand(out, errOut io.Writer) *ffcli.Command {
	fs := newFlags("local", errOut)
	port := fs.Int("port", 8080, "port of the first router")
	routers := fs.Int("routers", 2, "number of routers")
	engines := fs.Int("engines", 2, "number of stand-in model engines")
	services := fs.Int("services", 2, "number of stand-in plain services")
	demo := fs.Bool("demo", true, "send one streamed request and one ticket at the start")
	level := fs.String("log-level", "warn", "debug, info, warn or error")
	return &ffcli.Command{
		Name:       "local",
		ShortUsage: "buckthorndrum local [flags]",
		ShortHelp:  "run a whole fleet with stand-ins on loopback",
		FlagSet:    fs,
		Options:    options(),
		Exec: func(ctx context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			p := processFlags{level: *level}
			log, err := p.logger()
			if err != nil {
				return err
			}
			return runLocal(ctx, starter.Config{Routers: *routers, Engines: *engines, Services: *services, Port: *port, Log: log}, *demo, out)
		},
	}
}

func runLocal(ctx context.Context, cfg starter.Config, demo bool, out io.Writer) error {
	if cfg.Routers < 1 || cfg.Engines < 1 || cfg.Services < 1 {
		return settingsError{errors.New("routers, engines and services must each be at least 1")}
	}
	limited, cancel := context.WithTimeout(ctx, startTimeout)
	f, err := starter.Start(limited, cfg)
	cancel()
	if err != nil {
		return err
	}
	describe(f, out)
	if demo {
		if err := demonstrate(ctx, "http://"+f.Routers[0].Address(), out); err != nil {
			_, _ = fmt.Fprintln(out, "demonstration failed:", err)
		}
	}
	<-ctx.Done()
	_, _ = fmt.Fprintln(out, "draining")
	limited, cancel = context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	return f.Drain(limited)
}

func describe(f *starter.Fleet, out io.Writer) {
	for _, r := range f.Routers {
		_, _ = fmt.Fprintf(out, "router   http://%s\n", r.Address())
	}
	for _, a := range f.Agents {
		_, _ = fmt.Fprintf(out, "agent    http://%s  (%s)\n", a.Address(), a.Origin().Target)
	}
	_, _ = fmt.Fprintf(out, "console  http://%s/console  (operator token %s)\n", f.Routers[0].Address(), starter.OperatorToken)
	for _, w := range starter.Workspaces() {
		_, _ = fmt.Fprintf(out, "workspace %-12s token %s\n", w, starter.WorkspaceToken(w))
	}
}

// demonstrate sends one streamed request and one ticket.
func demonstrate(ctx context.Context, url string, out io.Writer) error {
	c := newClient(url, starter.WorkspaceToken("tanta"))
	_, _ = fmt.Fprintln(out, "\na streamed answer:")
	if err := c.copy(ctx, `{"kind":"answer","prompt":"Where is ticket 7? tokens=8"}`, "", out); err != nil {
		return err
	}
	_, _ = fmt.Fprintln(out, "\na ticket, asked for twice under one key and issued once:")
	key, err := c.mint(ctx, "ticket")
	if err != nil {
		return err
	}
	for range 2 {
		if err := c.copy(ctx, `{"kind":"ticket","payload":{"bale":7}}`, key, out); err != nil {
			return err
		}
	}
	return nil
}

func newStandinCommand(out, errOut io.Writer) *ffcli.Command {
	fs := newFlags("standin", errOut)
	port := fs.Int("port", 9000, "first port; the store and the instance list come first, then the engines and the services")
	engines := fs.Int("engines", 2, "number of model engines")
	services := fs.Int("services", 2, "number of plain services")
	return &ffcli.Command{
		Name:       "standin",
		ShortUsage: "buckthorndrum standin [flags]",
		ShortHelp:  "run only the stand-ins for the outside systems",
		FlagSet:    fs,
		Options:    options(),
		Exec: func(ctx context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			s, err := starter.StartStandins(starter.StandinConfig{Engines: *engines, Services: *services, Port: *port})
			if err != nil {
				return err
			}
			defer s.Close()
			raw, err := json.Marshal(map[string]any{"store": s.StoreURL, "instances": s.InstancesURL, "engines": s.EngineURLs, "services": s.ServiceURLs})
			if err != nil {
				return errors.Wrap(err, "encode addresses")
			}
			_, _ = fmt.Fprintln(out, string(raw))
			<-ctx.Done()
			return nil
		},
	}
}
