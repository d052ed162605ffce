package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// engineEvents is the number of events of an answer, firstEvent the time to the first and
	// eventGap the time between two.
	engineEvents = 40
	firstEvent   = 60 * time.Millisecond
	eventGap     = 40 * time.Millisecond
	engineSlots  = 128
)

// engine is a stand-in of a model server.
type engine struct {
	id, service, address string
	born                 int64
	server               *http.Server
	running              atomic.Int64
	record               *record
}

func startEngine(rec *record, id, service string) (*engine, error) {
	l, err := net.Listen("tcp4", fmt.Sprintf("127.0.2.%d:0", addressNumber.Add(1)))
	if err != nil {
		return nil, err
	}
	e := &engine{id: id, service: service, address: l.Addr().String(), born: time.Now().UnixMilli(), record: rec}
	e.server = &http.Server{Handler: e, IdleTimeout: 5 * time.Second}
	go func() { _ = e.server.Serve(l) }()
	return e, nil
}

func (e *engine) entry() map[string]any {
	return map[string]any{"service": e.service, "address": e.address, "zone": "zone-a", "version": "v1", "slots": engineSlots, "state": "ready",
		"cold_left_ms": 0, "stage": "prefill_decode", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "seq": 1, "born": e.born}
}

// crash ends the engine as the end of its process does.
func (e *engine) crash() {
	e.record.printf("engine %s: crashes with %d requests at work", e.id, e.running.Load())
	_ = e.server.Close()
}

// ServeHTTP serves a stream as PROTOCOL.md has it.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Keep-Alive", "timeout=5")
	w.Header().Set("X-Instance-Id", e.id)
	if r.URL.Path == "/health" {
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	_, _ = io.Copy(io.Discard, r.Body)
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if e.running.Add(1) > engineSlots {
		e.running.Add(-1)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.running.Add(-1)
	e.record.printf("engine %s: runs request %s", e.id, id)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Weight-Versions", "1")
	w.Header().Set("X-Response-Seal", "seal."+e.id+"."+id)
	w.WriteHeader(http.StatusOK)
	rc := http.NewResponseController(w)
	wait := firstEvent
	for n := 1; n <= engineEvents; n++ {
		select {
		case <-time.After(wait):
		case <-r.Context().Done():
			return
		}
		wait = eventGap
		if _, err := fmt.Fprintf(w, "id: %d\ndata: event %d of %s\n\n", n, n, id); err != nil {
			return
		}
		if rc.Flush() != nil {
			return
		}
	}
}
