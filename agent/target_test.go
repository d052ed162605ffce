package agent

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/pkg/errors"

	"buckthorndrum/imitator"
)

// TestServiceLostAnswers checks how calls of a plain service end whose answers are lost:
// only a target that refuses repeats is called again, and a call that may have
// run is never said not to have.
func TestServiceLostAnswers(t *testing.T) {
	for name, tc := range map[string]struct {
		refuses bool
		key     string
		lose    int
		calls   int
		done    bool
	}{
		"answered":              {key: "k", calls: 1, done: true},
		"lost":                  {key: "k", lose: 1, calls: 1},
		"lost, refuses repeats": {refuses: true, key: "k", lose: 1, calls: 2, done: true},
		"lost without a key":    {refuses: true, lose: 1, calls: 1},
		"always lost":           {refuses: true, key: "k", lose: 9, calls: 3},
	} {
		t.Run(name, func(t *testing.T) {
			svc := imitator.NewService(imitator.ServiceConfig{RefusesRepeats: tc.refuses})
			calls := 0
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				calls++
				if calls > tc.lose {
					svc.Handler().ServeHTTP(w, r)
					return
				}
				svc.Handler().ServeHTTP(httptest.NewRecorder(), r) // It runs, and its answer is lost.
				if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
					_ = c.Close()
				}
			}))
			defer srv.Close()
			s := &serviceClient{srv.URL, newTargetClient(), tc.refuses}
			_, err := s.run(context.Background(), call{path: "/tickets", key: tc.key, body: []byte("{}")}, func(string) {})
			if calls != tc.calls || (err == nil) != tc.done {
				t.Errorf("%d calls, error %v", calls, err)
			}
			if errors.Is(err, errNotRun) {
				t.Errorf("a call that has run is said not to have: %v", err)
			}
			if n := svc.Runs()["k"]; tc.key != "" && n != 1 {
				t.Errorf("the key has run %d times", n)
			}
		})
	}
}

// TestUnreachableTargetIsNotRun checks that a target that was never reached is said not to have
// run.
func TestUnreachableTargetIsNotRun(t *testing.T) {
	srv := httptest.NewServer(http.NotFoundHandler())
	url := srv.URL
	srv.Close()
	c := call{request: "r", path: "/x", body: []byte("{}")}
	for name, client := range map[string]targetClient{"service": &serviceClient{baseURL: url, client: newTargetClient()}, "engine": &engineClient{url, newTargetClient()}} {
		if _, err := client.run(context.Background(), c, func(string) {}); !errors.Is(err, errNotRun) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// TestEngineStreamResumes checks that a broken stream is resumed without a gap or a
// doubled token, and that one with a gap is not passed on.
func TestEngineStreamResumes(t *testing.T) {
	for name, tc := range map[string]struct {
		streams []string
		want    string
		ok      bool
	}{
		"whole":   {[]string{"0a 1b 2c ."}, "abc", true},
		"resumed": {[]string{"0a 1b", "1b 2c ."}, "abc", true},
		"gap":     {[]string{"0a 2c .", "2c .", "2c .", "2c ."}, "a", false},
		"no mark": {[]string{"0a", "", "", ""}, "a", false},
	} {
		t.Run(name, func(t *testing.T) {
			n := 0
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				writeEvents(w, tc.streams[min(n, len(tc.streams)-1)])
				n++
			}))
			defer srv.Close()
			got := ""
			e := &engineClient{srv.URL, newTargetClient()}
			_, err := e.run(context.Background(), call{request: "r"}, func(s string) { got += s })
			if got != tc.want || (err == nil) != tc.ok {
				t.Errorf("answer %q, error %v", got, err)
			}
		})
	}
}

// writeEvents renders a shorthand: an index and a letter for each token, and a
// full stop for the mark.
func writeEvents(w io.Writer, text string) {
	for i := 0; i < len(text); i++ {
		switch {
		case text[i] == '.':
			_, _ = io.WriteString(w, "data: [DONE]\n\n")
		case text[i] != ' ':
			_, _ = io.WriteString(w, `data: {"index":`+text[i:i+1]+`,"text":"`+text[i+1:i+2]+`"}`+"\n\n")
			i++
		}
	}
}
