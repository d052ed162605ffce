package placer

import (
	"reflect"
	"time"

	"buckthorndrum/identifier"
)

// LastReport returns the report last sent to the other agents, which is also the
// one to send on a new link.
func (p *Placer) LastReport() Report { return p.lastSent }

// HeartbeatReport returns the report to send to the other agents with a
// heartbeat and records it as sent. It returns nil if nothing has changed or the
// last report is too recent.
func (p *Placer) HeartbeatReport(now identifier.Instant) *Report {
	if now.Sub(p.lastSentAt) < minReportInterval+time.Duration(len(p.peers))*reportIntervalPerPeer || reflect.DeepEqual(p.lastSent, p.latest) {
		return nil
	}
	p.lastSent, p.lastSentAt = p.latest, now
	r := p.lastSent
	return &r
}

// immediateReport returns r if it must be sent at once because it changes what
// the target serves, or nil. Usage and waiting work can wait for the next
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
