package forwarder

import (
	"context"
	"strconv"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"buckthorndrum/admitter"
	"buckthorndrum/clocker"
	"buckthorndrum/exchanger"
	"buckthorndrum/identifier"
	"buckthorndrum/isolator"
	"buckthorndrum/permitter"
	"buckthorndrum/reporter"
)

const (
	// crashCheckDelay is the time between a break and the check whether the target
	// refuses connections, as a process that ends closes its connections one by one.
	crashCheckDelay = 5 * time.Millisecond
	// maxCrashWait bounds how long a request waits to learn whether its target has crashed.
	maxCrashWait = 100 * time.Millisecond
	// crashMemory is how long a crash is remembered for one incarnation.
	crashMemory = 30 * time.Second
	// maxLoggedParts bounds the suspects in one log entry.
	maxLoggedParts = 16
)

// crashCheck is a check whether a target that broke off an answer has ended.
type crashCheck struct {
	startedAt identifier.Instant
	// leaving is set if the target was leaving, so that its end is no crash.
	leaving bool
	// done is closed when the check has finished. ended is valid then.
	done  chan struct{}
	ended bool
}

// covers reports whether the check tells of an answer that ends now: the target has
// ended, or is looked at later than now.
func (k *crashCheck) covers(now identifier.Instant) bool {
	select {
	case <-k.done:
		return k.ended
	default:
		return now.Sub(k.startedAt) < crashCheckDelay/2
	}
}

// sharedParts returns the parts of the request's prompt that other prompts may share,
// which are all but the last.
func (c *call) sharedParts() []isolator.Part {
	n := len(c.info.PromptPrefix) - 1
	if n <= 0 {
		return nil
	}
	parts := make([]isolator.Part, n)
	for i := range parts {
		parts[i] = isolator.Part(c.info.PromptPrefix[i].ID)
	}
	return parts
}

// crashID returns the identifier of a crash of the incarnation of a target.
func crashID(t admitter.Target) isolator.CrashID {
	incarnation := xxhash.Sum64String(t.Address + "|" + strconv.FormatInt(t.Incarnation, 10))
	return isolator.NewCrashID(isolator.HashTarget(t.ID), uint32(incarnation))
}

// startRun records that the request is about to be sent to target t. The caller holds
// f.state.mu.
func (f *Forwarder) startRun(now identifier.Instant, c *call, t *selectedTarget) {
	target, listed := t.sent.Target()
	if parts := c.sharedParts(); listed && len(parts) > 0 {
		t.run = f.state.isolator.StartRun(now, crashID(target), c.workspace, parts)
	}
}

// endRun records how the run at target t ended. The caller holds f.state.mu.
func (f *Forwarder) endRun(now identifier.Instant, t *selectedTarget) {
	if t.run != nil {
		f.state.isolator.EndRun(now, t.run, t.outcome)
	}
}

// recordProgress records that target t goes on with the events of its answer.
func (f *Forwarder) recordProgress(t *selectedTarget) {
	if t.run == nil {
		return
	}
	now := clocker.Coarse()
	interval := isolator.ProgressInterval
	if !t.progressed {
		interval = isolator.FirstProgress
	}
	if t.progressAt == 0 {
		t.progressAt = now
	}
	if now.Sub(t.progressAt) < interval {
		return
	}
	t.progressAt, t.progressed = now, true
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	f.state.isolator.RecordProgress(now, t.run)
}

// noteBreak records that target t broke off, before or in its answer, and finds out
// whether it has crashed. It returns once that is known, or after maxCrashWait. A
// connection that timed out shows nothing of its target, which may be out of reach.
func (f *Forwarder) noteBreak(t *selectedTarget, cause error) {
	target, listed := t.sent.Target()
	if t.run == nil || !listed || errors.Is(cause, syscall.ETIMEDOUT) {
		return
	}
	t.outcome = isolator.Broken
	if f.isLeaving(t) {
		return
	}
	k := f.crashCheckOf(target, false)
	select {
	case <-k.done:
	case <-time.After(maxCrashWait):
	}
}

// endedWithTarget reports whether an answer that was read to the end of its connection
// may lack a part, because its target has ended. That is so for a target that leaves, too:
// it may end before its answers are whole.
func (f *Forwarder) endedWithTarget(t *selectedTarget, a *exchanger.Answer) bool {
	target, listed := t.sent.Target()
	if !a.EndsWithConnection() || !listed {
		return false
	}
	k := f.crashCheckOf(target, f.isLeaving(t))
	<-k.done
	return k.ended
}

// isLeaving reports whether a target is leaving, so that its end is no crash.
func (f *Forwarder) isLeaving(t *selectedTarget) bool {
	now := clocker.Now()
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	reason := f.state.admitter.RecheckAdmission(now, t.sent).Reason
	return reason == permitter.ReportedLeaving || reason == permitter.ListedLeaving
}

// crashCheckOf returns the check of a target whose answer ends now, and starts one if
// there is none that covers it.
func (f *Forwarder) crashCheckOf(target admitter.Target, leaving bool) *crashCheck {
	now := clocker.Now()
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	id := crashID(target)
	if k := f.state.crashChecks[id]; k != nil && k.leaving == leaving && k.covers(now) {
		return k
	}
	k := &crashCheck{startedAt: now, leaving: leaving, done: make(chan struct{})}
	f.state.crashChecks[id] = k
	go reporter.Guard(f.log, "check for a crash", func() { f.checkCrash(k, id, target) })
	return k
}

// checkCrash finds out whether a target that broke off an answer has ended, and records a
// crash if it was not leaving.
func (f *Forwarder) checkCrash(k *crashCheck, id isolator.CrashID, t admitter.Target) {
	defer close(k.done)
	time.Sleep(crashCheckDelay)
	ctx, cancel := context.WithTimeout(f.ctx, dialTimeout)
	defer cancel()
	err := f.conns.Probe(ctx, t.Address)
	if k.ended = errors.Is(err, exchanger.ErrRefused); !k.ended {
		f.log.Info("target broke off and has not crashed", zap.String("target", string(t.ID)), reporter.Error(err))
		return
	}
	f.state.mu.Lock()
	f.state.admitter.RecordRefused(clocker.Coarse(), t)
	f.state.mu.Unlock()
	if k.leaving {
		f.log.Info("leaving target has ended", zap.String("target", string(t.ID)))
		return
	}
	now := clocker.Now()
	f.state.mu.Lock()
	runs, suspects := f.state.isolator.RecordCrash(now, id)
	f.logNewBlocks(now)
	f.state.mu.Unlock()
	f.metrics.crashes.Inc()
	f.log.Warn("target crashed", zap.String("target", string(t.ID)), zap.Int("running", runs), zap.Int("suspects", len(suspects)), zap.Strings("parts", partNames(suspects)))
}

// partNames returns the names of at most maxLoggedParts suspects, in hexadecimal.
func partNames(suspects []isolator.Suspect) []string {
	names := make([]string, 0, min(len(suspects), maxLoggedParts))
	for _, s := range suspects[:cap(names)] {
		names = append(names, partName(s.Part))
	}
	return names
}

// partName returns the name of a part in hexadecimal.
func partName(p isolator.Part) string { return strconv.FormatUint(uint64(p), 16) }

// tickIsolator drops what is too old to count. The caller holds f.state.mu.
func (f *Forwarder) tickIsolator(now identifier.Instant) {
	f.state.isolator.Tick(now)
	f.logNewBlocks(now)
	for id, k := range f.state.crashChecks {
		if now.Sub(k.startedAt) > crashMemory {
			delete(f.state.crashChecks, id)
		}
	}
}
