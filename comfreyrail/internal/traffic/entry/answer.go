package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/comfreyrail/comfreyrail/rail/outcome"
)

// answerWriter writes the answer to a completion request, as a stream of events or as one JSON body.
type answerWriter struct {
	w           http.ResponseWriter
	id          string
	model       string
	stream      bool
	headersSent bool
	text        strings.Builder
}

// choice is one choice of a completion answer; FinishReason is null in every event of a stream but the last.
type choice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

// completionObject is a whole completion answer, or one event of a streamed answer.
type completionObject struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
}

func newAnswerWriter(w http.ResponseWriter, id string, body completionBody) *answerWriter {
	return &answerWriter{w: w, id: id, model: body.Model, stream: body.Stream}
}

// started reports whether the headers of the answer have been sent, after which the status cannot change.
func (a *answerWriter) started() bool { return a.headersSent }

// writeToken writes one token to the stream, or buffers it if the answer is not streamed.
func (a *answerWriter) writeToken(token string) error {
	if !a.stream {
		a.text.WriteString(token)
		return nil
	}
	a.writeHeaders()
	return a.writeEvent("", a.newObject(token, nil))
}

// writeHeaders writes the headers of a streamed answer, once; the outcome follows in the trailer.
func (a *answerWriter) writeHeaders() {
	if a.headersSent {
		return
	}
	a.headersSent = true
	a.w.Header().Set("Content-Type", "text/event-stream")
	a.w.Header().Set("Trailer", outcome.Header)
	a.w.Header().Set(outcome.RequestIDHeader, a.id)
	a.w.WriteHeader(http.StatusOK)
}

func (a *answerWriter) newObject(text string, reason *string) completionObject {
	choices := []choice{{Text: text, FinishReason: reason}}
	return completionObject{ID: a.id, Object: "text_completion", Model: a.model, Choices: choices}
}

// writeEvent writes one server-sent event and flushes it.
func (a *answerWriter) writeEvent(name string, data any) error {
	encoded, err := json.Marshal(data)
	if err != nil {
		return err
	}
	if name != "" {
		_, err = fmt.Fprintf(a.w, "event: %s\n", name)
	}
	if err == nil {
		_, err = fmt.Fprintf(a.w, "data: %s\n\n", encoded)
	}
	if err != nil {
		return err
	}
	return http.NewResponseController(a.w).Flush()
}

// finish ends the answer and returns its outcome.
//
// If err is nil, the answer is complete and reason is its finish reason. err must be nil if the answer is not streamed.
func (a *answerWriter) finish(reason string, err error) outcome.Outcome {
	if !a.stream {
		a.w.Header().Set("Content-Type", "application/json")
		a.w.Header().Set(outcome.Header, string(outcome.Done))
		a.w.Header().Set(outcome.RequestIDHeader, a.id)
		_ = json.NewEncoder(a.w).Encode(a.newObject(a.text.String(), &reason))
		return outcome.Done
	}
	a.writeHeaders()
	if err != nil {
		failure := outcome.FromError(err)
		_ = a.writeEvent("error", failureBody{Error: failure})
		a.w.Header().Set(outcome.Header, string(failure.Outcome))
		return failure.Outcome
	}
	_ = a.writeEvent("", a.newObject("", &reason))
	_, _ = fmt.Fprint(a.w, "data: [DONE]\n\n")
	a.w.Header().Set(outcome.Header, string(outcome.Done))
	return outcome.Done
}
