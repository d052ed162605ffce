package main

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"buckthorndrum/mangler"
)

// What is no answer is none for the operator's commands: it does not print as the configuration
// in force, nor as a change that was made.
func TestCommandsRefuseBrokenAnswers(t *testing.T) {
	for answer, code := range map[string]int{
		"HTTP/1.1 200 x\r\n\r\n{}":                                  exitOK,
		"HTTP/1.1 000 x\r\n\r\n{}":                                  exitFailure,
		"HTTP/1.1 200 x\r\nX : y\r\n\r\n{}":                         exitFailure,
		"HTTP/2.0 200 x\r\n\r\n{}":                                  exitFailure,
		"HTTP/1.1 200 x\r\n\r\n{":                                   exitFailure,
		"HTTP/1.0 200 x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n": exitFailure,
	} {
		t.Run(answer, func(t *testing.T) {
			address := mangler.Serve(t, mangler.Send(answer))
			var out, errOut bytes.Buffer
			got := run(context.Background(), strings.Fields("config get -url http://"+address), &out, &errOut)
			if got != code {
				t.Errorf("exit code %d, want %d; printed %q and %q", got, code, out.String(), errOut.String())
			}
		})
	}
}
