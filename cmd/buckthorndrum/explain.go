package main

import (
	"context"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"buckthorndrum/explainer"
	"buckthorndrum/identifier"
)

func newExplainCommand(out, errOut io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name:       "explain",
		ShortUsage: "buckthorndrum explain <request id> <log file>...",
		ShortHelp:  "tell from routers' logs what became of a request, and why",
		LongHelp: `Give the logs of all routers: one may have sent the request elsewhere, and the
targets' records are of all of them. Times are those of each router's clock.`,
		FlagSet: newFlags("explain", errOut),
		Exec: func(_ context.Context, args []string) error {
			if len(args) < 2 {
				return usageError{errors.New("give a request's id and at least one log file")}
			}
			h, err := explainer.Read(identifier.Request(args[0]), args[1:])
			if err != nil {
				return errors.Wrap(err, "explain")
			}
			return errors.Wrap(h.Write(out), "write the explanation")
		},
	}
}
