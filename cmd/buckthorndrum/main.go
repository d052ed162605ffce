// Command buckthorndrum runs the processes of a router fleet and administers it.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailure  = 1
	exitUsage    = 2
	exitSettings = 3
	// exitWarnings and exitErrors are codes of the subcommand inspect.
	exitWarnings = 4
	exitErrors   = 5
)

// exitCode is the exit code of a command that has printed all that there is to say.
type exitCode int

// Error implements error.
func (e exitCode) Error() string { return "exit code " + strconv.Itoa(int(e)) }

// settingsError marks an error in the settings.
type settingsError struct{ err error }

// Error implements error.
func (e settingsError) Error() string { return "settings: " + e.err.Error() }

// Unwrap returns the cause.
func (e settingsError) Unwrap() error { return e.err }

// usageError marks a command line that makes no sense.
type usageError struct{ err error }

// Error implements error.
func (e usageError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e usageError) Unwrap() error { return e.err }

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run executes one command line and returns its exit code.
func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	root := newRoot(out, errOut)
	if err := root.Parse(args); err != nil {
		return report(err, errOut, exitUsage)
	}
	return report(root.Run(ctx), errOut, exitFailure)
}

// report prints an error and returns the exit code that belongs to it.
func report(err error, errOut io.Writer, code int) int {
	var bad settingsError
	var usage usageError
	var silent exitCode
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &silent):
		return int(silent)
	case errors.Is(err, flag.ErrHelp):
		return exitUsage
	case errors.As(err, &usage):
		code = exitUsage
	case errors.As(err, &bad):
		code = exitSettings
	case isSettingsFault(err):
		err = settingsError{err}
		code = exitSettings
	}
	_, _ = fmt.Fprintln(errOut, "buckthorndrum:", err)
	return code
}

// isSettingsFault tells whether a parse error came from a settings file or the
// environment rather than from the command line.
func isSettingsFault(err error) bool {
	text := err.Error()
	return strings.Contains(text, "config file") || strings.Contains(text, "env")
}

func newRoot(out, errOut io.Writer) *ffcli.Command {
	fs := flag.NewFlagSet("buckthorndrum", flag.ContinueOnError)
	fs.SetOutput(errOut)
	return &ffcli.Command{
		Name:       "buckthorndrum",
		ShortUsage: "buckthorndrum <subcommand> [flags]",
		ShortHelp:  "a router fleet for workspaces that share capacity fairly",
		LongHelp: `Exit codes: 0 success, 1 failure, 2 usage, 3 bad settings; those of inspect are in its help.

Every flag can also stand in the JSON file given by -settings, and in the
environment as BUCKTHORNDRUM_<FLAG>, with - written as _.`,
		FlagSet: fs,
		Subcommands: []*ffcli.Command{
			newRouterCommand(errOut),
			newAgentCommand(errOut),
			newPlatformCommand(errOut),
			newLocalCommand(out, errOut),
			newStandinCommand(out, errOut),
			newCheckCommand(out, errOut),
			newInspectCommand(out, errOut),
			newConfigCommand(out, errOut),
			newStatusCommand(out, errOut),
			newExplainCommand(out, errOut),
			newLoadCommand(out, errOut),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
}

// options reads each flag from the command line, then the environment, then
// the settings file.
func options() []ff.Option {
	return []ff.Option{
		ff.WithEnvVarPrefix("BUCKTHORNDRUM"),
		ff.WithConfigFileFlag("settings"),
		ff.WithConfigFileParser(ff.JSONParser),
	}
}

// newFlags returns a flag set with the flags that every subcommand has.
func newFlags(name string, errOut io.Writer) *flag.FlagSet {
	fs := flag.NewFlagSet("buckthorndrum "+name, flag.ContinueOnError)
	fs.SetOutput(errOut)
	fs.String("settings", "", "JSON file with settings")
	return fs
}

// noArguments refuses stray words.
func noArguments(args []string) error {
	if len(args) > 0 {
		return usageError{errors.Errorf("unexpected argument %q", args[0])}
	}
	return nil
}
