package router

import (
	"net/http"
	"strings"
	"time"

	"github.com/kataras/iris/v12"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"buckthorndrum/configurator"
	"buckthorndrum/identifier"
	"buckthorndrum/signer"
)

// handler returns the HTTP handler for callers and operators.
func (r *Router) handler() (http.Handler, error) {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Configure(iris.WithoutStartupLog, iris.WithoutBodyConsumptionOnUnmarshal)
	r.callerRoutes(app)
	r.adminRoutes(app)
	app.Get("/metrics", iris.FromStd(promhttp.HandlerFor(r.metrics.registry, promhttp.HandlerOpts{})))
	app.Get("/healthz", func(ctx iris.Context) { ctx.StatusCode(http.StatusOK) })
	app.Get("/readyz", r.handleReady)
	if err := app.Build(); err != nil {
		return nil, errors.Wrap(err, "build routes")
	}
	return app, nil
}

// handleReady responds with success if the router has a configuration and is not
// draining.
func (r *Router) handleReady(ctx iris.Context) {
	r.state.mu.Lock()
	ready := r.state.adopter.Current() != nil && !r.state.stopping
	r.state.mu.Unlock()
	if !ready {
		sendProblem(ctx, requestProblem(http.StatusServiceUnavailable, "The router is not ready.", "", "not_ready"))
		return
	}
	ctx.StatusCode(http.StatusOK)
}

// snapshot returns the configuration in force, nil if there is none.
func (r *Router) snapshot() *configurator.Snapshot {
	r.state.mu.Lock()
	defer r.state.mu.Unlock()
	return r.state.adopter.Current()
}

// bearerToken returns the bearer token of a call, empty if there is none.
func bearerToken(ctx iris.Context) string {
	token, ok := strings.CutPrefix(ctx.GetHeader("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return token
}

// identify returns the workspace of a caller and the configuration in which its token was
// found, or a problem.
func (r *Router) identify(ctx iris.Context) (identifier.Workspace, *configurator.Snapshot, *Problem) {
	s := r.snapshot()
	if s == nil {
		p := requestProblem(http.StatusServiceUnavailable, "The router has no configuration yet.", "", "not_ready")
		p.RetryAfterMS = time.Second.Milliseconds()
		return "", nil, &p
	}
	w, ok := s.WorkspaceOf(signer.HashToken(bearerToken(ctx)))
	if !ok {
		p := requestProblem(http.StatusUnauthorized, "The bearer token is not valid.", "", "unauthorized")
		return "", nil, &p
	}
	return w, s, nil
}

// authenticate returns the same as identify. If there is a problem, it sends it and
// returns false.
func (r *Router) authenticate(ctx iris.Context) (identifier.Workspace, *configurator.Snapshot, bool) {
	w, s, p := r.identify(ctx)
	if p != nil {
		p.Outcome = identifier.Unknown // The call is about an earlier request.
		sendProblem(ctx, *p)
	}
	return w, s, p == nil
}
