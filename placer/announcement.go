package placer

import (
	"reflect"
	"time"

	"buckthorndrum/identifier"
)

// LastReport returns what the others were last told, or are to be told on a new link.
func (p *Placer) LastReport() Report { return p.lastSent }

// HeartbeatReport returns what the other agents are to be told at a heartbeat, nil if
// nothing has changed or they were told lately.
func (p *Placer) HeartbeatReport(now identifier.Instant) *Report {
	if now.Sub(p.lastSentAt) < minReportInterval+time.Duration(len(p.peers))*newsPerPeer || reflect.DeepEqual(p.lastSent, p.latest) {
		return nil
	}
	p.lastSent, p.lastSentAt = p.latest, now
	r := p.lastSent
	return &r
}

// immediateReport returns the report if everybody is to be told at once, since it
// changes what the target serves. Use and waiting work can wait for the next
// heartbeat.
func (p *Placer) immediateReport(now identifier.Instant, r Report) *Report {
	p.latest = r
	placementOnly := r
	placementOnly.Used, placementOnly.Waiting = p.lastSent.Used, p.lastSent.Waiting
	if reflect.DeepEqual(placementOnly, p.lastSent) {
		return nil
	}
	p.lastSent, p.lastSentAt = r, now
	return &r
}
