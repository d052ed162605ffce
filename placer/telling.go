package placer

import (
	"reflect"
	"time"

	"buckthorndrum/identifier"
)

// LastReport returns what the others were last told, or are to be told on a new link.
func (p *Placer) LastReport() Report { return p.told }

// HeartbeatReport returns what the other agents are to be told at a heartbeat, nil if
// nothing has changed or they were told lately.
func (p *Placer) HeartbeatReport(now identifier.Instant) *Report {
	if now.Sub(p.toldAt) < newsEvery+time.Duration(len(p.peers))*newsPerPeer || reflect.DeepEqual(p.told, p.latest) {
		return nil
	}
	p.told, p.toldAt = p.latest, now
	r := p.told
	return &r
}

// announce returns the report if everybody is to be told at once, since it
// changes what the target serves. Use and waiting work can wait for the next
// heartbeat.
func (p *Placer) announce(now identifier.Instant, r Report) *Report {
	p.latest = r
	same := r
	same.Used, same.Waiting = p.told.Used, p.told.Waiting
	if reflect.DeepEqual(same, p.told) {
		return nil
	}
	p.told, p.toldAt = r, now
	return &r
}
