package explainer

import (
	"fmt"
	"strings"
	"time"
)

// What routers say of requests: the endings, and the reasons that tell causes apart.
const (
	endAnswered = "answered"
	endFailed   = "failed_by_target"
	endRefused  = "refused"
	endUnknown  = "unknown"
	endBroken   = "broken_off"
	endDenied   = "denied"
	endLeft     = "caller_left"

	refusedNoTarget   = "no target takes work"
	refusedBusy       = "targets are busy"
	refusedPausing    = "targets asked for a pause"
	refusedLimited    = "targets are at their limits"
	refusedEvacuated  = "data centres of all targets are evacuated"
	refusedWarmingUp  = "targets warm up"
	refusedDisallowed = "no target is in an allowed region"
	refusedBeyond     = "workspace is beyond its share"

	reasonShort  = "This router is short of processor time."
	reasonStale  = "The configuration may be out of date."
	reasonMemory = "There is no memory left for the body."
	reasonTime   = "The time limit has passed."
	reasonStops  = "This router stops."
	reasonNoTime = "This router stops and could not finish the request."
	// faultWrite begins the fault of an answer that could not be written to its caller.
	faultWrite = "write "
	// reasonBlocked and reasonTrial are followed by the part of the prompt.
	reasonBlocked = "Targets crash under a part of this prompt: "
	reasonTrial   = "A part of this prompt is suspected of crashing targets and being tried: "
)

// Causes returns for each end of the request at a router, the oldest first, one sentence
// that says why it ended so. A request may come more than once: callers repeat.
func (h *History) Causes() []string {
	var causes []string
	for i := range h.Lines {
		if l := &h.Lines[i]; l.Message == msgEnded {
			causes = append(causes, h.cause(l))
		}
	}
	if len(causes) == 0 {
		return []string{h.missing()}
	}
	return causes
}

// missing says why no router tells how the request ended.
func (h *History) missing() string {
	switch {
	case len(h.Lines) > 0:
		return "Its router wrote of it but not of its end: it was killed with the request in hand, or it still has it."
	case h.LeftOut > 0:
		return fmt.Sprintf("No router wrote of it. They left out %d lines, and it may be among these.", h.LeftOut)
	}
	return "No router wrote of it: it reached none, or its router was killed with it."
}

func (h *History) cause(l *Line) string {
	switch l.Ending {
	case endAnswered:
		return answered(l)
	case endFailed:
		return fmt.Sprintf("Target %s answered with a failure (%d), which was passed on%s.", last(l), l.Status, h.record(l))
	case endRefused:
		return h.refused(l)
	case endUnknown:
		return h.unknown(l)
	case endBroken:
		if strings.HasPrefix(l.Fault, faultWrite) {
			return fmt.Sprintf("Its caller did not take in the answer of target %s, because it read too slowly or had closed, so the answer was broken off%s.", last(l), inStep(l))
		}
		if l.Reason == reasonStops {
			return cutByStop(l)
		}
		return fmt.Sprintf("The answer of target %s broke off after it had begun%s, so the caller's was broken off too, not to look whole%s.", last(l), inStep(l), h.record(l))
	case endDenied:
		if strings.HasPrefix(l.Reason, reasonBlocked) {
			return fmt.Sprintf("Targets had crashed under part %s of its prompt, so that no request with it is sent (see 'part of prompts blocked').", partIn(l, reasonBlocked))
		}
		return "It was turned away for what it asked: " + sentence(l.Reason)
	case endLeft:
		return h.left(l)
	}
	return "Its end is of no kind that is known here: " + l.Ending + "."
}

func answered(l *Line) string {
	if l.Sends > 1 {
		return fmt.Sprintf("It was answered whole by target %s, the last of %d sendings.", last(l), l.Sends)
	}
	return fmt.Sprintf("It was answered whole by target %s.", last(l))
}

