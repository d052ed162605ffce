package router

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/kataras/iris/v12"
	"github.com/pkg/errors"

	"buckthorndrum/identifier"
)

// answer is a sink that also sends the end.
type answer interface {
	sink
	finish(ctx iris.Context, c *call, e ending)
}

// Completion is the body of a whole answer.
type Completion struct {
	Request identifier.Request `json:"request"`
	Outcome identifier.Outcome `json:"outcome"`
	// Target is where the request ran.
	Target identifier.Target `json:"target,omitempty"`
	Tokens int               `json:"tokens"`
	// Status is the HTTP status of a plain service.
	Status int `json:"status,omitempty"`
	// Answer is the text of a model's answer or a service's body.
	Answer string `json:"answer,omitempty"`
	Detail string `json:"detail,omitempty"`
}

func completionOf(c *call, e ending) Completion {
	return Completion{Request: c.item.Request, Outcome: e.Outcome, Target: c.at.origin.Target, Tokens: e.Tokens, Status: e.Status, Detail: e.Detail}
}

// whole collects an answer and sends it at the end.
type whole struct{ text strings.Builder }

func (s *whole) accepted(identifier.Request, identifier.Target) error { return nil }

func (s *whole) token(_ int, text string) error {
	s.text.WriteString(text)
	return nil
}

func (s *whole) finish(ctx iris.Context, c *call, e ending) {
	if e.Outcome != identifier.Done {
		sendProblem(ctx, problemOf(c.item.Request, e))
		return
	}
	done := completionOf(c, e)
	done.Answer = s.text.String()
	sendJSON(ctx, http.StatusOK, done)
}

const eventStream = "text/event-stream"

// events sends an answer as server-sent events: accepted, token and end, or
// problem. A stream without an end or problem event is broken.
type events struct {
	ctx    iris.Context
	target identifier.Target
	begun  bool
}

func newEvents(ctx iris.Context) *events {
	return &events{ctx: ctx}
}

func (s *events) begin() {
	if s.begun {
		return
	}
	s.begun = true
	s.ctx.Header("Content-Type", eventStream)
	s.ctx.Header("Cache-Control", "no-store")
	s.ctx.StatusCode(http.StatusOK)
}

func (s *events) accepted(id identifier.Request, at identifier.Target) error {
	s.target = at
	s.begin()
	return s.event("accepted", "", map[string]string{"request": string(id), "target": string(at)})
}

// tokenEvent is the data of a token event.
type tokenEvent struct {
	Index int    `json:"index"`
	Text  string `json:"text"`
}

func (s *events) token(index int, text string) error {
	s.begin()
	return s.event("token", fmt.Sprintf("%d@%s", index, s.target), tokenEvent{index, text})
}

func (s *events) event(name, id string, data any) error {
	raw, err := json.Marshal(data)
	if err != nil {
		return errors.Wrapf(err, "encode %s event", name)
	}
	line := "event: " + name + "\n"
	if id != "" {
		line += "id: " + id + "\n"
	}
	if _, err := s.ctx.Write([]byte(line + "data: " + string(raw) + "\n\n")); err != nil {
		return errors.Wrapf(err, "write %s event", name)
	}
	s.ctx.ResponseWriter().Flush()
	return nil
}

func (s *events) finish(ctx iris.Context, c *call, e ending) {
	if !s.begun && e.Outcome != identifier.Done {
		sendProblem(ctx, problemOf(c.item.Request, e))
		return
	}
	s.begin()
	if e.Outcome == identifier.Done {
		_ = s.event("end", "", completionOf(c, e))
		return
	}
	_ = s.event("problem", "", problemOf(c.item.Request, e))
}
