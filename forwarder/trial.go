package forwarder

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"buckthorndrum/clocker"
	"buckthorndrum/isolator"
)

// holdCheckInterval is how often a request that is held looks whether it may be sent.
const holdCheckInterval = 50 * time.Millisecond

// awaitTrial holds a request with an undecided part until this router is elected to try the
// part, the part is decided, or isolator.MaxHold has passed. Of all routers one sends such a
// request at a time: if targets do crash under the part, each of them costs one more. The
// caller must call release once the request was sent or refused.
func (f *Forwarder) awaitTrial(ctx context.Context, c *call) (release func()) {
	p, held := f.holdForTrial(c)
	if !held {
		return func() {}
	}
	ctx, cancel := context.WithTimeout(ctx, isolator.MaxHold)
	defer cancel()
	for !f.isTrialSettled(c, p) {
		select {
		case <-time.After(holdCheckInterval):
			continue
		case <-ctx.Done():
		}
		break
	}
	if c.electedFor == p {
		f.log.Info("undecided part is tried", zap.String("request", c.loggedID()), zap.String("part", partName(p)), zap.Duration("held", clocker.Now().Sub(c.startedAt)))
	}
	return sync.OnceFunc(func() {
		f.state.mu.Lock()
		defer f.state.mu.Unlock()
		f.state.isolator.Release(p)
	})
}

// holdForTrial begins to hold a request if it has an undecided part and no other request with
// the part is held.
func (f *Forwarder) holdForTrial(c *call) (p isolator.Part, held bool) {
	now := clocker.Now()
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	v := f.verdict(now, c)
	if v.State != isolator.Undecided || v.Granted {
		return 0, false
	}
	return v.Part, f.state.isolator.Hold(now, v.Part)
}

// isTrialSettled reports whether a request that is held for a part need not wait any longer.
func (f *Forwarder) isTrialSettled(c *call, p isolator.Part) bool {
	now := clocker.Now()
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	if v := f.verdict(now, c); v.State != isolator.Undecided || v.Part != p {
		return true
	}
	if f.state.isolator.IsElected(now, p) {
		c.electedFor = p
	}
	return c.electedFor == p
}