// refused says why a request was not run. Its router knows that it was not.
func (h *History) refused(l *Line) string {
	switch {
	case l.Reason == reasonStops:
		return fmt.Sprintf("Its router stopped and could wait no longer; none of its %d sendings had been taken by a target, so it was not run.", l.Sends)
	case l.Reason == reasonNoTime:
		return "Its router was stopping and had too little time left for it" + needed(l) + readWhen(l) + "; it was not run."
	case l.Reason == reasonShort:
		return "Its router was short of processor time" + h.short(l) + ", and left it to others; it was not run."
	case l.Reason == reasonStale:
		return fmt.Sprintf("Its router had no proof that its configuration was the newest (the last one %s old)%s; it was not run.", l.ProofAge, h.storeLost())
	case l.Reason == reasonMemory:
		return "Bodies and answers in hand had taken all the memory that its router has for them; it was not run."
	case strings.HasPrefix(l.Reason, reasonTrial):
		return fmt.Sprintf("Part %s of its prompt had been running where a target crashed, and another request with it was being tried; it was not run.", partIn(l, reasonTrial))
	case l.Refused != "":
		return h.notChosen(l)
	}
	return notTaken(l)
}

// notChosen says why no target was chosen for a request.
func (h *History) notChosen(l *Line) string {
	switch {
	case l.Refused == refusedBeyond:
		return fmt.Sprintf("Its workspace was held back for the sake of another that was given less than half of what it asked for (standing %.2f); it was not run.", l.Standing)
	case l.Refused == refusedBusy && l.Standing < 1:
		return fmt.Sprintf("Its workspace had had %.1f times its share, so that a first token was allowed %s only, and no target with room for it was expected to be that soon (soonest of all %s); it was not run.",
			1/l.Standing, l.Limit, l.Expected)
	case l.Refused == refusedBusy:
		return fmt.Sprintf("The soonest target was expected to need %s to a first token, %s were allowed; it was not run.", l.Expected, l.Limit)
	case l.Refused == refusedLimited:
		return "Targets that would have been chosen had reached the rate of requests that they take, and no other had room; it was not run."
	case l.Refused == refusedPausing:
		return fmt.Sprintf("All targets of its pool that do not leave had asked for a pause, the shortest of which had %s left; it was not run.", l.Expected)
	case l.Refused == refusedEvacuated:
		return "The operator had evacuated the data centres of all targets that could have served it" + h.evacuated() + "; it was not run."
	case l.Refused == refusedWarmingUp:
		return fmt.Sprintf("All targets that could have served it were warming up, and its router was to send none of them a request for another %s; it was not run.", l.Expected)
	case l.Refused == refusedDisallowed:
		return "No target of its pool was in a region that its route and its workspace allow (allowed_regions of the configuration, zones.NAME and region of the settings); it was not run."
	case l.Refused == refusedNoTarget:
		return "No target of its pool took work" + h.changed() + "; it was not run."
	}
	return notTaken(l)
}

// notTaken says why a request was not run for which no more particular cause is known.
func notTaken(l *Line) string {
	if l.Sends > 0 {
		return fmt.Sprintf("None of its %d sendings was taken by a target%s: %s It was not run.", l.Sends, inStep(l), sentence(l.Reason))
	}
	return "It was refused: " + sentence(l.Reason) + " It was not run."
}

// needed says by what a stopping router judged how long a request might take.
func needed(l *Line) string {
	if l.TimeNeeded > 0 && !l.Estimated {
		return fmt.Sprintf(", as its time limit was %s away", l.TimeNeeded)
	}
	return ", as others of its kind had taken longer"
}

// readWhen says when a request was read, counted from the start of its router's stop.
func readWhen(l *Line) string {
	if l.ReadSinceStop >= 0 {
		return fmt.Sprintf(" (it was read %s after the stop began)", l.ReadSinceStop)
	}
	return fmt.Sprintf(" (it was read %s before the stop began)", -l.ReadSinceStop)
}

// cutByStop says why a router that stopped broke an answer off.
func cutByStop(l *Line) string {
	cut := fmt.Sprintf("Its router stopped and could wait no longer, while target %s still answered, so the answer was broken off", last(l))
	switch {
	case l.TimeNeeded == 0:
		return cut + "; it had been sent before the stop" + readWhen(l) + "."
	case l.Estimated:
		return cut + fmt.Sprintf("; when it was sent %s were left, and judged by other answers it needed %s at most%s.", l.TimeLeft, l.TimeNeeded, readWhen(l))
	}
	return cut + fmt.Sprintf("; when it was sent %s were left, and it had %s until its time limit%s.", l.TimeLeft, l.TimeNeeded, readWhen(l))
}

