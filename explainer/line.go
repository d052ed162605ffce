package explainer

import (
	"bytes"
	"encoding/json"
	"time"

	"buckthorndrum/identifier"
)

// Line is one line of a router's log, as far as it is used here. Its fields are those
// that docs/OPERATIONS.md lists.
type Line struct {
	// Router is the log's name: what stands before the line's object, or else the file.
	Router  string    `json:"-"`
	At      time.Time `json:"ts"`
	Message string    `json:"msg"`
	// Text is the line's object as it was written.
	Text string `json:"-"`

	Request    identifier.Request    `json:"request"`
	Ending     string                `json:"ending"`
	Status     int                   `json:"status"`
	Workspace  identifier.Workspace  `json:"workspace"`
	Kind       string                `json:"kind"`
	Took       duration              `json:"took"`
	First      duration              `json:"first"`
	ProofAge   duration              `json:"proof_age"`
	Sends      int                   `json:"sends"`
	Runs       int                   `json:"runs"`
	MayHaveRun bool                  `json:"may_have_run"`
	Target     identifier.Target     `json:"target"`
	Targets    json.RawMessage       `json:"targets"`
	DataCentre identifier.DataCentre `json:"data_centre"`
	Standing   float64               `json:"standing"`
	Limit      duration              `json:"limit"`
	Expected   duration              `json:"expected"`
	Refused    string                `json:"refused"`
	Reason     string                `json:"reason"`
	Fault      string                `json:"fault"`
	Revision   identifier.Revision   `json:"revision"`
	// ReadSinceStop is when it was read, counted from the start of its router's stop.
	ReadSinceStop duration `json:"read_since_stop"`
	// TimeLeft is for how long its router still waited for it, and TimeNeeded how long it
	// might take, both zero if it was sent before the stop. Estimated is set if TimeNeeded
	// was judged by other answers.
	TimeLeft   duration `json:"time_left"`
	TimeNeeded duration `json:"time_needed"`
	Estimated  bool     `json:"estimated"`
	Strained   bool     `json:"strained"`
	LinesLost  int      `json:"lines"`
	tried      []identifier.Target
}

// The messages that are looked at.
const (
	msgEnded     = "request ended"
	msgAgain     = "sending again"
	msgLeftOut   = "lines left out"
	msgShort     = "processor time is short"
	msgStopping  = "stopping"
	msgTargets   = "targets changed"
	msgLeaves    = "target leaves"
	msgEvacuated = "data centre evacuated"
)

// duration is written as Go writes it, as 1.5s.
type duration time.Duration

// String implements fmt.Stringer, to a tenth of a millisecond.
func (d duration) String() string { return time.Duration(d).Round(100 * time.Microsecond).String() }

// UnmarshalJSON implements json.Unmarshaler.
func (d *duration) UnmarshalJSON(raw []byte) error {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return err
	}
	v, err := time.ParseDuration(text)
	*d = duration(v)
	return err
}

// parse reads one line. What is no line of a log is left out.
func parse(raw []byte, file string) (Line, bool) {
	at := bytes.IndexByte(raw, '{')
	if at < 0 {
		return Line{}, false
	}
	l := Line{Router: file, Text: string(bytes.TrimSpace(raw[at:]))}
	if words := bytes.Fields(raw[:at]); len(words) > 0 {
		l.Router = string(words[len(words)-1])
	}
	if err := json.Unmarshal(raw[at:], &l); err != nil || l.At.IsZero() || l.Message == "" {
		return Line{}, false
	}
	if l.Message == msgEnded && len(l.Targets) > 0 {
		_ = json.Unmarshal(l.Targets, &l.tried)
	}
	return l, true
}

// arrived returns when the request of a line that ends it had come.
func (l *Line) arrived() time.Time { return l.At.Add(-time.Duration(l.Took)) }
