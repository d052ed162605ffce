package forwarder

import "strconv"

// position is a position in a stream of events, behind one of its events.
type position struct {
	// lastID is the ID of the last event, empty if the events have none.
	lastID string
	// lastNumber is the number of the last event, valid if hasNumber is set.
	lastNumber int64
	hasNumber  bool
	// confirmed is set if another event or the caller confirms lastNumber, or if it is
	// the usual number of a first event.
	confirmed bool
	// hasUnnumbered is set if an event with content but without an ID came behind the
	// last event. Another target would send it again.
	hasUnnumbered bool
}

// maxFirstNumber is the highest usual number of the first event of a stream.
const maxFirstNumber = 1

// startPosition returns the position behind the event that the caller has received last,
// empty if it has none.
func startPosition(lastEventID string) position {
	n, err := strconv.ParseInt(lastEventID, 10, 64)
	if err != nil {
		return position{}
	}
	return position{lastNumber: n, hasNumber: true, confirmed: true}
}

// resumable reports whether a stream can go on behind the position at another target.
func (p position) resumable() bool { return p.lastID != "" && p.confirmed && !p.hasUnnumbered }

// follows reports whether an event with number n may come right behind the position.
func (p position) follows(n int64) bool { return !p.hasNumber || n == p.lastNumber+1 }

// eventOrder checks the order of the events of one attempt. They start at or before the
// position of the stream, and follow each other without a gap.
type eventOrder struct {
	// position is the position of the stream. It moves with new events only.
	position
	// attempt is the position of the attempt, behind its last event.
	attempt position
}

// accept moves the positions behind an event. isNew is false if the caller has the event.
// The error is errMissingEvent, and nothing moves, if the event does not follow the one
// before it.
func (o *eventOrder) accept(event []byte) (isNew bool, err error) {
	id, ok := eventID(event)
	if !ok && o.repeats() {
		return false, nil
	}
	if !ok {
		o.hasUnnumbered = o.hasUnnumbered || hasContent(event)
		return true, nil
	}
	n, parseErr := strconv.ParseInt(id, 10, 64)
	if parseErr != nil {
		return true, o.acceptUnordered(id)
	}
	tooHigh := o.hasNumber && n > o.lastNumber+1
	if !o.attempt.follows(n) || !o.attempt.hasNumber && tooHigh {
		return false, errMissingEvent
	}
	next := position{lastID: id, lastNumber: n, hasNumber: true, confirmed: o.hasNumber || n <= maxFirstNumber}
	o.attempt = next
	if o.hasNumber && n <= o.lastNumber {
		return false, nil
	}
	o.position = next
	return true, nil
}

// acceptUnordered moves the position behind an event whose ID is not a number. It may not
// be among events with numbers.
func (o *eventOrder) acceptUnordered(id string) error {
	if o.hasNumber {
		return errMissingEvent
	}
	o.position = position{lastID: id, confirmed: true}
	return nil
}

// repeats reports whether the events that come next are still some that the caller has.
func (o *eventOrder) repeats() bool {
	return o.attempt.hasNumber && o.attempt.lastNumber < o.lastNumber
}
