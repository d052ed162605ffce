package forwarder

import "strconv"

// position is a position in a stream of events, behind one of its events.
type position struct {
	// lastID is the ID of the last event, empty if the events have none.
	lastID string
	// lastNumber is the number of the last event, valid if hasNumber is set.
	lastNumber int64
	hasNumber  bool
}

// startPosition returns the position behind the event that the caller has received last,
// empty if it has none.
func startPosition(lastEventID string) position {
	n, err := strconv.ParseInt(lastEventID, 10, 64)
	if err != nil {
		return position{}
	}
	return position{lastNumber: n, hasNumber: true}
}

// accept moves the position behind an event. isNew is false if the event is not behind the
// position, and the error is errMissingEvent if an event before it is missing. The position
// stays as it is in both cases.
func (p *position) accept(event []byte) (isNew bool, err error) {
	id, ok := eventID(event)
	if !ok {
		return true, nil
	}
	n, parseErr := strconv.ParseInt(id, 10, 64)
	if parseErr == nil && p.hasNumber {
		if n <= p.lastNumber {
			return false, nil
		}
		if n > p.lastNumber+1 {
			return false, errMissingEvent
		}
	}
	p.lastID, p.lastNumber, p.hasNumber = id, n, parseErr == nil
	return true, nil
}
