package forwarder

import (
	"time"

	"go.uber.org/zap"

	"buckthorndrum/acceptor"
	"buckthorndrum/identifier"
)

// rejectionLogInterval is the shortest time between two log lines of rejections.
const rejectionLogInterval = 10 * time.Second

// rejectionLog is what the last log line of rejections told. Only the sweep uses it.
type rejectionLog struct {
	at     identifier.Instant
	counts map[acceptor.Rejection]int64
}

// logRejections writes a log line with how many requests were rejected, and connections
// closed, before a request was accepted, by reason, since the last such line. The line has no
// text of callers. There is at most one in rejectionLogInterval.
func (f *Forwarder) logRejections(now identifier.Instant) {
	if now.Sub(f.rejections.at) < rejectionLogInterval {
		return
	}
	var fields []zap.Field
	for _, r := range acceptor.Rejections() {
		total := f.cfg.Heads.Rejected(r)
		if since := total - f.rejections.counts[r]; since > 0 {
			fields = append(fields, zap.Int64(r.String(), since))
		}
		f.rejections.counts[r] = total
	}
	if len(fields) == 0 {
		return
	}
	f.rejections.at = now
	f.log.Warn("requests rejected before they were accepted", fields...)
}
