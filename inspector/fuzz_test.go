package inspector_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"buckthorndrum/inspector"
	"buckthorndrum/platform"
)

// fuzzKey is an API key that the fuzzer's files may contain. No fixed text of a report
// contains it.
const fuzzKey = "fuzz-key-123456"

// FuzzInspect checks that any two files are reported on without a panic, that each place is
// within the file, that no control character of a file is printed, that no API key is
// printed in full, and that a file does not differ from itself.
func FuzzInspect(f *testing.F) {
	in := readTestdata(f, "in-force.json")
	for _, name := range []string{"proposed.json", "routes.json", "limits.json", "warm-up.json", "workspaces.json"} {
		f.Add(in, readTestdata(f, name))
	}
	f.Add([]byte(`{"version":"a"}`), []byte(`{"routes":[null,{"timeout_ms":"x"}]}`))
	f.Add([]byte(`{"tenants":[{"name":"fuzz-key-123456","api_keys":["fuzz-key-123456"]}],"fuzz-key-123456":{"fuzz-key-123456":1}}`), []byte(`{"x":[[{"name":"\u001b["}]],"x":1}`))
	f.Add([]byte("{\"routes\":[{\"name\":\"\xff\"}]"), []byte(strings.Repeat("[", 100)))
	f.Fuzz(func(t *testing.T, inForce, proposed []byte) {
		a, okA := fuzzInput(t, inForce)
		b, okB := fuzzInput(t, proposed)
		if !okA || !okB {
			return
		}
		same, err := inspector.Compare(a, a)
		if err != nil || len(same) > 0 {
			t.Fatalf("%q differs from itself: %v, %v", inForce, same, err)
		}
		text, encoded := write(t, a, b)
		if strings.IndexFunc(text, isControl) >= 0 {
			t.Fatalf("control characters in %q", text)
		}
		for _, in := range []inspector.Input{a, b} {
			if holdsKey(t, in) && strings.Contains(text+encoded, fuzzKey) {
				t.Fatalf("the key is printed:\n%s%s", text, encoded)
			}
		}
		checkPlaces(t, proposed, inspector.Inspect(b))
	})
}

// fuzzInput decodes a file, and checks the finding about a file that cannot be decoded.
func fuzzInput(t *testing.T, raw []byte) (inspector.Input, bool) {
	t.Helper()
	in, err := platform.InspectorInput(raw)
	if err != nil {
		findings := inspector.Undecodable(raw, decode)
		if len(findings) == 0 {
			t.Fatalf("findings %+v", findings)
		}
		checkPlaces(t, raw, findings)
	}
	return in, err == nil
}

// holdsKey reports whether fuzzKey is a key of a configuration.
func holdsKey(t *testing.T, in inspector.Input) bool {
	t.Helper()
	var c struct {
		Tenants []struct {
			Keys []string `json:"api_keys"`
		} `json:"tenants"`
	}
	if err := json.Unmarshal(in.Decoded, &c); err != nil {
		t.Fatal(err)
	}
	for _, tenant := range c.Tenants {
		for _, key := range tenant.Keys {
			if key == fuzzKey {
				return true
			}
		}
	}
	return false
}

// checkPlaces checks that findings have a place in the file and print no control character.
func checkPlaces(t *testing.T, raw []byte, findings []inspector.Finding) {
	t.Helper()
	lines := bytes.Split(raw, []byte("\n"))
	for _, f := range findings {
		if f.Line < 1 || f.Line > len(lines) || f.Column < 1 || f.Column > len(lines[f.Line-1])+1 {
			t.Fatalf("%+v is not in the file %q", f, raw)
		}
	}
	var b bytes.Buffer
	if err := (inspector.Report{File: "f", Findings: findings}).WriteText(&b); err != nil {
		t.Fatal(err)
	}
	if i := strings.IndexFunc(b.String(), isControl); i >= 0 || strings.Count(b.String(), "\n") != len(findings)+1 {
		t.Fatalf("control characters in %q", b.String())
	}
}
