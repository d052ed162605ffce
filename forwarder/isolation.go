package forwarder

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"buckthorndrum/clocker"
	"buckthorndrum/identifier"
	"buckthorndrum/isolator"
)

// verdict returns what is known against the request's prompt. The caller holds
// f.state.mu.
func (f *Forwarder) verdict(now identifier.Instant, c *call) isolator.Verdict {
	parts := c.sharedParts()
	if len(parts) == 0 {
		return isolator.Verdict{}
	}
	return f.state.isolator.Judge(now, c.workspace, parts)
}

// trialRetryAfter is when a request is to be repeated that waits for the trial of a
// suspected part.
const trialRetryAfter = 500 * time.Millisecond

// judgePrompt decides whether a request may be sent in view of its prompt. isolate is
// the suspected part if it may only be sent apart from others, and zero otherwise. The
// caller holds f.state.mu.
func (f *Forwarder) judgePrompt(now identifier.Instant, c *call) (isolate uint64, e *errorAnswer) {
	v := f.verdict(now, c)
	switch {
	case v.State == isolator.Blocked:
		return 0, &errorAnswer{status: http.StatusBadRequest, reason: "Targets crash under a part of this prompt: " + partName(v.Part) + "."}
	case v.State == isolator.Clear:
		return 0, nil
	case c.attempts > 0 || f.state.isolator.InTrial(v.Part) || v.State == isolator.Undecided && !v.Granted && c.electedFor != v.Part:
		return 0, &errorAnswer{status: http.StatusServiceUnavailable, reason: "A part of this prompt is suspected of crashing targets and being tried: " + partName(v.Part) + ".", retryAfter: trialRetryAfter}
	}
	return uint64(v.Part), nil
}

// crashedTargets returns the listed targets that are known to have crashed while a part was
// running there. The caller holds f.state.mu.
func (f *Forwarder) crashedTargets(p isolator.Part) []identifier.Target {
	var list []identifier.Target
	for id := range f.state.addresses {
		if f.state.isolator.HasCrashed(isolator.HashTarget(id), p) {
			list = append(list, id)
		}
	}
	return list
}

// suspects reports whether a part of the request's prompt is suspected or blocked.
func (f *Forwarder) suspects(c *call) bool {
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	return f.verdict(clocker.Now(), c).State != isolator.Clear
}

// receiveCrashes records what other routers know of crashes.
func (f *Forwarder) receiveCrashes(now identifier.Instant, r isolator.Report) {
	if r.Empty() {
		return
	}
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	f.state.isolator.Receive(now, r)
	f.logNewBlocks(now)
}

// logNewBlocks logs the parts that have been blocked. The caller holds f.state.mu.
func (f *Forwarder) logNewBlocks(now identifier.Instant) {
	for _, b := range f.state.isolator.NewBlocks(now) {
		f.log.Warn("part of prompts blocked", zap.String("part", partName(b.Part)), zap.Int("crashes", b.Crashes), zap.Int("workspaces", len(b.Workspaces)), zap.Bool("for_all", b.ForAll()))
	}
}

// AddStoredBlock adds the block of a part of prompts that is in the store.
func (f *Forwarder) AddStoredBlock(now identifier.Instant, b isolator.Block) {
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	f.state.isolator.AddStored(now, b)
}

// ForgetStoredBlocks records that the store has lost the blocks of all parts but those listed.
// These blocks stand and are stored again.
func (f *Forwarder) ForgetStoredBlocks(listed func(isolator.Part) bool) {
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	f.state.isolator.ForgetStored(listed)
}

// RemoveBlock lifts the block of a part of prompts.
func (f *Forwarder) RemoveBlock(now identifier.Instant, p isolator.Part) {
	f.log.Info("block lifted", zap.String("part", partName(p)))
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	f.state.isolator.RemoveBlock(now, p)
}

// WronglyStoredBlocks returns the parts whose blocks were lifted and are in the store.
func (f *Forwarder) WronglyStoredBlocks() []isolator.Part {
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	return f.state.isolator.WronglyStored()
}

// RetrialsDue returns the blocks in the store of which a router is to send one request more.
func (f *Forwarder) RetrialsDue(now identifier.Instant) []isolator.Block {
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	return f.state.isolator.RetrialsDue(now)
}

// SetRetried records that one request with a blocked part is sent, by this router if here is
// true.
func (f *Forwarder) SetRetried(p isolator.Part, here bool) {
	f.log.Info("blocked part is tried once more", zap.String("part", partName(p)), zap.Bool("here", here))
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	f.state.isolator.SetRetried(p, here)
}

// UnstoredBlocks returns the blocks that are not in the store as they are now.
func (f *Forwarder) UnstoredBlocks() []isolator.Block {
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	return f.state.isolator.Unstored()
}
