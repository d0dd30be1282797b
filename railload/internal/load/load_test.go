package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/fake/fakemodel"
	"github.com/comfreyrail/comfreyrail/rail/outcome"
)

const testLayers = 6

// writeStream writes a streamed answer with the tokens and the outcome as its trailer.
func writeStream(w http.ResponseWriter, tokens []string, trailer outcome.Outcome) {
	w.Header().Set("Trailer", outcome.Header)
	for _, token := range tokens {
		_, _ = fmt.Fprintf(w, "data: {\"choices\":[{\"text\":%q}]}\n\n", token)
	}
	if trailer == outcome.Done {
		_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
	}
	w.Header().Set(outcome.Header, string(trailer))
}

// TestVerdicts guards against a wrong or incomplete answer that passes the checks, and against a lost answer that is counted as
// done.
func TestVerdicts(t *testing.T) {
	expected := func(r *http.Request) []string {
		var body completionBody
		_ = json.NewDecoder(r.Body).Decode(&body)
		return fakemodel.Completion(body.Prompt, testLayers, body.MaxTokens)
	}
	tests := []struct {
		name        string
		handler     http.HandlerFunc
		want        Verdict
		failedCheck bool
	}{
		{"complete answer", func(w http.ResponseWriter, r *http.Request) { writeStream(w, expected(r), outcome.Done) }, Done, false},
		{"first token missing", func(w http.ResponseWriter, r *http.Request) { writeStream(w, expected(r)[1:], outcome.Done) }, Done, true},
		{"last token missing", func(w http.ResponseWriter, r *http.Request) {
			tokens := expected(r)
			writeStream(w, tokens[:len(tokens)-1], outcome.Done)
		}, Done, true},
		{"answer to another prompt", func(w http.ResponseWriter, r *http.Request) {
			writeStream(w, fakemodel.Completion("other", testLayers, len(expected(r))), outcome.Done)
		}, Done, true},
		{"unknown after one token", func(w http.ResponseWriter, r *http.Request) { writeStream(w, expected(r)[:1], outcome.Unknown) }, Unknown, false},
		{"no outcome", func(w http.ResponseWriter, r *http.Request) { writeStream(w, expected(r)[:1], "") }, Broken, false},
		{"broken connection", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, Broken, false},
		{"not run", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(outcome.Header, string(outcome.NotRun))
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = fmt.Fprint(w, `{"error":{"outcome":"notrun","code":"stopping"}}`)
		}, NotRun, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server := httptest.NewServer(test.handler)
			defer server.Close()
			config := Defaults()
			config.Layers, config.MeanTokens, config.PlainShare = testLayers, 8, 0
			config.Rate, config.Duration = 200, 100*time.Millisecond
			address := strings.TrimPrefix(server.URL, "http://")
			config.Instances = []Instance{{CallerAddress: address, ReadyAddress: address}}
			report, err := Run(context.Background(), config)
			if err != nil {
				t.Fatal(err)
			}
			group := report.Kinds[0]
			if got := group.Verdicts[test.want]; got != group.Sent || got == 0 {
				t.Errorf("verdict of %d of %d requests is %q, want all: %v", got, group.Sent, test.want, group.Verdicts)
			}
			if got := report.FailedChecks() > 0; got != test.failedCheck {
				t.Errorf("failed checks = %t, want %t: %v", got, test.failedCheck, report.Problems)
			}
		})
	}
}

// TestRunMismatch guards against a check that passes a second run of a call, or a run of a call whose verdict is that it did
// not run.
func TestRunMismatch(t *testing.T) {
	tests := []struct {
		verdict Verdict
		runs    int
		want    bool
	}{
		{Done, 1, false}, {Done, 0, true}, {Done, 2, true}, {NotRun, 0, false}, {NotRun, 1, true},
		{Unknown, 0, false}, {Unknown, 1, false}, {Unknown, 2, true}, {Broken, 1, false}, {Broken, 2, true},
	}
	for _, test := range tests {
		if got := runMismatch(test.verdict, test.runs) != ""; got != test.want {
			t.Errorf("runMismatch(%q, %d) reports a mismatch: %t, want %t", test.verdict, test.runs, got, test.want)
		}
	}
}

// TestSchedule guards against a schedule that differs between runs of one seed, or that misses the rate or the skew.
func TestSchedule(t *testing.T) {
	config := Defaults()
	first, second := newSchedule(config, "run"), newSchedule(config, "run")
	sizes := make(map[string]int)
	count := 0
	for {
		got, more := first.next()
		want, _ := second.next()
		if got != want {
			t.Fatalf("arrival %d: got %+v, want %+v", count, got, want)
		}
		if !more {
			break
		}
		count++
		sizes[got.Workspace]++
	}
	if expected := config.Rate * config.Duration.Seconds(); float64(count) < 0.8*expected || float64(count) > 1.2*expected {
		t.Errorf("got %d arrivals, want about %.0f", count, expected)
	}
	if sizes["workspace1"] <= sizes["workspace10"] {
		t.Errorf("workspace1 sent %d requests and workspace10 %d, want workspace1 to send more", sizes["workspace1"], sizes["workspace10"])
	}
}
