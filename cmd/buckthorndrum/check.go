package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"buckthorndrum/configurator"
	"buckthorndrum/platform"
)

func newCheckCommand(out, errOut io.Writer) *ffcli.Command {
	fs := newFlags("check", errOut)
	router := fs.String("router", "", "settings file of a router")
	agent := fs.String("agent", "", "settings file of an agent")
	config := fs.String("config", "", "configuration document")
	boot := fs.String("boot", "", "settings file of the users' platform")
	operator := fs.String("operator-config", "", "configuration as the platform's operator writes it")
	return &ffcli.Command{
		Name:       "check",
		ShortUsage: "buckthorndrum check [-router file] [-agent file] [-config file] [-boot file] [-operator-config file]",
		ShortHelp:  "check settings files and a configuration document",
		FlagSet:    fs,
		Options:    options(),
		Exec: func(_ context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			if *router+*agent+*config+*boot+*operator == "" {
				return usageError{errors.New("give at least one of -router, -agent, -config, -boot and -operator-config")}
			}
			if err := checkPlatform(*boot, *operator, out); err != nil {
				return err
			}
			return checkFiles(*router, *agent, *config, out)
		},
	}
}

func checkFiles(router, agent, config string, out io.Writer) error {
	if router != "" {
		var f routerFlags
		if err := checkSettings(router, "router", f.register, f.check, out); err != nil {
			return err
		}
	}
	if agent != "" {
		var f agentFlags
		if err := checkSettings(agent, "agent", f.register, f.check, out); err != nil {
			return err
		}
	}
	if config == "" {
		return nil
	}
	raw, err := os.ReadFile(config)
	if err != nil {
		return settingsError{errors.Wrap(err, "read configuration")}
	}
	if _, err := configurator.Decode(raw); err != nil {
		return settingsError{errors.Wrap(err, config)}
	}
	_, _ = fmt.Fprintf(out, "%s: valid configuration\n", config)
	return nil
}

// checkPlatform checks the files of the users' platform.
func checkPlatform(boot, operator string, out io.Writer) error {
	if boot != "" {
		if _, err := platform.ReadSettings(boot); err != nil {
			return settingsError{err}
		}
		_, _ = fmt.Fprintf(out, "%s: valid platform settings\n", boot)
	}
	if operator == "" {
		return nil
	}
	raw, err := os.ReadFile(operator)
	if err != nil {
		return settingsError{errors.Wrap(err, "read configuration")}
	}
	revision, err := platform.CheckConfig(raw)
	if err != nil {
		return settingsError{errors.Wrap(err, operator)}
	}
	_, _ = fmt.Fprintf(out, "%s: valid platform configuration, version %d\n", operator, revision)
	return nil
}

func checkSettings(file, name string, register func(*flag.FlagSet), check func() error, out io.Writer) error {
	fs := newFlags(name, io.Discard)
	register(fs)
	if err := ff.Parse(fs, []string{"-settings", file}, options()...); err != nil {
		return settingsError{errors.Wrap(err, file)}
	}
	if err := check(); err != nil {
		return settingsError{errors.Wrap(err, file)}
	}
	_, _ = fmt.Fprintf(out, "%s: valid %s settings\n", file, name)
	return nil
}
