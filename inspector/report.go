package inspector

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/pkg/errors"
)

// Report is what a check of a configuration has found.
type Report struct {
	// File is the name of the checked file.
	File     string    `json:"file"`
	Findings []Finding `json:"findings"`
	// Against is the name of the file with the version in force, empty if none is given.
	Against string `json:"against,omitempty"`
	// Differences is empty if the checked file cannot be decoded.
	Differences []Difference `json:"differences"`
}

// WriteJSON writes the report as one JSON object.
func (r Report) WriteJSON(w io.Writer) error {
	if r.Findings == nil {
		r.Findings = []Finding{}
	}
	if r.Differences == nil {
		r.Differences = []Difference{}
	}
	enc := json.NewEncoder(w)
	enc.SetEscapeHTML(false)
	enc.SetIndent("", "  ")
	return errors.Wrap(enc.Encode(r), "encode report")
}

// WriteText writes the report as lines: each finding with its place and kind, each
// difference, and their numbers.
func (r Report) WriteText(w io.Writer) error {
	for _, f := range r.Findings {
		place := r.File
		if f.Line > 0 {
			place = fmt.Sprintf("%s:%d:%d", r.File, f.Line, f.Column)
		}
		path := f.Path
		if path != "" {
			path = " " + plainPath(path) + ":"
		}
		if _, err := fmt.Fprintf(w, "%s: %s:%s %s [%s]\n", place, f.Severity, path, f.Message, f.Kind); err != nil {
			return errors.Wrap(err, "write finding")
		}
	}
	for _, d := range r.Differences {
		if _, err := fmt.Fprintln(w, d); err != nil {
			return errors.Wrap(err, "write difference")
		}
	}
	text := fmt.Sprintf("%s: findings: %d", r.File, len(r.Findings))
	if r.Against != "" {
		text += fmt.Sprintf("; differences from %s: %d", r.Against, len(r.Differences))
	}
	_, err := fmt.Fprintln(w, text)
	return errors.Wrap(err, "write summary")
}
