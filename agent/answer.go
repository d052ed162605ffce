package agent

import (
	"net/http"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"

	"buckthorndrum/identifier"
	"buckthorndrum/messenger"
)

// handleAnswer streams an answer from a given token on.
func (a *Agent) handleAnswer(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.FormValue("from"))
	if err != nil || from < 0 {
		reply(w, http.StatusBadRequest, messenger.Fault{Outcome: identifier.Unknown, Step: stepFind, Detail: "from is not a token number"})
		return
	}
	rec := a.find(r)
	if rec == nil {
		reply(w, http.StatusNotFound, messenger.Fault{Outcome: identifier.Unknown, Step: stepFind, Detail: "no such answer is kept here"})
		return
	}
	a.stream(w, r, rec, from)
}

// find returns the record that a call names if it is the workspace's own.
func (a *Agent) find(r *http.Request) *record {
	a.board.mu.Lock()
	defer a.board.mu.Unlock()
	rec := a.board.records[identifier.Request(r.PathValue("request"))]
	if rec == nil || string(rec.handover.Class.Workspace) != r.Header.Get(messenger.WorkspaceHeader) {
		return nil
	}
	return rec
}

// handleCancel ends a request that its caller no longer wants.
func (a *Agent) handleCancel(w http.ResponseWriter, r *http.Request) {
	rec := a.find(r)
	if rec == nil {
		reply(w, http.StatusNotFound, messenger.Fault{Outcome: identifier.Unknown, Step: stepFind, Detail: "no such request is in hand here"})
		return
	}
	a.board.mu.Lock()
	rec.cancelled = true
	abort := rec.abort
	a.board.mu.Unlock()
	abort()
	w.WriteHeader(http.StatusNoContent)
}

// stream writes the answer from token from on, as a sequence of pieces, until
// it ends or the router goes away.
func (a *Agent) stream(w http.ResponseWriter, r *http.Request, rec *record, from int) {
	a.read(rec, 1)
	defer a.read(rec, -1)
	w.Header().Set("Content-Type", "application/cbor-seq")
	flusher := http.NewResponseController(w)
	_ = flusher.Flush()
	enc := cbor.NewEncoder(w)
	for {
		p, changed := a.piece(rec, from)
		if len(p.Tokens) > 0 || p.End != nil {
			if err := enc.Encode(p); err != nil {
				return
			}
			_ = flusher.Flush()
			from += len(p.Tokens)
		}
		if p.End != nil {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

func (a *Agent) piece(rec *record, from int) (messenger.Piece, <-chan struct{}) {
	a.board.mu.Lock()
	defer a.board.mu.Unlock()
	if from > rec.total() {
		return messenger.Piece{Index: from, End: rec.end}, rec.changed
	}
	return rec.since(from), rec.changed
}

func (a *Agent) read(rec *record, n int) {
	a.board.mu.Lock()
	defer a.board.mu.Unlock()
	rec.readers += n
	rec.idleSince = time.Now()
}

// housekeep drops answers that were kept long enough, gives up model answers
// that nobody follows, and keeps the links to the other agents.
func (a *Agent) housekeep() {
	a.board.mu.Lock()
	t := time.Now()
	for id, rec := range a.board.records {
		switch {
		case rec.end != nil && rec.readers == 0 && t.Sub(rec.ended) > a.cfg.Retain:
			delete(a.board.records, id)
		case rec.end == nil && rec.readers == 0 && rec.handover.Key == nil && t.Sub(rec.idleSince) > abandonAfter:
			rec.abort()
		}
	}
	a.board.mu.Unlock()
	a.dialPeers()
}
