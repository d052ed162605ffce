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

// handler returns the agent's HTTP interface towards routers and other agents.
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

// authenticate refuses calls from processes that are not of the fleet.
func (a *Agent) authenticate(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if _, err := a.sec.Check(r.Header, time.Now()); err != nil {
			a.log.Warn("call refused", zap.String("from", r.RemoteAddr), reporter.Error(err))
			http.Error(w, "not a process of this fleet", http.StatusUnauthorized)
			return
		}
		next(w, r)
	}
}

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

// Names of the steps at which an agent refuses or ends a request.
const (
	stepDecode = "decode_handover"
	stepKey    = "check_key"
	stepFind   = "find_answer"
	stepQueue  = "wait_for_slot"
	stepTarget = "run_at_target"
)

func (a *Agent) notRunFault(step, detail string) messenger.Fault {
	return messenger.Fault{Outcome: identifier.NotRun, Step: step, Detail: detail}
}
