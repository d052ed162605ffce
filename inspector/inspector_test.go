package inspector_test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"unicode"

	"buckthorndrum/inspector"
	"buckthorndrum/platform"
)

func readTestdata(t testing.TB, name string) []byte {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// input decodes a file of testdata with the decoder of the running system.
func input(t testing.TB, name string) inspector.Input {
	t.Helper()
	in, err := platform.InspectorInput(readTestdata(t, name))
	if err != nil {
		t.Fatal(err)
	}
	return in
}

// expect compares findings, without their messages, with the wanted lines.
func expect(t *testing.T, findings []inspector.Finding, want ...string) {
	t.Helper()
	var got []string
	for _, f := range findings {
		got = append(got, fmt.Sprintf("%d:%d %s %s %s", f.Line, f.Column, f.Severity, f.Kind, f.Path))
	}
	compareLines(t, got, want)
}

func compareLines(t *testing.T, got, want []string) {
	t.Helper()
	if g, w := strings.Join(got, "\n"), strings.Join(want, "\n"); g != w {
		t.Errorf("got:\n%s\nwant:\n%s", g, w)
	}
}

// TestRoutesThatGetNoRequests guards against routes that are accepted and never serve a
// request: shadowed, unmatchable or without a service. A longer prefix behind a shorter one
// must not be reported, as routers prefer the longest.
func TestRoutesThatGetNoRequests(t *testing.T) {
	expect(t, inspector.Inspect(input(t, "routes.json")),
		"6:5 error route-shadowed routes[2]",
		"7:5 error route-unmatchable routes[3].host",
		"8:60 error route-unmatchable routes[4].prefix",
		"9:5 error route-unserved routes[5]",
		"10:85 error service-unknown routes[6].service",
		"11:75 warning service-ignored routes[7].service",
		"13:35 warning weight-zero routes[7].traffic_split[1].weight",
		"14:19 error service-unknown routes[7].traffic_split[2].service",
		"15:35 error weight-negative routes[7].traffic_split[3].weight",
		"16:85 error route-unserved routes[8].traffic_split",
		"16:86 warning weight-zero routes[8].traffic_split[0].weight",
		"17:14 warning name-repeated routes[9].name",
	)
}

// TestContradictoryLimits guards against objectives beyond a timeout, attempts beyond the
// number of targets, sizes that no instance can hold, and negative values that take effect
// as no limit. A timeout of zero is no limit, so that no objective contradicts it.
func TestContradictoryLimits(t *testing.T) {
	in := input(t, "limits.json")
	in.BodyBytes, in.Targets = 16<<20, map[string]int{"s": 2}
	expect(t, inspector.Inspect(in),
		"1:1 error not-positive version",
		"3:82 warning timeout-too-short routes[0].timeout_ms",
		"3:127 warning timeout-too-short routes[0].gap_aim_ms",
		"3:144 warning attempts-too-many routes[0].attempts",
		"4:86 warning not-positive routes[1].timeout_ms",
		"4:111 warning not-positive routes[1].target_latency_ms",
		"4:129 warning not-positive routes[1].gap_aim_ms",
		"4:145 warning not-positive routes[1].attempts",
		"7:50 warning not-positive services[0].engine.slots",
		"7:68 warning not-positive services[0].engine.kv_capacity",
		"8:32 error body-too-large limits.max_body_bytes",
		"8:61 warning not-positive limits.idle_timeout_ms",
		"8:81 warning not-positive limits.tokens_per_s",
	)
}

// TestIncompleteWarmUp guards against a warm-up rate without a duration, or the reverse. The
// file is passed as decoded, so that the test does not depend on which of the optional
// fields the decoder has.
func TestIncompleteWarmUp(t *testing.T) {
	raw := readTestdata(t, "warm-up.json")
	expect(t, inspector.Inspect(inspector.Input{Raw: raw, Decoded: raw}),
		"4:41 warning warm-up-incomplete services[0].cold_per_s",
		"5:41 warning warm-up-incomplete services[1].cold_s",
		"7:36 warning not-positive services[3].cold_s",
		"7:55 warning not-positive services[3].cold_per_s",
		"7:111 warning not-positive services[3].engine.stride",
		"9:34 warning not-positive limits.max_header_bytes",
		"9:58 warning not-positive limits.header_timeout_ms",
	)
}

// TestFieldsThatRoutersDoNotReadAreNotChecked guards against findings about a field that is
// in the file, but missing from the decoder's result and thus zero there.
func TestFieldsThatRoutersDoNotReadAreNotChecked(t *testing.T) {
	in := inspector.Input{Raw: []byte(`{"version":1,"limits":{"max_header_bytes":16384}}`), Decoded: []byte(`{"version":1,"limits":{}}`)}
	expect(t, inspector.Inspect(in))
}

// TestIgnoredValuesAreReported guards against a malformed or out-of-range value that the
// decoder replaces without an error. Another notation of a number, another case of a name and
// a null are no replacement.
func TestIgnoredValuesAreReported(t *testing.T) {
	expect(t, inspector.Inspect(inspector.Input{
		Raw:     []byte(`{"version":1.0e0,"services":[{"Name":"s","cold_s":"20","cold_per_s":1e99}],"limits":{"tokens_per_s":null},"other":1}`),
		Decoded: []byte(`{"version":1,"services":[{"name":"s","cold_s":0,"cold_per_s":0}],"limits":{"tokens_per_s":0}}`),
	}),
		"1:51 warning value-ignored services[0].cold_s",
		"1:69 warning value-ignored services[0].cold_per_s",
	)
}

// TestNamesAndKeysInTwoPlaces guards against entries of which routers use only one: two
// services or workspaces of one name, a key of two workspaces, a field that stands twice.
func TestNamesAndKeysInTwoPlaces(t *testing.T) {
	expect(t, inspector.Inspect(input(t, "workspaces.json")),
		"3:40 error name-repeated services[1].name",
		"5:61 warning key-repeated tenants[0].api_keys[2]",
		"6:39 error key-shared tenants[1].api_keys[0]",
		"6:60 error key-shared tenants[1].api_keys[1]",
		"6:65 warning key-empty tenants[1].api_keys[2]",
		"7:14 error name-repeated tenants[2].name",
		"9:14 error name-repeated tenants[4].name",
		"11:3 error field-repeated Version",
	)
}

// TestValidConfigurationHasNoFindings guards against false alarms.
func TestValidConfigurationHasNoFindings(t *testing.T) {
	for _, name := range []string{"in-force.json", "proposed.json"} {
		in := input(t, name)
		in.BodyBytes = 16 << 20
		expect(t, inspector.Inspect(in))
	}
}

// TestUndecodableFiles guards against faults whose place in the file is missing or beside
// the byte or value that is at fault.
func TestUndecodableFiles(t *testing.T) {
	for raw, want := range map[string]string{
		"":                 "1:1 error not-json ",
		"{":                "1:2 error not-json ",
		"{\"version\":1 ":  "1:14 error not-json ",
		`{"a":1,}`:         "1:8 error not-json ",
		"\xff":             "1:1 error not-json ",
		"{\"a\":1}\n\n }":  "3:2 error not-json ",
		`{"a":1}}`:         "1:8 error not-json ",
		`{"version":"a"}`:  "1:12 error wrong-type version",
		`{"version":-1}`:   "1:12 error wrong-type version",
		`{"version":1e99}`: "1:12 error wrong-type version",
		`[1]`:              "1:1 error wrong-type ",
		"{\"routes\": [{},\n{\"name\":\"é\",\"timeout_ms\":\"x\"}]}": "2:26 error wrong-type routes[1].timeout_ms",
		`{"tenants":[{"api_keys":{"secret-0001":1}}]}`:               "1:25 error wrong-type tenants[0].api_keys",
		// The nesting exhausts the stack of a recursion that is not bounded.
		strings.Repeat("[", 3<<20): "1:10001 error not-json ",
	} {
		expect(t, inspector.Undecodable([]byte(raw), decode), want)
	}
}

// decode is the decoder of the running system.
func decode(raw []byte) error {
	_, err := platform.InspectorInput(raw)
	return err
}

// TestAllValuesOfWrongTypeAreReported guards against a report that ends with the first value
// of a wrong type, so that an operator needs one run for each.
func TestAllValuesOfWrongTypeAreReported(t *testing.T) {
	raw := []byte(`{"version":"1",
"routes":[{"timeout_ms":"15000","attempts":1.5},{"traffic_split":{}}],
"limits":[1]}`)
	expect(t, inspector.Undecodable(raw, decode),
		"1:12 error wrong-type version",
		"2:25 error wrong-type routes[0].timeout_ms",
		"2:44 error wrong-type routes[0].attempts",
		"2:66 error wrong-type routes[1].traffic_split",
		"3:10 error wrong-type limits",
	)
	many := []byte(`{"routes":[` + strings.Repeat("1,", 1000) + `1]}`)
	if n := len(inspector.Undecodable(many, decode)); n != 20 {
		t.Errorf("%d findings, want 20", n)
	}
}

// TestDifferences guards against differences that are missed or reported in other terms than
// those of the file. The order of lists and the notation of numbers are no difference, and
// fields that routers do not read are marked.
func TestDifferences(t *testing.T) {
	differences, err := inspector.Compare(input(t, "in-force.json"), input(t, "proposed.json"))
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, d := range differences {
		got = append(got, d.String())
	}
	compareLines(t, got, strings.Split(strings.TrimSpace(string(readTestdata(t, "differences.txt"))), "\n"))
}

// TestFieldsOfOtherPartsAreCompared guards against differences in fields that are added to
// the decoder later, for which this package has no rule.
func TestFieldsOfOtherPartsAreCompared(t *testing.T) {
	from := []byte(`{"routes":[{"name":"r","allowed_regions":["eu","us"]},{"name":"q"}],"services":[{"name":"s","engine":null}]}`)
	to := []byte(`{"routes":[{"name":"r","allowed_regions":["us","ap"]},{"name":"q","allowed_regions":["eu"]}],"services":[{"name":"s","engine":{"stride":4}}]}`)
	differences, err := inspector.Compare(inspector.Input{Raw: from, Decoded: from}, inspector.Input{Raw: to, Decoded: to})
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, d := range differences {
		got = append(got, d.String())
	}
	compareLines(t, got, []string{
		`route r: allowed_regions "ap" added`,
		`route r: allowed_regions "eu" removed`,
		`route q: allowed_regions "eu" added`,
		`service s: engine {"stride":4} added`,
	})
}

// TestDifferencesAreReportedOnce guards against a second report, among the fields that
// routers do not read, of a changed field that could identify the element of a list, or of
// an added element that has such fields too.
func TestDifferencesAreReportedOnce(t *testing.T) {
	var inputs []inspector.Input
	for _, route := range []string{
		`{"name":"r","service":"s"}`,
		`{"name":"r","service":"q","traffic_split":[{"service":"q","weight":1,"note":"new"}]}`,
	} {
		in, err := platform.InspectorInput([]byte(`{"routes":[` + route + `]}`))
		if err != nil {
			t.Fatal(err)
		}
		inputs = append(inputs, in)
	}
	differences, err := inspector.Compare(inputs[0], inputs[1])
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, d := range differences {
		got = append(got, d.String())
	}
	compareLines(t, got, []string{
		`route r: service "s" -> "q"`,
		`route r: traffic_split {"service":"q","weight":1} added`,
	})
}

// TestVersionMustRise guards against sending a configuration that routers ignore.
func TestVersionMustRise(t *testing.T) {
	older, newer := input(t, "in-force.json"), input(t, "proposed.json")
	expect(t, inspector.CompareVersions(older, newer))
	expect(t, inspector.CompareVersions(newer, newer), "2:14 error version-not-higher version")
	expect(t, inspector.CompareVersions(newer, older), "2:14 error version-not-higher version")
}

// TestNoKeyIsPrintedInFull guards against API keys in output that is stored or shared: keys
// that were added or removed, stand twice, or are the name of an entry, also in fields that
// routers do not read.
func TestNoKeyIsPrintedInFull(t *testing.T) {
	raw := []byte(`{"version":1,
"routes":[{"name":"secret-key-000001","host":"h","prefix":"/","service":"secret-key-000001","note":"old <secret-key-000002>"}],
"tenants":[{"name":"secret-\"key-03","api_keys":["secret-key-000001","secret-key-000002","secret-\"key-03","secret-key-000001","short"]},
{"name":"secret-\"key-03","api_keys":["short"],"backup_key":"not-known-0001","vault":{"password":"not-known-0002"}}],
"vault":[{"password":"not-known-0003"}]}`)
	in, err := platform.InspectorInput(raw)
	if err != nil {
		t.Fatal(err)
	}
	empty, err := platform.InspectorInput([]byte(`{"version":1}`))
	if err != nil {
		t.Fatal(err)
	}
	for _, pair := range [][2]inspector.Input{{empty, in}, {in, empty}} {
		text, encoded := write(t, pair[0], pair[1])
		output := text + encoded
		for _, key := range []string{"secret-key-000001", "secret-key-000002", `secret-"key-03`, `secret-\"key-03`, "short", "not-known-0001", "not-known-0002", "not-known-0003"} {
			if strings.Contains(output, key) {
				t.Errorf("key %s is printed:\n%s", key, output)
			}
		}
	}
}

// TestControlCharactersAreNotPrinted guards against names and values of a file that control
// the operator's terminal.
func TestControlCharactersAreNotPrinted(t *testing.T) {
	const name = `"\u001b[2J\u009b2J\u202e"`
	in, err := platform.InspectorInput([]byte(`{` + name + `:1,"routes":[{"name":` + name + `,"note":` + name + `,` + name + `:{` + name + `:[` + name + `]}}],` + name + `:` + name + `,"tenants":[{"api_keys":["\u001b[2J-key-00001","\u001b[2J-key-00001"]}]}`))
	if err != nil {
		t.Fatal(err)
	}
	empty, err := platform.InspectorInput([]byte(`{"routes":[{"name":` + name + `}]}`))
	if err != nil {
		t.Fatal(err)
	}
	text, _ := write(t, empty, in)
	if i := strings.IndexFunc(text, isControl); i >= 0 {
		t.Errorf("character %d of %q", i, text)
	}
}

// isControl reports whether a report as text must not contain a character.
func isControl(r rune) bool { return r != '\n' && !unicode.IsPrint(r) }

// write returns all reports about two configurations, as text and as JSON.
func write(t testing.TB, inForce, proposed inspector.Input) (text, encoded string) {
	t.Helper()
	differences, err := inspector.Compare(inForce, proposed)
	if err != nil {
		t.Fatal(err)
	}
	findings := append(inspector.Inspect(proposed), inspector.CompareVersions(inForce, proposed)...)
	report := inspector.Report{File: "new", Against: "old", Findings: findings, Differences: differences}
	var a, b bytes.Buffer
	if err := report.WriteText(&a); err != nil {
		t.Fatal(err)
	}
	if err := report.WriteJSON(&b); err != nil {
		t.Fatal(err)
	}
	return a.String(), b.String()
}
