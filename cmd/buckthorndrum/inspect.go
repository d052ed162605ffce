package main

import (
	"context"
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"buckthorndrum/inspector"
	"buckthorndrum/platform"
)

// inspectHelp explains the subcommand inspect.
const inspectHelp = `Checks the JSON that is to be written to the store key op/config: malformed values,
entries that can never match, and limits that contradict each other, with their
place in the file. -against adds what differs from the version in force, -boot the
memory of an instance, -targets the number of targets of services. API keys are
not printed in full.

Exit codes: 0 nothing found, also if there are differences; 1 the report could not
be written; 2 usage; 3 a file cannot be read, or the file of -against or -boot is not
valid; 4 warnings; 5 errors.`

// inspectFlags are the flags of the subcommand inspect.
type inspectFlags struct {
	config, against, boot, targets string
	json                           bool
}

func newInspectCommand(out, errOut io.Writer) *ffcli.Command {
	fs := newFlags("inspect", errOut)
	var f inspectFlags
	fs.StringVar(&f.config, "config", "", "operator's configuration to check")
	fs.StringVar(&f.against, "against", "", "operator's configuration in force, to compare with")
	fs.StringVar(&f.boot, "boot", "", "settings file of a router, for the memory of its instance")
	fs.StringVar(&f.targets, "targets", "", "number of targets of services, as service=number,...")
	fs.BoolVar(&f.json, "json", false, "print the report as JSON")
	return &ffcli.Command{
		Name:       "inspect",
		ShortUsage: "buckthorndrum inspect -config file [-against file] [-boot file] [-targets service=number,...] [-json]",
		ShortHelp:  "check the platform operator's configuration before it is sent",
		LongHelp:   inspectHelp,
		FlagSet:    fs,
		Options:    options(),
		Exec: func(_ context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			if f.config == "" {
				return usageError{errors.New("give the configuration with -config")}
			}
			return f.run(out)
		},
	}
}

// run checks the configuration and writes the report.
func (f inspectFlags) run(out io.Writer) error {
	report, err := f.inspect()
	if err != nil {
		return err
	}
	write := report.WriteText
	if f.json {
		write = report.WriteJSON
	}
	if err := write(out); err != nil {
		return err
	}
	switch {
	case inspector.HasErrors(report.Findings):
		return exitCode(exitErrors)
	case len(report.Findings) > 0:
		return exitCode(exitWarnings)
	}
	return nil
}

// inspect reads the files and returns the report.
func (f inspectFlags) inspect() (inspector.Report, error) {
	report := inspector.Report{File: f.config}
	targets, err := parseTargets(f.targets)
	if err != nil {
		return report, usageError{err}
	}
	raw, err := os.ReadFile(f.config)
	if err != nil {
		return report, settingsError{errors.Wrap(err, "read configuration")}
	}
	var bodyBytes int64
	if f.boot != "" {
		settings, err := platform.ReadSettings(f.boot)
		if err != nil {
			return report, settingsError{err}
		}
		bodyBytes = settings.MaxBodyBytes()
	}
	inForce, err := readInForce(f.against)
	if err != nil {
		return report, settingsError{err}
	}
	proposed, err := platform.InspectorInput(raw)
	if err != nil {
		report.Findings = inspector.Undecodable(raw, decodeOperatorConfig)
		return report, nil
	}
	proposed.BodyBytes, proposed.Targets = bodyBytes, targets
	report.Findings = inspector.Inspect(proposed)
	if f.against == "" {
		return report, nil
	}
	report.Against = f.against
	report.Findings = append(report.Findings, inspector.CompareVersions(inForce, proposed)...)
	report.Differences, err = inspector.Compare(inForce, proposed)
	return report, errors.Wrap(err, "compare with "+f.against)
}

// decodeOperatorConfig returns the error with which routers reject a configuration.
func decodeOperatorConfig(raw []byte) error {
	_, err := platform.InspectorInput(raw)
	return err
}

// readInForce reads the configuration in force. An empty path names none.
func readInForce(path string) (inspector.Input, error) {
	if path == "" {
		return inspector.Input{}, nil
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return inspector.Input{}, errors.Wrap(err, "read configuration in force")
	}
	in, err := platform.InspectorInput(raw)
	if err != nil {
		f := inspector.Undecodable(raw, decodeOperatorConfig)[0]
		return in, errors.Errorf("%s:%d:%d: %s", path, f.Line, f.Column, f.Message)
	}
	return in, nil
}

// parseTargets parses the numbers of targets of services, such as llm=12,tickets=3.
func parseTargets(list string) (map[string]int, error) {
	targets := map[string]int{}
	if list == "" {
		return targets, nil
	}
	for _, entry := range strings.Split(list, ",") {
		name, number, _ := strings.Cut(entry, "=")
		n, err := strconv.Atoi(number)
		if err != nil || n < 0 || name == "" {
			return nil, errors.Errorf("-targets: %q is not service=number", entry)
		}
		targets[name] = n
	}
	return targets, nil
}