// unknown says why nobody knows whether a request ran.
func (h *History) unknown(l *Line) string {
	if l.Reason == reasonStops {
		return fmt.Sprintf("Its router stopped and could wait no longer; target %s had it and had not answered whole, so it may have run%s.", last(l), h.record(l))
	}
	if l.Reason == reasonNoTime {
		return fmt.Sprintf("Target %s had it and gave no whole answer%s; it may have run, and its router was stopping and had too little time left to send it again%s.", last(l), inStep(l), h.record(l))
	}
	why := "gave no whole answer"
	if l.Reason == reasonTime {
		why = fmt.Sprintf("gave no whole answer before the time limit passed, after %s", l.Took)
	}
	return fmt.Sprintf("Target %s had it and %s%s; it may have run, so it was not sent again%s.", last(l), why, inStep(l), h.record(l))
}

func (h *History) left(l *Line) string {
	waited := fmt.Sprintf("after %s", l.Took)
	if l.Reason == reasonTime {
		waited = fmt.Sprintf("when its time limit had passed, after %s", l.Took)
	}
	switch {
	case l.Sends == 0:
		return fmt.Sprintf("Its caller left %s, before it was sent anywhere.", waited)
	case l.First > 0:
		return fmt.Sprintf("Its caller left %s, while target %s answered (first part after %s)%s.", waited, last(l), l.First, h.record(l))
	case l.MayHaveRun:
		return fmt.Sprintf("Its caller left %s; target %s had it and had not answered, so it may have run%s.", waited, last(l), h.record(l))
	}
	return fmt.Sprintf("Its caller left %s; none of its %d sendings had been taken by a target.", waited, l.Sends)
}

// partIn returns the part that a reason names after its prefix.
func partIn(l *Line, prefix string) string {
	return strings.TrimSuffix(strings.TrimPrefix(l.Reason, prefix), ".")
}

// last returns the target that had the request last.
func last(l *Line) string {
	if len(l.tried) == 0 {
		return "(none named)"
	}
	return string(l.tried[len(l.tried)-1])
}

// inStep tells the last error of a connection.
func inStep(l *Line) string {
	if l.Fault == "" {
		return ""
	}
	return " (" + l.Fault + ")"
}

// record tells how other requests ended at the last target at that time.
func (h *History) record(l *Line) string {
	if len(l.tried) == 0 {
		return ""
	}
	var parts []string
	for _, ending := range []string{endAnswered, endFailed, endUnknown, endBroken, endLeft, endRefused} {
		if n := h.Records[l.tried[len(l.tried)-1]][ending]; n > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", n, ending))
		}
	}
	if len(parts) == 0 {
		return ""
	}
	return ". Others at this target within " + around.String() + ": " + strings.Join(parts, ", ")
}

// short tells since when a router had been short of processor time, if its logs say so.
func (h *History) short(l *Line) string {
	since := ""
	for i := range h.Meanwhile {
		m := &h.Meanwhile[i]
		if m.Message != msgShort || m.Router != l.Router || m.At.After(l.At) {
			continue
		}
		since = ""
		if m.Strained {
			since = " since " + clock(m.At)
		}
	}
	return since
}

// storeLost tells whether the router had lost the store.
func (h *History) storeLost() string {
	for i := range h.Meanwhile {
		if l := &h.Meanwhile[i]; l.Message == "store lost" {
			return ", as it had lost the store at " + clock(l.At)
		}
	}
	return ""
}

// evacuated tells which evacuation began last, if the logs say so.
func (h *History) evacuated() string {
	for i := len(h.Meanwhile) - 1; i >= 0; i-- {
		if l := &h.Meanwhile[i]; l.Message == msgEvacuated {
			return fmt.Sprintf(" (%s at %s)", l.DataCentre, clock(l.At))
		}
	}
	return ""
}

// changed tells of the last change of targets.
func (h *History) changed() string {
	for i := len(h.Meanwhile) - 1; i >= 0; i-- {
		switch l := &h.Meanwhile[i]; l.Message {
		case msgTargets:
			return " (targets changed at " + clock(l.At) + ")"
		case msgLeaves:
			return fmt.Sprintf(" (target %s said at %s that it leaves)", l.Target, clock(l.At))
		}
	}
	return ""
}

func clock(at time.Time) string { return at.Format("15:04:05.000") }

// sentence ends a reason with one full stop.
func sentence(reason string) string {
	if reason == "" {
		return "no reason is given."
	}
	return strings.TrimSuffix(reason, ".") + "."
}
