package main

import (
	"bytes"
	"context"
	"strings"
	"testing"
)

// TestExitCodes runs command lines and checks their exit codes and what they
// say.
func TestExitCodes(t *testing.T) {
	for _, tc := range []struct {
		line string
		code int
		says []string
	}{
		{"check -router testdata/router.json", exitOK, []string{"valid router settings"}},
		{"-help", exitUsage, []string{"router", "agent", "local", "check", "config", "status", "load", "inspect"}},
		{"router -help", exitUsage, []string{"-listen", "-seeds", "-secret"}},
		{"config put -help", exitUsage, []string{"-if-match"}},
		{"router -no-such-flag", exitUsage, []string{"no-such-flag"}},
		{"router stray", exitUsage, []string{"stray"}},
		{"check", exitUsage, []string{"-router"}},
		{"check -router testdata/none.json", exitSettings, []string{"none.json"}},
		{"check -router testdata/router-unknown-key.json", exitSettings, []string{"router-unknown-key.json", "colour"}},
		{"check -router testdata/router-bad-address.json", exitSettings, []string{"router-bad-address.json", "listen", "nowhere"}},
		{"check -agent testdata/agent-wrong-type.json", exitSettings, []string{"agent-wrong-type.json", "retain", "parse error"}},
		{"check -config testdata/document-bad.json", exitSettings, []string{"document-bad.json", "kinds[0].pool", "kinds[0].share", "operators"}},
		{"router -settings testdata/router-bad-address.json", exitSettings, []string{"nowhere"}},
		{"config get -url http://127.0.0.1:1", exitFailure, []string{"/v1/config"}},
		{"check -boot ../../platform/testdata/settings.conf -operator-config ../../platform/testdata/config.json", exitOK, []string{"valid platform settings", "valid platform configuration, version 7"}},
		{"check -boot ../../platform/testdata/config.json", exitSettings, []string{"config.json", "field node_name"}},
		{"check -operator-config ../../platform/testdata/settings.conf", exitSettings, []string{"settings.conf", "decode configuration"}},
		{"inspect -help", exitUsage, []string{"-config", "-against", "Exit codes: 0 nothing found", "4 warnings; 5 errors"}},
		{"inspect", exitUsage, []string{"-config"}},
		{"inspect -config ../../inspector/testdata/in-force.json -targets llm", exitUsage, []string{"service=number"}},
		{"inspect -config ../../inspector/testdata/in-force.json -boot ../../platform/testdata/settings.conf -targets llm=12", exitOK, []string{"findings: 0"}},
		{"inspect -config ../../inspector/testdata/proposed.json -against ../../inspector/testdata/in-force.json", exitOK, []string{"route draft: timeout_ms 12000 -> 9000", "findings: 0; differences from"}},
		{"inspect -config ../../inspector/testdata/in-force.json -against ../../inspector/testdata/proposed.json", exitErrors, []string{"in-force.json:2:14: error: version:", "version 8 in force"}},
		{"inspect -config ../../inspector/testdata/in-force.json -targets llm=1", exitWarnings, []string{"attempts-too-many"}},
		{"inspect -json -config ../../inspector/testdata/limits.json -boot ../../platform/testdata/settings.conf", exitErrors, []string{`"kind": "body-too-large"`, `"path": "limits.max_body_bytes"`, `"line": 8`}},
		{"inspect -config ../../platform/testdata/settings.conf", exitErrors, []string{"settings.conf:1:2: error:", "[not-json]"}},
		{"inspect -config testdata/none.json", exitSettings, []string{"none.json"}},
		{"inspect -config ../../inspector/testdata/in-force.json -against testdata/none.json", exitSettings, []string{"none.json"}},
		{"inspect -config ../../inspector/testdata/in-force.json -against ../../platform/testdata/settings.conf", exitSettings, []string{"settings.conf:1:2"}},
		{"inspect -config ../../inspector/testdata/in-force.json -boot testdata/none.conf", exitSettings, []string{"none.conf"}},
		{"platform -boot testdata/none", exitSettings, []string{"testdata/none"}},
		{"explain twice ../../explainer/testdata/router_1.log", exitOK, []string{"request twice", "cause: The answer of target t3 broke off"}},
		{"explain twice", exitUsage, []string{"log file"}},
		{"explain twice testdata/none.log", exitFailure, []string{"none.log"}},
		{"load -profile none", exitUsage, []string{"none"}},
	} {
		t.Run(tc.line, func(t *testing.T) {
			var out bytes.Buffer
			if code := run(context.Background(), strings.Fields(tc.line), &out, &out); code != tc.code {
				t.Errorf("exit code %d, want %d: %s", code, tc.code, out.String())
			}
			for _, s := range tc.says {
				if !strings.Contains(out.String(), s) {
					t.Errorf("output lacks %q: %s", s, out.String())
				}
			}
		})
	}
}
