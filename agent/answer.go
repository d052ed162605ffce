package agent

import (
	"net/http"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"

	"buckthorndrum/identifier"
	"buckthorndrum/messenger"
)

// handleAnswer streams an answer, beginning with the token whose index is the form value
// from.
func (a *Agent) handleAnswer(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.FormValue("from"))
	if err != nil || from < 0 {
		writeCBOR(w, http.StatusBadRequest, messenger.Fault{Outcome: identifier.Unknown, Step: stepFind, Detail: "from is not a token number"})
		return
	}
	rec := a.findRecord(r)
	if rec == nil {
		writeCBOR(w, http.StatusNotFound, messenger.Fault{Outcome: identifier.Unknown, Step: stepFind, Detail: "no such answer is kept here"})
		return
	}
	a.streamAnswer(w, r, rec, from)
}

// findRecord returns the record of the request named in the path, or nil if there is none
// or it belongs to another workspace than the one in the header.
func (a *Agent) findRecord(r *http.Request) *record {
	a.state.mu.Lock()
	defer a.state.mu.Unlock()
	rec := a.state.records[identifier.Request(r.PathValue("request"))]
	if rec == nil || string(rec.handover.Class.Workspace) != r.Header.Get(messenger.WorkspaceHeader) {
		return nil
	}
	return rec
}

// handleCancel aborts a request that its caller has cancelled.
func (a *Agent) handleCancel(w http.ResponseWriter, r *http.Request) {
	rec := a.findRecord(r)
	if rec == nil {
		writeCBOR(w, http.StatusNotFound, messenger.Fault{Outcome: identifier.Unknown, Step: stepFind, Detail: "no such request is in hand here"})
		return
	}
	a.state.mu.Lock()
	rec.cancelled = true
	abort := rec.abort
	a.state.mu.Unlock()
	abort()
	w.WriteHeader(http.StatusNoContent)
}

// streamAnswer writes the answer from token index from on, as a CBOR sequence of pieces,
// until the answer ends or the router disconnects.
func (a *Agent) streamAnswer(w http.ResponseWriter, r *http.Request, rec *record, from int) {
	a.addReaders(rec, 1)
	defer a.addReaders(rec, -1)
	w.Header().Set("Content-Type", "application/cbor-seq")
	flusher := http.NewResponseController(w)
	_ = flusher.Flush()
	enc := cbor.NewEncoder(w)
	for {
		piece, changed := a.nextPiece(rec, from)
		if len(piece.Tokens) > 0 || piece.End != nil {
			if err := enc.Encode(piece); err != nil {
				return
			}
			_ = flusher.Flush()
			from += len(piece.Tokens)
		}
		if piece.End != nil {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

// nextPiece returns the tokens from index from on that exist so far, and a channel that
// is closed when there are more or the answer ends. If the answer has fewer than from
// tokens, the piece has none.
func (a *Agent) nextPiece(rec *record, from int) (messenger.Piece, <-chan struct{}) {
	a.state.mu.Lock()
	defer a.state.mu.Unlock()
	if from > rec.tokenCount() {
		return messenger.Piece{Index: from, End: rec.end}, rec.changed
	}
	return rec.pieceFrom(from), rec.changed
}

// addReaders adds n to the number of readers of rec.
func (a *Agent) addReaders(rec *record, n int) {
	a.state.mu.Lock()
	defer a.state.mu.Unlock()
	rec.readers += n
	rec.idleSince = time.Now()
}

// housekeep drops answers without a reader that ended longer than Config.Retain ago,
// aborts requests without a key that had no reader for abandonTimeout, and dials missing
// peers.
func (a *Agent) housekeep() {
	a.state.mu.Lock()
	t := time.Now()
	for id, rec := range a.state.records {
		switch {
		case rec.end != nil && rec.readers == 0 && t.Sub(rec.ended) > a.cfg.Retain:
			delete(a.state.records, id)
		case rec.end == nil && rec.readers == 0 && rec.handover.Key == nil && t.Sub(rec.idleSince) > abandonTimeout:
			rec.abort()
		}
	}
	a.state.mu.Unlock()
	a.dialPeers()
}
