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

// find streams the answer of request c from the agent that holds it.
func (r *Router) find(ctx context.Context, c *call, hint identifier.Target, out sink) ending {
	c.mayHaveRun = true
	for _, at := range r.holders(hint) {
		c.at = at
		end, err := r.fetchFrom(ctx, c, out)
		if errors.Is(err, errNoAnswer) {
			continue
		}
		if err != nil {
			end, err = r.resume(ctx, c, err, out)
		}
		e, _ := r.concluded(c, end, err)
		return *e
	}
	return ending{Outcome: identifier.Unknown, Step: stepFetch, Peer: string(r.cfg.Name), Detail: "no linked agent holds an answer of this request for this workspace", Reason: "answer_gone"}
}

// fetchFrom follows the answer at one agent. An agent that is not reached counts
// as not holding it.
func (r *Router) fetchFrom(ctx context.Context, c *call, out sink) (end messenger.End, err error) {
	end, err = r.fetch(ctx, c, out)
	if err != nil && unsent(err) {
		return end, errNoAnswer
	}
	return end, err
}

// holders returns the linked agents, the hinted one first.
func (r *Router) holders(hint identifier.Target) []handedTo {
	r.board.mu.Lock()
	defer r.board.mu.Unlock()
	var found []handedTo
	for _, a := range r.board.agents {
		if a.link != nil {
			found = append(found, handedTo{a.origin, a.address})
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

// cancelTimeout bounds the call that cancels a request at one agent.
const cancelTimeout = 2 * time.Second

// ownerOf returns the router that has given a request its id, which ends in the
// router's incarnation and a number.
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

// cancelAtOwner passes a cancellation on to the router at which the request
// waits, with the caller's own token.
func (r *Router) cancelAtOwner(ctx iris.Context, id identifier.Request) bool {
	owner := ownerOf(id)
	r.board.mu.Lock()
	address, listed := r.board.members.addresses[owner]
	r.board.mu.Unlock()
	if !listed || owner == r.cfg.Name {
		return false
	}
	limited, cancel := context.WithTimeout(ctx.Request().Context(), cancelTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(limited, http.MethodDelete, "http://"+address+"/v1/requests/"+url.PathEscape(string(id)), nil)
	if err != nil {
		return false
	}
	req.Header.Set("Authorization", ctx.GetHeader("Authorization"))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusNoContent
}

// cancelThere ends a request that an agent has in hand.
func (r *Router) cancelThere(ctx context.Context, w identifier.Workspace, id identifier.Request) bool {
	for _, at := range r.holders("") {
		if r.cancelAt(ctx, at, w, id) {
			return true
		}
	}
	return false
}

func (r *Router) cancelAt(ctx context.Context, at handedTo, w identifier.Workspace, id identifier.Request) bool {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	req, err := r.request(ctx, http.MethodDelete, at.address, "/answers/"+string(id), nil)
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
