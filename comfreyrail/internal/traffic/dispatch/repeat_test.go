package dispatch

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"testing"

	"github.com/comfreyrail/comfreyrail/rail/outcome"
)

// repeatCase is a request that a standard client of net/http runs wantStandard times and a Dispatcher once.
type repeatCase struct {
	name    string
	backend func(*testing.T) *testBackend
	method  string
	header  http.Header
	body    string
	// http2 makes the standard client use HTTP/2.
	http2 bool
	// wantStandard is the number of runs with a standard client.
	wantStandard int
	// want is the outcome with a Dispatcher.
	want outcome.Outcome
}

// repeatCases returns the requests for TestSendAtMostOnce and TestStandardClientRepeats.
func repeatCases() []repeatCase {
	key := http.Header{"Idempotency-Key": {"k"}}
	refuseStreams := func(t *testing.T) *testBackend {
		t.Helper()
		return newRawBackend(t, (*testBackend).serveRefusedStreams)
	}
	redirect := func(status int) func(*testing.T) *testBackend {
		return func(t *testing.T) *testBackend {
			t.Helper()
			return newRedirectingBackend(t, status)
		}
	}
	return []repeatCase{
		{"post without key", newClosingBackend, http.MethodPost, nil, "x", false, 1, outcome.Unknown},
		{"post with key", newClosingBackend, http.MethodPost, key, "x", false, 2, outcome.Unknown},
		{"post with X-Idempotency-Key", newClosingBackend, http.MethodPost, http.Header{"X-Idempotency-Key": {"k"}}, "x", false, 2, outcome.Unknown},
		{"empty post with key", newClosingBackend, http.MethodPost, key, "", false, 2, outcome.Unknown},
		{"delete with key", newClosingBackend, http.MethodDelete, key, "", false, 2, outcome.Unknown},
		{"get", newClosingBackend, http.MethodGet, nil, "", false, 2, outcome.Unknown},
		{"head", newClosingBackend, http.MethodHead, nil, "", false, 2, outcome.Unknown},
		{"options", newClosingBackend, http.MethodOptions, nil, "", false, 2, outcome.Unknown},
		{"trace", newClosingBackend, http.MethodTrace, nil, "", false, 2, outcome.Unknown},
		{"http/2 refused stream", refuseStreams, http.MethodPost, nil, "", true, 2, outcome.Unknown},
		{"redirect 302", redirect(http.StatusFound), http.MethodPost, nil, "x", false, 2, outcome.Done},
		{"redirect 307", redirect(http.StatusTemporaryRedirect), http.MethodPost, nil, "x", false, 2, outcome.Done},
		{"redirect 308", redirect(http.StatusPermanentRedirect), http.MethodPost, nil, "x", false, 2, outcome.Done},
	}
}

// TestSendAtMostOnce checks that a Dispatcher runs each request once, even if net/http would retry it after a closed
// connection or a refused stream, or follow a redirect.
func TestSendAtMostOnce(t *testing.T) {
	for _, test := range repeatCases() {
		t.Run(test.name, func(t *testing.T) {
			backend := test.backend(t)
			dispatcher := New(Config{})
			if !test.http2 {
				_, _ = dispatcher.Send(t.Context(), Request{Address: backend.address, Method: http.MethodGet, Path: keepAlivePath})
			}
			before := backend.runCount()
			_, err := dispatcher.Send(t.Context(), Request{
				Address: backend.address, Method: test.method, Path: "/run", Header: test.header, Body: []byte(test.body),
			})
			if got, want := backend.runCount()-before, 1; got != want {
				t.Errorf("got %d runs, want %d", got, want)
			}
			if got := outcomeOf(err); got != test.want {
				t.Errorf("got outcome %q (%v), want %q", got, err, test.want)
			}
		})
	}
}

// TestStandardClientRepeats checks how often net/http runs the requests of TestSendAtMostOnce. It runs all but the POST
// without a key twice, so that the other test exercises the guard of the Dispatcher.
func TestStandardClientRepeats(t *testing.T) {
	for _, test := range repeatCases() {
		t.Run(test.name, func(t *testing.T) {
			backend := test.backend(t)
			protocols := new(http.Protocols)
			protocols.SetHTTP1(!test.http2)
			protocols.SetUnencryptedHTTP2(test.http2)
			client := &http.Client{Transport: &http.Transport{Protocols: protocols}}
			if !test.http2 {
				send(t, client, http.MethodGet, "http://"+backend.address+keepAlivePath, nil, "")
			}
			before := backend.runCount()
			send(t, client, test.method, "http://"+backend.address+"/run", test.header, test.body)
			if got, want := backend.runCount()-before, test.wantStandard; got != want {
				t.Errorf("got %d runs, want %d", got, want)
			}
		})
	}
}

// send sends a request with a standard client and ignores its error, since a backend may close the connection.
func send(t *testing.T, client *http.Client, method, address string, header http.Header, body string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, address, bytes.NewReader([]byte(body)))
	if err != nil {
		t.Fatal(err)
	}
	for name, values := range header {
		request.Header[name] = values
	}
	if response, err := client.Do(request); err == nil {
		// Reading the response to its end leaves the connection open for the next request.
		_, _ = io.Copy(io.Discard, response.Body)
		response.Body.Close()
	}
}

// outcomeOf returns the outcome that the error of Send stands for, or an empty one if it isn't a Failure.
func outcomeOf(err error) outcome.Outcome {
	var failure *outcome.Failure
	switch {
	case err == nil:
		return outcome.Done
	case errors.As(err, &failure):
		return failure.Outcome
	default:
		return ""
	}
}
