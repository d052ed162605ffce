package agent

import (
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"buckthorndrum/identifier"
	"buckthorndrum/isolator"
	"buckthorndrum/messenger"
)

// crashCheckDelay is the time between the failure of a call and the check whether the
// target refuses connections, as a process that ends closes its connections one by one.
const crashCheckDelay = 5 * time.Millisecond

// promptParts returns the part of a request's prompt that other prompts share, if any.
func promptParts(p identifier.Prefix) []isolator.Part {
	if p == 0 {
		return nil
	}
	return []isolator.Part{isolator.Part(p)}
}

// crashID returns the identifier of the next crash of the target. The caller holds the
// lock.
func (a *Agent) crashID() isolator.CrashID {
	id := a.self.String() + "|" + strconv.FormatUint(a.state.crashes, 10)
	return isolator.CrashID(xxhash.Sum64String(id))
}

// startRun records that a request is sent to the target. The caller holds the lock.
func (a *Agent) startRun(h messenger.Handover) *targetRun {
	run := &targetRun{crashes: a.state.crashes}
	if parts := promptParts(h.Prefix); parts != nil {
		run.Run = a.state.isolator.StartRun(now(), a.crashID(), h.Class.Workspace, parts)
	}
	return run
}

// targetRun is one run of a request at the target.
type targetRun struct {
	// Run is nil if the prompt shares nothing.
	*isolator.Run
	// crashes is how often the target had crashed when the run began.
	crashes uint64
}

// endRun records how a run ended and, if that was with an error, whether the target has
// crashed.
func (a *Agent) endRun(ctx context.Context, run *targetRun, err error) {
	outcome := isolator.Answered
	if err != nil {
		outcome = isolator.Ended
	}
	crashed := err != nil && ctx.Err() == nil && a.hasCrashed(run)
	a.state.mu.Lock()
	defer a.state.mu.Unlock()
	if crashed && run.crashes == a.state.crashes {
		a.recordCrash()
	}
	if run.Run != nil {
		a.state.isolator.EndRun(now(), run.Run, outcome)
	}
}

// hasCrashed reports whether the target has ended, and not because it was leaving, since
// a run began.
func (a *Agent) hasCrashed(run *targetRun) bool {
	time.Sleep(crashCheckDelay)
	a.state.mu.Lock()
	known, leaving := run.crashes != a.state.crashes, a.state.leaving()
	a.state.mu.Unlock()
	return !known && !leaving && a.connectionRefused()
}

// recordCrash records a crash of the target and tells it to all routers and peers. The
// caller holds the lock.
func (a *Agent) recordCrash() {
	runs, suspects := a.state.isolator.RecordCrash(now(), a.crashID())
	a.state.crashes++
	a.log.Warn("target crashed", zap.Int("running", runs), zap.Int("suspects", len(suspects)))
	a.broadcastCrashes()
}

// broadcastCrashes sends what is known of crashes to all routers and peers, if that is
// due. The caller holds the lock.
func (a *Agent) broadcastCrashes() {
	report := a.state.isolator.Report(now())
	if report.Empty() {
		return
	}
	for _, l := range a.state.routers {
		a.send(l, messenger.Frame{Crashes: &report})
	}
	for _, p := range a.state.peers {
		a.send(p.link, messenger.Frame{Crashes: &report})
	}
}
