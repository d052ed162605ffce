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
	var evenLoad bool
	register := func(fs *flag.FlagSet) {
		fs.StringVar(&path, "boot", os.Getenv(platform.SettingsVariable), "the platform's settings file, by default as "+platform.SettingsVariable+" says")
		fs.BoolVar(&evenLoad, "even-load", false, "even out the load of engines although reports of their load are out of date")
		fs.StringVar(&level, "log-level", "info", "debug, info, warn or error")
	}
	return processCommand("platform", "run a router on the users' platform", errOut, register, func(ctx context.Context) error {
		stop := make(chan struct{})
		log, lines, err := reporter.NewBounded(level, os.Stdout, stop)
		if err != nil {
			return settingsError{err}
		}
		settings, err := platform.ReadSettings(path)
		if err != nil {
			return settingsError{err}
		}
		err = platform.Run(ctx, platform.Config{Settings: settings, Path: path, EvenOutLoad: evenLoad, Log: log, Dropped: lines.Dropped})
		close(stop)
		<-lines.Done()
		return err
	})
}
