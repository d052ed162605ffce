package main

import (
	"context"
	"flag"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"buckthorndrum/platform"
	"buckthorndrum/reporter"
)

// newPlatformCommand returns the subcommand that runs a router on the users'
// platform.
func newPlatformCommand(errOut io.Writer) *ffcli.Command {
	var path, level string
	register := func(fs *flag.FlagSet) {
		fs.StringVar(&path, "boot", os.Getenv(platform.SettingsVariable), "the platform's settings file, by default as "+platform.SettingsVariable+" says")
		fs.StringVar(&level, "log-level", "info", "debug, info, warn or error")
	}
	return processCommand("platform", "run a router on the users' platform", errOut, register, func(ctx context.Context) error {
		log, err := reporter.New(level)
		if err != nil {
			return settingsError{err}
		}
		return platform.Run(ctx, path, log)
	})
}
