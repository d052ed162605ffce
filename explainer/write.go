package explainer

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"time"
)

// step is one line of the account.
type step struct {
	at     time.Time
	router string
	text   string
}

// Write writes the history, the oldest first, and then the causes. Times are those of
// each router's clock.
func (h *History) Write(w io.Writer) error {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "request %s\n", h.Request)
	for _, s := range h.steps() {
		_, _ = fmt.Fprintf(&b, "  %s  %s  %s\n", clock(s.at), s.router, s.text)
	}
	if len(h.Lines) > 0 && h.LeftOut > 0 {
		_, _ = fmt.Fprintf(&b, "  its routers left out %d lines meanwhile\n", h.LeftOut)
	}
	for _, c := range h.Causes() {
		_, _ = fmt.Fprintf(&b, "cause: %s\n", c)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// steps are the request's own steps and what else its routers told.
func (h *History) steps() []step {
	var steps []step
	for i := range h.Lines {
		steps = append(steps, stepsOf(&h.Lines[i])...)
	}
	for i := range h.Meanwhile {
		l := &h.Meanwhile[i]
		steps = append(steps, step{at: l.At, router: l.Router, text: "(meanwhile) " + l.Text})
	}
	sort.SliceStable(steps, func(i, j int) bool { return steps[i].at.Before(steps[j].at) })
	return steps
}

func stepsOf(l *Line) []step {
	switch l.Message {
	case msgEnded:
		return endSteps(l)
	case msgAgain:
		return []step{{l.At, l.Router, fmt.Sprintf("to be sent again after target %s: %s%s", l.Target, l.Reason, inStep(l))}}
	}
	return []step{{l.At, l.Router, l.Text}}
}

// endSteps are what the line that ends a request tells, each at its time.
func endSteps(l *Line) []step {
	steps := []step{{l.arrived(), l.Router, "came" + whose(l)}}
	if len(l.tried) > 0 || l.Refused != "" {
		steps = append(steps, step{l.At, l.Router, decision(l)})
	}
	if l.First > 0 {
		steps = append(steps, step{l.arrived().Add(time.Duration(l.First)), l.Router, "first part of the answer"})
	}
	text := fmt.Sprintf("ended: %s, status %d, %d sendings, may have run at %d targets", l.Ending, l.Status, l.Sends, l.Runs)
	if l.Reason != "" {
		text += "; the caller was told: " + l.Reason
	}
	return append(steps, step{l.At, l.Router, text})
}

func whose(l *Line) string {
	var parts []string
	if l.Workspace != "" {
		parts = append(parts, "workspace "+string(l.Workspace))
	}
	if l.Kind != "" {
		parts = append(parts, "kind "+l.Kind)
	}
	if l.Revision > 0 {
		parts = append(parts, fmt.Sprintf("configuration %d, known to be the newest %s before", l.Revision, time.Duration(l.ProofAge)))
	}
	if len(parts) == 0 {
		return ""
	}
	return ": " + strings.Join(parts, ", ")
}

// decision tells the last choice of a target, with what it was decided on.
func decision(l *Line) string {
	on := fmt.Sprintf("standing %.2f", l.Standing)
	if l.Expected > 0 {
		on += fmt.Sprintf(", first token expected after %s, allowed %s", l.Expected, l.Limit)
	}
	if l.Refused != "" {
		return "no target chosen: " + l.Refused + " (" + on + ")"
	}
	names := make([]string, len(l.tried))
	for i, t := range l.tried {
		names[i] = string(t)
	}
	return "was sent to " + strings.Join(names, ", then ") + " (" + on + ")"
}
