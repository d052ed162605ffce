package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"buckthorndrum/configurator"
)

// apiFlags say which router to call and as whom.
type apiFlags struct {
	url   string
	token string
}

func (a *apiFlags) register(fs *flag.FlagSet) {
	fs.StringVar(&a.url, "url", "http://127.0.0.1:8080", "base URL of a router")
	fs.StringVar(&a.token, "token", "", "operator's bearer token")
}

func (a *apiFlags) client() *client { return newClient(a.url, a.token) }

func newConfigCommand(out, errOut io.Writer) *ffcli.Command {
	fs := newFlags("config", errOut)
	return &ffcli.Command{
		Name:        "config",
		ShortUsage:  "buckthorndrum config <get|put|history> [flags]",
		ShortHelp:   "read and change the configuration",
		FlagSet:     fs,
		Subcommands: []*ffcli.Command{newGetCommand(out, errOut), newPutCommand(out, errOut), newHistoryCommand(out, errOut)},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
}

func newGetCommand(out, errOut io.Writer) *ffcli.Command {
	var a apiFlags
	fs := newFlags("config get", errOut)
	a.register(fs)
	return &ffcli.Command{
		Name:       "get",
		ShortUsage: "buckthorndrum config get [flags]",
		ShortHelp:  "print the configuration in force; its revision goes to standard error",
		FlagSet:    fs,
		Options:    options(),
		Exec: func(ctx context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			resp, err := a.client().do(ctx, http.MethodGet, "/v1/config", nil, nil)
			if err != nil {
				return err
			}
			defer func() { _ = resp.Body.Close() }()
			_, _ = fmt.Fprintln(errOut, "revision", resp.Header.Get("ETag"))
			return indent(resp.Body, out)
		},
	}
}

func indent(in io.Reader, out io.Writer) error {
	var v json.RawMessage
	if err := json.NewDecoder(in).Decode(&v); err != nil {
		return errors.Wrap(err, "decode answer")
	}
	raw, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode answer")
	}
	_, err = fmt.Fprintln(out, string(raw))
	return err
}

func newPutCommand(out, errOut io.Writer) *ffcli.Command {
	var a apiFlags
	fs := newFlags("config put", errOut)
	a.register(fs)
	file := fs.String("file", "", "configuration document")
	match := fs.String("if-match", "", "revision that the change is based on, 0 for the first")
	return &ffcli.Command{
		Name:       "put",
		ShortUsage: "buckthorndrum config put -file document.json -if-match revision [flags]",
		ShortHelp:  "replace the configuration if nobody else has changed it",
		FlagSet:    fs,
		Options:    options(),
		Exec: func(ctx context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			raw, err := os.ReadFile(*file)
			if err != nil {
				return settingsError{errors.Wrap(err, "read configuration")}
			}
			if _, err := configurator.Decode(raw); err != nil {
				return settingsError{errors.Wrap(err, *file)}
			}
			resp, err := a.client().do(ctx, http.MethodPut, "/v1/config", raw, map[string]string{"If-Match": *match})
			if err != nil {
				return err
			}
			defer func() { _ = resp.Body.Close() }()
			return indent(resp.Body, out)
		},
	}
}

func newHistoryCommand(out, errOut io.Writer) *ffcli.Command {
	var a apiFlags
	fs := newFlags("config history", errOut)
	a.register(fs)
	page := fs.String("page", "", "hash of an older page, as the page before it names it")
	return &ffcli.Command{
		Name:       "history",
		ShortUsage: "buckthorndrum config history [flags]",
		ShortHelp:  "print a page of the audit trail, the newest entry first",
		FlagSet:    fs,
		Options:    options(),
		Exec: func(ctx context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			resp, err := a.client().do(ctx, http.MethodGet, "/v1/audit?page="+*page, nil, nil)
			if err != nil {
				return err
			}
			defer func() { _ = resp.Body.Close() }()
			return indent(resp.Body, out)
		},
	}
}

func newStatusCommand(out, errOut io.Writer) *ffcli.Command {
	var a apiFlags
	fs := newFlags("status", errOut)
	a.register(fs)
	return &ffcli.Command{
		Name:       "status",
		ShortUsage: "buckthorndrum status [flags]",
		ShortHelp:  "print what a router sees: targets, queues, revision",
		FlagSet:    fs,
		Options:    options(),
		Exec: func(ctx context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			resp, err := a.client().do(ctx, http.MethodGet, "/v1/status", nil, nil)
			if err != nil {
				return err
			}
			defer func() { _ = resp.Body.Close() }()
			return indent(resp.Body, out)
		},
	}
}
