package agent

import (
	"io"
	"net/http"
	"strconv"

	"github.com/fxamacker/cbor/v2"

	"buckthorndrum/identifier"
	"buckthorndrum/keeper"
	"buckthorndrum/messenger"
)

// maxKeyBodyBytes is the maximum size of the body of a request to /keys, in bytes.
const maxKeyBodyBytes = 4096

// handleMint reserves a key and replies with its sequence number. It is rejected while
// the target is leaving or not configured.
func (a *Agent) handleMint(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(io.LimitReader(r.Body, maxKeyBodyBytes))
	var c identifier.Class
	if err != nil || cbor.Unmarshal(raw, &c) != nil {
		writeCBOR(w, http.StatusBadRequest, a.notRunFault(stepKey, "call names no kind"))
		return
	}
	a.state.mu.Lock()
	defer a.state.mu.Unlock()
	if a.state.leaving() || !a.state.configured {
		writeCBOR(w, http.StatusServiceUnavailable, a.notRunFault(stepKey, "target is leaving"))
		return
	}
	n := a.state.keys.Mint()
	writeCBOR(w, http.StatusOK, messenger.KeyReply{Sequence: n, State: string(keeper.Fresh), Incarnation: a.self.Incarnation})
}

// handleKey replies with the state of a key.
func (a *Agent) handleKey(w http.ResponseWriter, r *http.Request) {
	a.replyKeyState(w, r, a.state.keys.State)
}

// handleClose closes a key that has not run, so that it never runs, and replies with the
// state of the key.
func (a *Agent) handleClose(w http.ResponseWriter, r *http.Request) {
	a.replyKeyState(w, r, a.state.keys.Close)
}

// replyKeyState calls op with the sequence number in the request and replies with the
// state of the key that op returns. It replies with a fault if op returns an error, as
// for a key that was never minted. Keys of earlier incarnations go to replyEarlierKey.
func (a *Agent) replyKeyState(w http.ResponseWriter, r *http.Request, op func(uint64) (keeper.State, error)) {
	n, err := strconv.ParseUint(r.PathValue("sequence"), 10, 64)
	inc, errInc := strconv.ParseUint(r.FormValue("incarnation"), 16, 64)
	if err != nil || errInc != nil {
		writeCBOR(w, http.StatusBadRequest, messenger.Fault{Outcome: identifier.Unknown, Step: stepKey, Detail: "call names no key"})
		return
	}
	a.state.mu.Lock()
	defer a.state.mu.Unlock()
	if identifier.Incarnation(inc) != a.self.Incarnation {
		a.replyEarlierKey(w, r, n)
		return
	}
	st, err := op(n)
	if err != nil {
		writeCBOR(w, http.StatusNotFound, messenger.Fault{Outcome: identifier.Unknown, Step: stepKey, Detail: err.Error()})
		return
	}
	k := messenger.KeyReply{Sequence: n, State: string(st), Incarnation: a.self.Incarnation, Request: a.requestOfKey(n), Revives: a.targetRefusesRepeats()}
	if st == keeper.Ended {
		k.Outcome = a.state.keys.Result(n).Outcome
		k.Kept = a.state.records[k.Request] != nil
	}
	writeCBOR(w, http.StatusOK, k)
}

// replyEarlierKey replies to a request about key n of an earlier incarnation. Such a key
// can no longer be closed. Its state is Revived if the target refuses repeats. The caller
// holds the lock.
func (a *Agent) replyEarlierKey(w http.ResponseWriter, r *http.Request, n uint64) {
	if a.targetRefusesRepeats() && r.Method == http.MethodGet {
		writeCBOR(w, http.StatusOK, messenger.KeyReply{Sequence: n, State: string(keeper.Revived), Incarnation: a.self.Incarnation, Revives: true})
		return
	}
	writeCBOR(w, http.StatusGone, earlierKeyFault())
}

// earlierKeyFault returns the fault for a key of an earlier incarnation.
func earlierKeyFault() *messenger.Fault {
	return &messenger.Fault{Outcome: identifier.Unknown, Step: stepKey, Detail: "the incarnation that minted the key is gone"}
}

// targetRefusesRepeats reports whether the target itself runs a key at most once, so that
// keys of earlier incarnations may run here. The caller holds the lock.
func (a *Agent) targetRefusesRepeats() bool {
	s := a.state.adopter.Current()
	if s == nil {
		return false
	}
	t, _ := s.Target(a.cfg.Target)
	return t.RefusesRepeats
}
