package router

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"

	"github.com/kataras/iris/v12"
	"github.com/pkg/errors"

	"buckthorndrum/configurator"
	"buckthorndrum/identifier"
	"buckthorndrum/placer"
	"buckthorndrum/queuer"
	"buckthorndrum/scheduler"
	"buckthorndrum/signer"
	"buckthorndrum/storer"
)

// adminRoutes adds the routes for operators. All but the schema and the console page need
// an operator token.
func (r *Router) adminRoutes(app *iris.Application) {
	app.Get("/v1/config", r.requireOperator(r.handleGetConfig))
	app.Put("/v1/config", r.requireOperator(r.handlePutConfig))
	app.Post("/v1/config/validate", r.requireOperator(r.handleValidate))
	app.Get("/v1/config/schema", r.handleSchema)
	app.Get("/v1/audit", r.requireOperator(r.handleAudit))
	app.Get("/v1/status", r.requireOperator(r.handleStatus))
	app.Post("/v1/targets/{id:string}/drain", r.requireOperator(r.handleDrain))
	app.Get("/console", r.handleConsole)
}

// bootstrapOperator is the operator's name in the first change, which is authorized by
// the fleet's secret because there is no configuration yet that names an operator.
const bootstrapOperator = "bootstrap"

// requireOperator calls next with the name of the operator if the token is valid.
func (r *Router) requireOperator(next func(ctx iris.Context, operator string)) iris.Handler {
	return func(ctx iris.Context) {
		hash := signer.HashToken(bearerToken(ctx))
		s := r.snapshot()
		if s == nil {
			if signer.SameHash(hash, signer.HashToken(r.cfg.Security.Secret)) {
				next(ctx, bootstrapOperator)
				return
			}
		} else if name, ok := s.OperatorOf(hash); ok {
			next(ctx, name)
			return
		}
		sendProblem(ctx, adminProblem(http.StatusUnauthorized, "The operator token is not valid.", "", "unauthorized"))
	}
}

// adminProblem returns the problem of an operator's call. It has no outcome.
func adminProblem(status int, title, detail, reason string) Problem {
	return Problem{Type: problemType, Title: title, Status: status, Detail: detail, Reason: reason}
}

// handleGetConfig sends the configuration in force, with its revision as the ETag.
func (r *Router) handleGetConfig(ctx iris.Context, _ string) {
	s := r.snapshot()
	if s == nil {
		sendProblem(ctx, adminProblem(http.StatusNotFound, "There is no configuration yet.", "", "not_ready"))
		return
	}
	ctx.Header("ETag", etag(s.Revision))
	sendJSON(ctx, http.StatusOK, s.Document)
}

// etag returns the entity tag of a revision.
func etag(rev identifier.Revision) string {
	return fmt.Sprintf("%q", strconv.FormatUint(uint64(rev), 10))
}

// maxDocumentBytes bounds a configuration document, in bytes.
const maxDocumentBytes = 32 << 20

// handlePutConfig replaces the configuration whose revision is given by If-Match.
func (r *Router) handlePutConfig(ctx iris.Context, operator string) {
	expected, err := strconv.ParseUint(strings.Trim(ctx.GetHeader("If-Match"), `"`), 10, 64)
	if err != nil {
		sendProblem(ctx, adminProblem(http.StatusPreconditionRequired, "If-Match is missing.", "send the revision that the change is based on, 0 for the first", "if_match"))
		return
	}
	doc, ok := readDocument(ctx)
	if !ok {
		return
	}
	rev, err := r.changeConfig(ctx.Request().Context(), identifier.Revision(expected), doc, operator)
	if err != nil {
		sendProblem(ctx, changeProblem(err))
		return
	}
	ctx.Header("ETag", etag(rev))
	sendJSON(ctx, http.StatusOK, map[string]identifier.Revision{"revision": rev})
}

// changeProblem returns the problem for a change that was not accepted.
func changeProblem(err error) Problem {
	var conflict configurator.ConflictError
	switch {
	case errors.As(err, &conflict):
		return adminProblem(http.StatusPreconditionFailed, "Another change came first.", err.Error(), "conflict")
	case errors.Is(err, storer.ErrLost):
		return adminProblem(http.StatusGatewayTimeout, "It is not known whether the change was accepted.", "repeat it with the same If-Match; it is accepted at most once", "lost")
	}
	return adminProblem(http.StatusServiceUnavailable, "The change was not accepted.", err.Error(), "store")
}

// readDocument reads and checks a configuration document. If that fails, it sends a
// problem and returns false.
func readDocument(ctx iris.Context) (configurator.Document, bool) {
	raw, err := io.ReadAll(http.MaxBytesReader(ctx.ResponseWriter(), ctx.Request().Body, maxDocumentBytes))
	if err != nil {
		sendProblem(ctx, adminProblem(http.StatusRequestEntityTooLarge, "The document could not be read.", err.Error(), "bad_body"))
		return configurator.Document{}, false
	}
	doc, err := configurator.Decode(raw)
	if err != nil {
		sendProblem(ctx, adminProblem(http.StatusUnprocessableEntity, "The document is not valid.", err.Error(), "invalid"))
		return configurator.Document{}, false
	}
	return doc, true
}

