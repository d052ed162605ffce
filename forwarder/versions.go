package forwarder

import "buckthorndrum/identifier"

// softwarePin is the software to whose targets a request may go, if it is set.
type softwarePin struct {
	set      bool
	software identifier.Software
}

// pinTo pins the request to the software of target t, which begins the answer's stream. A
// stream goes on only at the software that began it.
func (c *call) pinTo(t *selectedTarget) {
	target, listed := t.sent.Target()
	if c.pin.set || !listed || !c.route.Resumable {
		return
	}
	c.pin = softwarePin{set: true, software: target.Software}
}

// keepsSoftware reports whether target t is listed with the software that the request is pinned
// to. The caller holds f.state.mu.
func (f *Forwarder) keepsSoftware(c *call, t *selectedTarget) bool {
	if !c.pin.set {
		return true
	}
	target, listed := f.state.admitter.ListedTarget(t.choice.Target)
	return listed && target.Software == c.pin.software
}

// targetChanged reports whether the first event of an attempt may come from another software
// than that of its target when the request was sent: the target is listed with another one, or
// for a stream that has begun with another incarnation. One that is no longer listed has not
// changed.
func (f *Forwarder) targetChanged(c *call, t *selectedTarget) bool {
	sent, listed := t.sent.Target()
	if t.firstByteSeen || !c.route.Resumable || !listed {
		return false
	}
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	now, listed := f.state.admitter.ListedTarget(sent.ID)
	if !listed {
		return false
	}
	return now.Software != sent.Software || c.streamStarted() && now.Incarnation != sent.Incarnation
}
