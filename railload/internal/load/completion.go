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

// completionBody is the JSON body of a completion request.
type completionBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// event is the JSON data of one server-sent event.
type event struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Error *outcome.Failure `json:"error"`
}

// endOfStream is the data of the last event of a complete answer.
const endOfStream = "[DONE]"

// streamCompletion sends a request for a streamed completion and checks the answer.
func (c *caller) streamCompletion(ctx context.Context) result {
	body, err := json.Marshal(completionBody{
		Model: c.config.Model, Prompt: c.arrival.Prompt, MaxTokens: c.arrival.Tokens, Stream: true,
	})
	if err != nil {
		return result{verdict: Broken, failedCheck: err.Error()}
	}
	response, err := c.post(ctx, "/v1/completions", body, http.Header{"Content-Type": {"application/json"}})
	if err != nil {
		return connectionResult(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		content, _ := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
		return failureResult(response, content)
	}
	return c.readStream(response)
}

// readStream reads the events of a streamed answer and compares each token with the expected one when it arrives.
func (c *caller) readStream(response *http.Response) (res result) {
	want := fakemodel.Completion(c.arrival.Prompt, c.config.Layers, c.arrival.Tokens)
	received, terminated := 0, false
	last := time.Time{}
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		data, found := strings.CutPrefix(scanner.Text(), "data: ")
		if !found {
			continue
		}
		if data == endOfStream {
			terminated = true
			continue
		}
		var got event
		if err := json.Unmarshal([]byte(data), &got); err != nil {
			res.failedCheck = fmt.Sprintf("malformed event %q: %v", data, err)
			continue
		}
		if got.Error != nil {
			res.code, res.detail = string(got.Error.Code), got.Error.Message
			continue
		}
		if len(got.Choices) != 1 || got.Choices[0].Text == "" {
			continue
		}
		now := time.Now()
		if last.IsZero() {
			res.firstToken = now.Sub(c.intended)
		} else {
			res.tokenGaps = append(res.tokenGaps, now.Sub(last))
		}
		last = now
		if received >= len(want) || got.Choices[0].Text != want[received] {
			res.failedCheck = fmt.Sprintf("token %d of %d is %q, which is not the expected token", received, len(want), got.Choices[0].Text)
		}
		received++
	}
	if err := scanner.Err(); err != nil {
		failure := connectionResult(err)
		res.verdict, res.detail = failure.verdict, failure.detail
		return res
	}
	return withVerdict(res, response.Trailer.Get(outcome.Header), terminated, received == len(want))
}

// withVerdict returns the result with the verdict of a streamed answer that was read to its end.
//
// The trailer is the outcome; terminated reports whether the end-of-stream event was received, and complete whether all
// expected tokens were.
func withVerdict(res result, trailer string, terminated, complete bool) result {
	switch outcome.Outcome(trailer) {
	case outcome.Done:
		res.verdict = Done
	case outcome.NotRun:
		res.verdict = NotRun
	case outcome.Unknown:
		res.verdict = Unknown
	default:
		res.verdict, res.detail = Broken, "stream ended without an outcome"
	}
	if res.failedCheck == "" && res.verdict == Done && (!terminated || !complete) {
		res.failedCheck = "outcome is done, but the answer is incomplete"
	}
	if res.failedCheck == "" && res.verdict != Done && terminated {
		res.failedCheck = "answer has an end-of-stream event, but its outcome is " + string(res.verdict)
	}
	return res
}
