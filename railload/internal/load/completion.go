package load

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/fake/fakemodel"
	"github.com/comfreyrail/comfreyrail/rail/outcome"
)

// completionBody is the body of a completion request.
type completionBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// event is the data of one server-sent event.
type event struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Error *outcome.Failure `json:"error"`
}

// endOfStream is the data of the last event of a whole answer.
const endOfStream = "[DONE]"

// complete makes a streamed completion.
func (c *caller) complete(ctx context.Context) result {
	body, err := json.Marshal(completionBody{
		Model: c.config.Model, Prompt: c.arrival.Prompt, MaxTokens: c.arrival.Tokens, Stream: true,
	})
	if err != nil {
		return result{verdict: Cut, wrong: err.Error()}
	}
	response, err := c.post(ctx, "/v1/completions", body, http.Header{"Content-Type": {"application/json"}})
	if err != nil {
		return broken(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		content, _ := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
		return failed(response, content)
	}
	return c.read(response)
}

// read reads the events of a streamed answer and checks every token as it comes.
func (c *caller) read(response *http.Response) (seen result) {
	want := fakemodel.Completion(c.arrival.Prompt, c.config.Layers, c.arrival.Tokens)
	received, ended := 0, false
	last := time.Time{}
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		data, found := strings.CutPrefix(scanner.Text(), "data: ")
		if !found {
			continue
		}
		if data == endOfStream {
			ended = true
			continue
		}
		var got event
		if err := json.Unmarshal([]byte(data), &got); err != nil {
			seen.wrong = fmt.Sprintf("event %q is malformed: %v", data, err)
			continue
		}
		if got.Error != nil {
			seen.code, seen.detail = string(got.Error.Code), got.Error.Message
			continue
		}
		if len(got.Choices) != 1 || got.Choices[0].Text == "" {
			continue
		}
		now := time.Now()
		if last.IsZero() {
			seen.first = now.Sub(c.intended)
		} else {
			seen.gaps = append(seen.gaps, now.Sub(last))
		}
		last = now
		if received >= len(want) || got.Choices[0].Text != want[received] {
			seen.wrong = fmt.Sprintf("token %d of %d is %q, which is not the caller's", received, len(want), got.Choices[0].Text)
		}
		received++
	}
	if err := scanner.Err(); err != nil {
		end := broken(err)
		seen.verdict, seen.detail = end.verdict, end.detail
		return seen
	}
	return conclude(seen, response.Trailer.Get(outcome.Header), ended, received == len(want))
}

// conclude adds the verdict of a streamed answer whose connection did not break.
func conclude(seen result, trailer string, ended, whole bool) result {
	switch outcome.Outcome(trailer) {
	case outcome.Done:
		seen.verdict = Done
	case outcome.NotRun:
		seen.verdict = NotRun
	case outcome.Unknown:
		seen.verdict = Unknown
	default:
		seen.verdict, seen.detail = Cut, "stream ended without an outcome"
	}
	if seen.wrong == "" && seen.verdict == Done && (!ended || !whole) {
		seen.wrong = "answer is shown as whole but is not"
	}
	if seen.wrong == "" && seen.verdict != Done && ended {
		seen.wrong = "answer is shown as ended but its outcome is " + string(seen.verdict)
	}
	return seen
}