// handleValidate checks a configuration document and changes nothing.
func (r *Router) handleValidate(ctx iris.Context, _ string) {
	if _, ok := readDocument(ctx); ok {
		sendJSON(ctx, http.StatusOK, map[string]bool{"valid": true})
	}
}

// handleSchema sends the JSON schema of the configuration document.
func (r *Router) handleSchema(ctx iris.Context) {
	raw, err := configurator.Schema()
	if err != nil {
		sendProblem(ctx, adminProblem(http.StatusInternalServerError, "The schema could not be built.", err.Error(), "schema"))
		return
	}
	ctx.Header("Content-Type", "application/schema+json")
	_, _ = ctx.Write(raw)
}

// handleAudit sends a page of the audit trail.
func (r *Router) handleAudit(ctx iris.Context, _ string) {
	p, err := r.auditPage(ctx.Request().Context(), configurator.Hash(ctx.URLParam("page")))
	if err != nil {
		sendProblem(ctx, adminProblem(http.StatusNotFound, "The page could not be read.", err.Error(), "audit"))
		return
	}
	sendJSON(ctx, http.StatusOK, p)
}

// Status is the state of one router as operators see it.
type Status struct {
	Router       identifier.Router     `json:"router"`
	DataCentre   identifier.DataCentre `json:"data_centre"`
	Revision     identifier.Revision   `json:"revision"`
	Stopping     bool                  `json:"stopping"`
	StoreOK      bool                  `json:"store_ok"`
	Waiting      int                   `json:"waiting"`
	WaitingBytes int                   `json:"waiting_bytes"`
	Control      int64                 `json:"control_bytes"`
	Queues       []queuer.Depth        `json:"queues"`
	Targets      []TargetStatus        `json:"targets"`
}

// TargetStatus is the state of one target as a router sees it.
type TargetStatus struct {
	Target  identifier.Target `json:"target"`
	Pool    identifier.Pool   `json:"pool"`
	Linked  bool              `json:"linked"`
	Leaving bool              `json:"leaving"`
	Load    scheduler.Load    `json:"load"`
	// Placement is what the engine serves, absent if the choice is left to the engine.
	Placement *placer.Report `json:"placement,omitempty"`
}

func (r *Router) handleStatus(ctx iris.Context, _ string) { sendJSON(ctx, http.StatusOK, r.status()) }

// status returns the router's current status.
func (r *Router) status() Status {
	sent, received := r.Traffic()
	r.state.mu.Lock()
	defer r.state.mu.Unlock()
	st := Status{
		Router:     r.cfg.Name,
		DataCentre: r.cfg.DataCentre,
		Revision:   r.state.adopter.Revision(),
		Stopping:   r.state.stopping,
		StoreOK:    r.state.storeOK,
		Control:    sent + received,
		Queues:     r.state.queues.Depths(),
		Targets:    r.targetStatus(),
	}
	st.Waiting, st.WaitingBytes = r.state.queues.Len()
	return st
}

// targetStatus returns the status of all targets, ordered by name. The caller holds the
// lock.
func (r *Router) targetStatus() []TargetStatus {
	s := r.state.adopter.Current()
	if s == nil {
		return nil
	}
	ts := make([]TargetStatus, 0, len(s.Document.Targets))
	for _, t := range s.Document.Targets {
		v := TargetStatus{Target: t.ID, Pool: t.Pool, Leaving: t.State == configurator.Leaving}
		if a := r.state.agents[t.ID]; a != nil {
			v.Linked = a.link != nil
			v.Leaving = v.Leaving || a.leaving
			v.Load = a.load
			v.Placement = a.placement
		}
		ts = append(ts, v)
	}
	sort.Slice(ts, func(i, j int) bool { return ts[i].Target < ts[j].Target })
	return ts
}

// handleDrain changes the configuration so that a target is leaving.
func (r *Router) handleDrain(ctx iris.Context, operator string) {
	id := identifier.Target(ctx.Params().Get("id"))
	s := r.snapshot()
	if s == nil {
		sendProblem(ctx, adminProblem(http.StatusNotFound, "There is no configuration yet.", "", "not_ready"))
		return
	}
	if _, known := s.Target(id); !known {
		sendProblem(ctx, adminProblem(http.StatusNotFound, "The target does not exist.", fmt.Sprintf("target %.64q does not exist", id), "unknown_target"))
		return
	}
	doc := s.Document
	doc.Targets = append([]configurator.Target(nil), doc.Targets...)
	for i := range doc.Targets {
		if doc.Targets[i].ID == id {
			doc.Targets[i].State = configurator.Leaving
		}
	}
	rev, err := r.changeConfig(ctx.Request().Context(), s.Revision, doc, operator)
	if err != nil {
		sendProblem(ctx, changeProblem(err))
		return
	}
	sendJSON(ctx, http.StatusOK, map[string]identifier.Revision{"revision": rev})
}
