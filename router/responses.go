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

// responseWriter is a sink that also sends the end of a response.
type responseWriter interface {
	sink
	// finish sends how request c ended.
	finish(ctx iris.Context, c *call, e result)
}

// Completion is the body of a complete answer.
type Completion struct {
	Request identifier.Request `json:"request"`
	Outcome identifier.Outcome `json:"outcome"`
	// Target is the target that ran the request.
	Target identifier.Target `json:"target,omitempty"`
	Tokens int               `json:"tokens"`
	// Status is the HTTP status of a plain service.
	Status int `json:"status,omitempty"`
	// Answer is the text of a model's answer or the body of a service's response.
	Answer string `json:"answer,omitempty"`
	Detail string `json:"detail,omitempty"`
}

// completionOf returns the completion of request c without its answer.
func completionOf(c *call, e result) Completion {
	return Completion{Request: c.item.Request, Outcome: e.Outcome, Target: c.agent.origin.Target, Tokens: e.Tokens, Status: e.Status, Detail: e.Detail}
}

// bufferedResponse collects an answer and sends it as one body at the end.
type bufferedResponse struct{ text strings.Builder }

func (s *bufferedResponse) accepted(identifier.Request, identifier.Target) error { return nil }

func (s *bufferedResponse) token(_ int, text string) error {
	s.text.WriteString(text)
	return nil
}

func (s *bufferedResponse) finish(ctx iris.Context, c *call, e result) {
	if e.Outcome != identifier.Done {
		sendProblem(ctx, problemOf(c.item.Request, e))
		return
	}
	completion := completionOf(c, e)
	completion.Answer = s.text.String()
	sendJSON(ctx, http.StatusOK, completion)
}

// eventStreamMIME is the media type of server-sent events.
const eventStreamMIME = "text/event-stream"

// streamedResponse sends an answer as server-sent events: accepted, then token for each
// token, then end or problem. A stream without an end or problem event was interrupted.
type streamedResponse struct {
	ctx           iris.Context
	target        identifier.Target
	headerWritten bool
}

func newStreamedResponse(ctx iris.Context) *streamedResponse {
	return &streamedResponse{ctx: ctx}
}

// writeHeader sets the header and status of the stream, once.
func (s *streamedResponse) writeHeader() {
	if s.headerWritten {
		return
	}
	s.headerWritten = true
	s.ctx.Header("Content-Type", eventStreamMIME)
	s.ctx.Header("Cache-Control", "no-store")
	s.ctx.StatusCode(http.StatusOK)
}

func (s *streamedResponse) accepted(id identifier.Request, target identifier.Target) error {
	s.target = target
	s.writeHeader()
	return s.writeEvent("accepted", "", map[string]string{"request": string(id), "target": string(target)})
}

// tokenEvent is the data of a token event.
type tokenEvent struct {
	Index int    `json:"index"`
	Text  string `json:"text"`
}

func (s *streamedResponse) token(index int, text string) error {
	s.writeHeader()
	return s.writeEvent("token", fmt.Sprintf("%d@%s", index, s.target), tokenEvent{index, text})
}

// writeEvent sends an event at once. An empty id is left out.
func (s *streamedResponse) writeEvent(name, id string, data any) error {
	raw, err := json.Marshal(data)
	if err != nil {
		return errors.Wrapf(err, "encode %s event", name)
	}
	header := "event: " + name + "\n"
	if id != "" {
		header += "id: " + id + "\n"
	}
	if _, err := s.ctx.Write([]byte(header + "data: " + string(raw) + "\n\n")); err != nil {
		return errors.Wrapf(err, "write %s event", name)
	}
	s.ctx.ResponseWriter().Flush()
	return nil
}

func (s *streamedResponse) finish(ctx iris.Context, c *call, e result) {
	if !s.headerWritten && e.Outcome != identifier.Done {
		sendProblem(ctx, problemOf(c.item.Request, e))
		return
	}
	s.writeHeader()
	if e.Outcome == identifier.Done {
		_ = s.writeEvent("end", "", completionOf(c, e))
		return
	}
	_ = s.writeEvent("problem", "", problemOf(c.item.Request, e))
}
