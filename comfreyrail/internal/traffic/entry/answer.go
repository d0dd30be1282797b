package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/comfreyrail/comfreyrail/rail/outcome"
)

// answerWriter writes a completion, streamed or whole.
type answerWriter struct {
	w      http.ResponseWriter
	id     string
	model  string
	stream bool
	begun  bool
	whole  strings.Builder
}

// choice is one choice of a completion answer.
type choice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

// chunk is a completion answer, or one event of a streamed one.
type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
}

func newAnswerWriter(w http.ResponseWriter, id string, body completionBody) *answerWriter {
	return &answerWriter{w: w, id: id, model: body.Model, stream: body.Stream}
}

// started reports whether the caller has seen the beginning of an answer.
func (a *answerWriter) started() bool { return a.begun }

// token passes one token on.
func (a *answerWriter) token(token string) error {
	if !a.stream {
		a.whole.WriteString(token)
		return nil
	}
	a.begin()
	return a.event("", a.chunk(token, nil))
}

// begin writes the headers of a streamed answer.
func (a *answerWriter) begin() {
	if a.begun {
		return
	}
	a.begun = true
	a.w.Header().Set("Content-Type", "text/event-stream")
	a.w.Header().Set("Trailer", outcome.Header)
	a.w.Header().Set(outcome.RequestHeader, a.id)
	a.w.WriteHeader(http.StatusOK)
}

func (a *answerWriter) chunk(text string, reason *string) chunk {
	choices := []choice{{Text: text, FinishReason: reason}}
	return chunk{ID: a.id, Object: "text_completion", Model: a.model, Choices: choices}
}

// event writes one server-sent event and flushes it.
func (a *answerWriter) event(name string, data any) error {
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

// finish ends the answer and returns its outcome; err is nil if the answer is whole for the reason.
func (a *answerWriter) finish(reason string, err error) outcome.Outcome {
	if !a.stream {
		a.w.Header().Set("Content-Type", "application/json")
		a.w.Header().Set(outcome.Header, string(outcome.Done))
		a.w.Header().Set(outcome.RequestHeader, a.id)
		_ = json.NewEncoder(a.w).Encode(a.chunk(a.whole.String(), &reason))
		return outcome.Done
	}
	a.begin()
	if err != nil {
		failure := outcome.FromError(err)
		_ = a.event("error", failureBody{Error: failure})
		a.w.Header().Set(outcome.Header, string(failure.Outcome))
		return failure.Outcome
	}
	_ = a.event("", a.chunk("", &reason))
	_, _ = fmt.Fprint(a.w, "data: [DONE]\n\n")
	a.w.Header().Set(outcome.Header, string(outcome.Done))
	return outcome.Done
}
