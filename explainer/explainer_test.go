package explainer

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"buckthorndrum/identifier"
)

var logs = []string{"testdata/router_1.log", "testdata/router_2.log"}

func causes(t *testing.T, id identifier.Request) string {
	t.Helper()
	h, err := Read(id, logs)
	if err != nil {
		t.Fatal(err)
	}
	return strings.Join(h.Causes(), "\n")
}

// Each way in which a request ends has its cause in one sentence.
func TestCauses(t *testing.T) {
	for id, want := range map[identifier.Request]string{
		"plain":     "It was answered whole by target t1.",
		"busy":      "The soonest target was expected to need 610ms to a first token, 480ms were allowed; it was not run.",
		"share":     "Its workspace had had 2.0 times its share, so that a first token was allowed 240ms only, and no target with room for it was expected to be that soon (soonest of all 82ms); it was not run.",
		"held":      "Its workspace was held back for the sake of another that was given less than half of what it asked for (standing 0.80); it was not run.",
		"stale":     "Its router had no proof that its configuration was the newest (the last one 3.2s old), as it had lost the store at 10:00:05.000; it was not run.",
		"ticket":    "Target t2 had it and gave no whole answer (read answer at 10.0.0.9:80: EOF); it may have run, so it was not sent again. Others at this target within 2s: 1 answered, 1 unknown.",
		"twice":     "The answer of target t3 broke off after it had begun (read answer at 10.0.0.3:80: connection reset by peer), so the caller's was broken off too, not to look whole.",
		"gone":      "Its caller left when its time limit had passed, after 600ms; target t2 had it and had not answered, so it may have run.",
		"late":      "Target t2 had it and gave no whole answer before the time limit passed, after 600ms; it may have run, so it was not sent again.",
		"stops":     "Its router stopped and could wait no longer; target t2 had it and had not answered whole, so it may have run.",
		"unsent":    "Its router stopped and could wait no longer; none of its 0 sendings had been taken by a target, so it was not run.",
		"cut":       "Its router stopped and could wait no longer, while target t4 still answered, so the answer was broken off; when it was sent 4.4s were left, and judged by other answers it needed 3.9s at most (it was read 3.1s after the stop began).",
		"cutlong":   "Its router stopped and could wait no longer, while target t4 still answered, so the answer was broken off; it had been sent before the stop (it was read 200ms before the stop began).",
		"nofit":     "Its router was stopping and had too little time left for it, as others of its kind had taken longer (it was read 4.5s after the stop began); it was not run.",
		"slow":      "Its caller did not take in the answer of target t4, because it read too slowly or had closed, so the answer was broken off (write events to the caller: write tcp4 127.0.0.1:1->127.0.0.1:2: use of closed network connection).",
		"latelim":   "Its router was stopping and had too little time left for it, as its time limit was 12s away (it was read 3.1s after the stop began); it was not run.",
		"nomore":    "Target t2 had it and gave no whole answer (EOF); it may have run, and its router was stopping and had too little time left to send it again.",
		"denied":    "It was turned away for what it asked: The key is not valid.",
		"blocked":   "Targets had crashed under part 12ca9047f126 of its prompt, so that no request with it is sent (see 'part of prompts blocked').",
		"trial":     "Part 12ca9047f126 of its prompt had been running where a target crashed, and another request with it was being tried; it was not run.",
		"limited":   "Targets that would have been chosen had reached the rate of requests that they take, and no other had room; it was not run.",
		"pausing":   "All targets of its pool that do not leave had asked for a pause, the shortest of which had 3.2s left; it was not run.",
		"evacuated": "The operator had evacuated the data centres of all targets that could have served it (a at 10:02:29.000); it was not run.",
		"warming":   "All targets that could have served it were warming up, and its router was to send none of them a request for another 412ms; it was not run.",
		"region":    "No target of its pool was in a region that its route and its workspace allow (allowed_regions of the configuration, zones.NAME and region of the settings); it was not run.",
		"left":      "No target of its pool took work (target t2 said at 10:03:00.000 that it leaves); it was not run.",
		"killed":    "Its router wrote of it but not of its end: it was killed with the request in hand, or it still has it.",
		"none":      "No router wrote of it. They left out 40 lines, and it may be among these.",
	} {
		t.Run(string(id), func(t *testing.T) {
			NewWithT(t).Expect(causes(t, id)).To(Equal(want))
		})
	}
}

// A request that came to two routers has two ends, in order of time.
func TestARequestThatCameTwice(t *testing.T) {
	g := NewWithT(t)
	g.Expect(causes(t, "short")).To(Equal("Its router was short of processor time since 10:00:03.000, and left it to others; it was not run.\n" +
		"It was answered whole by target t1."))
}

// The account is as docs/OPERATIONS.md shows it.
func TestWrite(t *testing.T) {
	g := NewWithT(t)
	h, err := Read("twice", logs)
	g.Expect(err).NotTo(HaveOccurred())
	var out bytes.Buffer
	g.Expect(h.Write(&out)).To(Succeed())
	want, err := os.ReadFile("testdata/twice.txt")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(out.String()).To(Equal(string(want)))
}

// Lines that are no lines of a log, too long, or cut off by the end of the file do no
// harm to the others.
func TestBrokenLogs(t *testing.T) {
	g := NewWithT(t)
	whole, err := os.ReadFile(logs[0])
	g.Expect(err).NotTo(HaveOccurred())
	file := filepath.Join(t.TempDir(), "router.log")
	text := strings.Repeat("x", 3*longestLine) + "\n{]\n" + string(whole) + `{"ts":"2026-03-01T10:00:15Z","msg":"request en`
	g.Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
	h, err := Read("plain", []string{file})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(h.Causes()).To(Equal([]string{"It was answered whole by target t1."}))
	_, err = Read("plain", []string{file + ".none"})
	g.Expect(err).To(MatchError(ContainSubstring("router.log.none")))
}

func FuzzParse(f *testing.F) {
	raw, err := os.ReadFile(logs[0])
	if err != nil {
		f.Fatal(err)
	}
	for _, line := range bytes.Split(raw, []byte("\n")) {
		f.Add(line)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		l, ok := parse(raw, "file")
		if !ok {
			return
		}
		h := &History{Request: l.Request, Lines: []Line{l}}
		if len(h.Causes()) != 1 {
			t.Fatalf("%d causes for one line", len(h.Causes()))
		}
		if err := h.Write(&bytes.Buffer{}); err != nil {
			t.Fatal(err)
		}
	})
}
