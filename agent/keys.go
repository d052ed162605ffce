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

// maxKeyCall bounds the body of a call about a key, in bytes.
const maxKeyCall = 4096

// handleMint reserves a key. A target that is leaving mints none.
func (a *Agent) handleMint(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(io.LimitReader(r.Body, maxKeyCall))
	var c identifier.Class
	if err != nil || cbor.Unmarshal(raw, &c) != nil {
		reply(w, http.StatusBadRequest, a.notRun(stepKey, "call names no kind"))
		return
	}
	a.board.mu.Lock()
	defer a.board.mu.Unlock()
	if a.board.leaving() || !a.board.configured {
		reply(w, http.StatusServiceUnavailable, a.notRun(stepKey, "target is leaving"))
		return
	}
	n := a.board.keys.Mint()
	reply(w, http.StatusOK, messenger.KeyReply{Sequence: n, State: string(keeper.Fresh), Incarnation: a.self.Incarnation})
}

// handleKey tells the state of a key.
func (a *Agent) handleKey(w http.ResponseWriter, r *http.Request) {
	a.answerKey(w, r, a.board.keys.State)
}

// handleClose makes sure that a key that has not run never will.
func (a *Agent) handleClose(w http.ResponseWriter, r *http.Request) {
	a.answerKey(w, r, a.board.keys.Close)
}

func (a *Agent) answerKey(w http.ResponseWriter, r *http.Request, ask func(uint64) (keeper.State, error)) {
	n, err := strconv.ParseUint(r.PathValue("sequence"), 10, 64)
	inc, errInc := strconv.ParseUint(r.FormValue("incarnation"), 16, 64)
	if err != nil || errInc != nil {
		reply(w, http.StatusBadRequest, messenger.Fault{Outcome: identifier.Unknown, Step: stepKey, Detail: "call names no key"})
		return
	}
	a.board.mu.Lock()
	defer a.board.mu.Unlock()
	if identifier.Incarnation(inc) != a.self.Incarnation {
		a.answerForeign(w, r, n)
		return
	}
	st, err := ask(n)
	if err != nil {
		reply(w, http.StatusNotFound, messenger.Fault{Outcome: identifier.Unknown, Step: stepKey, Detail: err.Error()})
		return
	}
	k := messenger.KeyReply{Sequence: n, State: string(st), Incarnation: a.self.Incarnation, Request: a.requestOf(n), Revives: a.revives()}
	if st == keeper.Ended {
		k.Outcome = a.board.keys.Result(n).Outcome
		k.Kept = a.board.records[k.Request] != nil
	}
	reply(w, http.StatusOK, k)
}

// answerForeign answers a call about a key of an earlier incarnation. Nobody can
// close it any more. The caller holds the lock.
func (a *Agent) answerForeign(w http.ResponseWriter, r *http.Request, n uint64) {
	if a.revives() && r.Method == http.MethodGet {
		reply(w, http.StatusOK, messenger.KeyReply{Sequence: n, State: string(keeper.Revived), Incarnation: a.self.Incarnation, Revives: true})
		return
	}
	reply(w, http.StatusGone, goneKey())
}

// goneKey is the answer about a key of an earlier incarnation.
func goneKey() *messenger.Fault {
	return &messenger.Fault{Outcome: identifier.Unknown, Step: stepKey, Detail: "the incarnation that minted the key is gone"}
}

// revives tells whether keys of earlier incarnations may be run here: the target
// itself runs a key at most once. The caller holds the lock.
func (a *Agent) revives() bool {
	s := a.board.adopter.Current()
	if s == nil {
		return false
	}
	t, _ := s.Target(a.cfg.Target)
	return t.RefusesRepeats
}
