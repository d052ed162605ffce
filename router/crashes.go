package router

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"buckthorndrum/identifier"
	"buckthorndrum/isolator"
)

const (
	// reasonPrefixBlocked and reasonPrefixSuspected are the reasons of requests that are
	// refused because engines crash, or may crash, under their prompt prefix.
	reasonPrefixBlocked   = "prefix_blocked"
	reasonPrefixSuspected = "prefix_suspected"
	// trialRetryAfter is when a request is to be repeated that waits for the trial of a
	// suspected prefix.
	trialRetryAfter = 500 * time.Millisecond
)

// promptParts returns the part of the prompt that other prompts share, if any.
func (c *call) promptParts() []isolator.Part {
	if c.item.Prefix == 0 {
		return nil
	}
	return []isolator.Part{isolator.Part(c.item.Prefix)}
}

// receiveCrashes records what an agent knows of crashes. The caller holds the lock.
func (r *Router) receiveCrashes(report isolator.Report) {
	r.state.isolator.Receive(now(), report)
	for _, b := range r.state.isolator.NewBlocks(now()) {
		r.log.Warn("prompt prefix blocked", zap.Uint64("prefix", uint64(b.Part)), zap.Int("crashes", b.Crashes))
	}
}

// tickIsolator drops what is too old to count.
func (r *Router) tickIsolator() {
	r.state.mu.Lock()
	defer r.state.mu.Unlock()
	r.state.isolator.Tick(now())
}

// judgePrompt returns the refusal of a request under whose prompt prefix engines crash,
// or that waits for another one with a suspected prefix, and nil if it may run. The caller
// holds the lock.
func (r *Router) judgePrompt(c *call) *result {
	parts := c.promptParts()
	if parts == nil {
		return nil
	}
	refusal := &result{Outcome: identifier.NotRun, Step: stepAdmit, Peer: string(r.cfg.Name)}
	switch v := r.state.isolator.Judge(now(), c.item.Class.Workspace, parts); {
	case v.State == isolator.Blocked:
		refusal.Reason, refusal.Detail = reasonPrefixBlocked, fmt.Sprintf("engines crashed %d times under this prompt prefix", v.Crashes)
	case v.State != isolator.Clear && r.state.isolator.InTrial(v.Part):
		refusal.Reason, refusal.Detail = reasonPrefixSuspected, "an engine crashed under this prompt prefix, and another request with it is being tried"
		refusal.RetryAfter = trialRetryAfter
	default:
		c.run = r.state.isolator.StartRun(now(), 0, c.item.Class.Workspace, parts)
		return nil
	}
	return refusal
}

// endRun ends the trial that the request was, if it was one. The caller holds the lock.
func (r *Router) endRun(c *call) {
	if c.run != nil {
		r.state.isolator.EndRun(now(), c.run, isolator.Ended)
	}
}

// suspects reports whether engines may crash under the request's prompt prefix, so that it
// is not sent again. The caller holds the lock.
func (r *Router) suspects(c *call) bool {
	parts := c.promptParts()
	return parts != nil && r.state.isolator.Judge(now(), c.item.Class.Workspace, parts).State != isolator.Clear
}
