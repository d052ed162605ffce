package router

import (
	"context"
	"net/http"
	"net/url"
	"sort"
	"strings"
	"time"

	"github.com/kataras/iris/v12"
	"github.com/pkg/errors"

	"buckthorndrum/identifier"
	"buckthorndrum/messenger"
)

// findAnswer passes on the answer of request c from the linked agent that holds it. It
// asks the agents one after the other, that of target hint first.
func (r *Router) findAnswer(ctx context.Context, c *call, hint identifier.Target, out sink) result {
	c.mayHaveRun = true
	for _, agent := range r.linkedAgents(hint) {
		c.agent = agent
		end, err := r.fetchIfReachable(ctx, c, out)
		if errors.Is(err, errNoAnswer) {
			continue
		}
		if err != nil {
			end, err = r.resumeAnswer(ctx, c, err, out)
		}
		e, _ := r.concludeAttempt(c, end, err)
		return *e
	}
	return result{Outcome: identifier.Unknown, Step: stepFetch, Peer: string(r.cfg.Name), Detail: "no linked agent holds an answer of this request for this workspace", Reason: "answer_gone"}
}

// fetchIfReachable fetches the answer from one agent. An agent to which no connection can
// be opened counts as not holding it.
func (r *Router) fetchIfReachable(ctx context.Context, c *call, out sink) (end messenger.End, err error) {
	end, err = r.fetchAnswer(ctx, c, out)
	if err != nil && neverSent(err) {
		return end, errNoAnswer
	}
	return end, err
}

// linkedAgents returns the linked agents, that of target hint first, the others by name.
func (r *Router) linkedAgents(hint identifier.Target) []agentRef {
	r.state.mu.Lock()
	defer r.state.mu.Unlock()
	var found []agentRef
	for _, a := range r.state.agents {
		if a.link != nil {
			found = append(found, agentRef{a.origin, a.address})
		}
	}
	sort.Slice(found, func(i, j int) bool {
		if hi, hj := found[i].origin.Target == hint, found[j].origin.Target == hint; hi != hj {
			return hi
		}
		return found[i].origin.Target < found[j].origin.Target
	})
	return found
}

// cancelTimeout bounds a call that cancels a request at one agent or router.
const cancelTimeout = 2 * time.Second

// ownerOf returns the router that assigned a request id. The id is that router's name,
// its incarnation and a number.
func ownerOf(id identifier.Request) identifier.Router {
	s := string(id)
	for range 2 {
		i := strings.LastIndex(s, "-")
		if i < 0 {
			return ""
		}
		s = s[:i]
	}
	return identifier.Router(s)
}

// cancelAtOwner passes a cancellation on to the router at which the request waits, with
// the caller's own token.
func (r *Router) cancelAtOwner(ctx iris.Context, id identifier.Request) bool {
	owner := ownerOf(id)
	r.state.mu.Lock()
	address, listed := r.state.members.addresses[owner]
	r.state.mu.Unlock()
	if !listed || owner == r.cfg.Name {
		return false
	}
	return r.cancelAtRouter(ctx.Request().Context(), address, id, ctx.GetHeader("Authorization"))
}

// cancelAtRouter cancels a request at one router with the authorization of its caller, and
// reports whether the router had it.
func (r *Router) cancelAtRouter(ctx context.Context, address string, id identifier.Request, authorization string) bool {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+address+"/v1/requests/"+url.PathEscape(string(id)), nil)
	if err != nil {
		return false
	}
	req.Header.Set("Authorization", authorization)
	resp, err := r.peerClient.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusNoContent
}

// cancelAtAgents cancels a request at the linked agent that has it.
func (r *Router) cancelAtAgents(ctx context.Context, w identifier.Workspace, id identifier.Request) bool {
	for _, agent := range r.linkedAgents("") {
		if r.cancelAtAgent(ctx, agent, w, id) {
			return true
		}
	}
	return false
}

// cancelAtAgent cancels a request at one agent, and reports whether the agent had it.
func (r *Router) cancelAtAgent(ctx context.Context, agent agentRef, w identifier.Workspace, id identifier.Request) bool {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	req, err := r.newAgentRequest(ctx, http.MethodDelete, agent.address, "/answers/"+string(id), nil)
	if err != nil {
		return false
	}
	req.Header.Set(messenger.WorkspaceHeader, string(w))
	resp, err := r.client.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusNoContent
}
