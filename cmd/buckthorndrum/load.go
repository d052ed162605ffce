package main

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"sort"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"buckthorndrum/estimator"
	"buckthorndrum/loader"
	"buckthorndrum/measurer"
	"buckthorndrum/starter"
)

// Defaults of a load run.
const (
	defaultLoadTime = time.Minute
	defaultCallers  = 8
)

func newLoadCommand(out, errOut io.Writer) *ffcli.Command {
	fs := newFlags("load", errOut)
	urls := fs.String("urls", "http://127.0.0.1:8080,http://127.0.0.1:8081", "routers' base URLs, comma-separated")
	engine := fs.String("engine", "", "base URL of a stand-in engine to compare the overhead with")
	profile := fs.String("profile", "mixed", "mix of requests: "+strings.Join(profileNames(), ", "))
	duration := fs.Duration("duration", defaultLoadTime, "how long to drive the fleet")
	callers := fs.Int("callers", defaultCallers, "requests that each workspace keeps open")
	seed := fs.Uint64("seed", 1, "seed of the random choices")
	capacity := fs.Bool("capacity", false, "measure the slopes of each role instead, and print the tables of docs/CAPACITY.md")
	virtual := fs.Bool("virtual", false, "measure the decision code in virtual time instead, and print the tables of docs/MEASURES.md")
	return &ffcli.Command{
		Name:       "load",
		ShortUsage: "buckthorndrum load [flags]",
		ShortHelp:  "drive a fleet with stand-ins and report what callers see",
		FlagSet:    fs,
		Options:    options(),
		Exec: func(ctx context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			if *virtual {
				measure(*seed, out)
				return nil
			}
			if *capacity {
				return estimator.Write(out)
			}
			p, ok := loader.Profiles()[*profile]
			if !ok {
				return usageError{errors.Errorf("profile %q does not exist", *profile)}
			}
			return runLoad(ctx, loader.Config{
				Routers: list(*urls), Engine: *engine, Profile: p, Duration: *duration, Callers: *callers, Seed: *seed,
				Workspaces: starter.Workspaces(), Token: starter.WorkspaceToken, OperatorToken: starter.OperatorToken,
			}, out)
		},
	}
}

// measure runs every scenario at both users' sizes in virtual time.
func measure(seed uint64, out io.Writer) {
	ways := []measurer.Way{measurer.Ours, measurer.FirstCome, measurer.LeastLoaded, measurer.Central}
	rs := measurer.RunAll(measurer.Sizes(), measurer.Scenarios(), ways, seed, runtime.NumCPU())
	others := []measurer.Way{measurer.Strict, measurer.Deadline}
	rs = append(rs, measurer.RunAll(measurer.Sizes(), measurer.Floods(), others, seed, runtime.NumCPU())...)
	measurer.Write(out, rs, seed)
	placements := []measurer.Way{measurer.Ours, measurer.Halves, measurer.Placed}
	measurer.WritePlacements(out, measurer.RunAll(measurer.SwingSizes(), []measurer.Scenario{measurer.Swing()}, placements, seed, runtime.NumCPU()))
}

func profileNames() []string {
	var names []string
	for n := range loader.Profiles() {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

func runLoad(ctx context.Context, cfg loader.Config, out io.Writer) error {
	_, _ = fmt.Fprintf(out, "profile %s, seed %d, %d workspaces with %d callers each, %d routers\n", cfg.Profile.Name, cfg.Seed, len(cfg.Workspaces), cfg.Callers, len(cfg.Routers))
	rep, err := loader.Run(ctx, cfg)
	if err != nil {
		return err
	}
	rep.Print(out)
	if rep.Broken > 0 {
		return errors.Errorf("%d answers were broken", rep.Broken)
	}
	return nil
}
