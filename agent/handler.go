package agent

import (
	"net/http"
	"time"

	"buckthorndrum/reporter"

	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"

	"buckthorndrum/identifier"
	"buckthorndrum/messenger"
)

// handler returns the agent's HTTP handler for routers, other agents and probes.
func (a *Agent) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /link", a.authenticate(a.acceptLink))
	mux.HandleFunc("POST /run", a.authenticate(a.handleRun))
	mux.HandleFunc("GET /answers/{request}", a.authenticate(a.handleAnswer))
	mux.HandleFunc("DELETE /answers/{request}", a.authenticate(a.handleCancel))
	mux.HandleFunc("POST /keys", a.authenticate(a.handleMint))
	mux.HandleFunc("GET /keys/{sequence}", a.authenticate(a.handleKey))
	mux.HandleFunc("POST /keys/{sequence}/close", a.authenticate(a.handleClose))
	mux.Handle("GET /metrics", promhttp.HandlerFor(a.metrics.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", a.handleReady)
	return mux
}

// authenticate rejects requests that do not come from a process of the fleet.
func (a *Agent) authenticate(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if _, err := a.sec.Check(r.Header, time.Now()); err != nil {
			a.log.Warn("unauthenticated request rejected", zap.String("from", r.RemoteAddr), reporter.Error(err))
			http.Error(w, "not a process of this fleet", http.StatusUnauthorized)
			return
		}
		next(w, r)
	}
}

// handleReady answers 200 if the target is configured and not leaving, else 503.
func (a *Agent) handleReady(w http.ResponseWriter, _ *http.Request) {
	a.state.mu.Lock()
	ready := a.state.configured && !a.state.leaving()
	a.state.mu.Unlock()
	if !ready {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// writeCBOR writes v in CBOR as the response, with the given status.
func writeCBOR(w http.ResponseWriter, status int, v any) {
	raw, err := cbor.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/cbor")
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

// Steps at which an agent rejects or ends a request.
const (
	stepDecode = "decode_handover"
	stepKey    = messenger.StepKey
	stepFind   = "find_answer"
	stepQueue  = "wait_for_slot"
	stepTarget = "run_at_target"
)

// notRunFault returns a fault with the outcome NotRun.
func (a *Agent) notRunFault(step, detail string) messenger.Fault {
	return messenger.Fault{Outcome: identifier.NotRun, Step: step, Detail: detail}
}
