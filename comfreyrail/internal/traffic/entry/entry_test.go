package entry

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/emicklei/go-restful/v3"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/control"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/settings"
	"github.com/comfreyrail/comfreyrail/rail/invariant"
	"github.com/comfreyrail/comfreyrail/rail/outcome"
)

// newCallerServer returns a CallerServer that has no tables.
func newCallerServer(t *testing.T) *CallerServer {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	log := logrus.NewEntry(logger)
	return New(Config{
		Settings: settings.Caller{MaxBodyBytes: 64, MaxRunning: 4, MaxQueued: 4}, Log: log, Metrics: metrics.NewRegistry(),
		Control: control.New(control.Config{Log: log, Checker: new(invariant.Checker)}), Checker: new(invariant.Checker),
	})
}

// TestRefusalOutcome checks that every refused request has a failure as its body and the outcome not run in its header.
func TestRefusalOutcome(t *testing.T) {
	s := newCallerServer(t)
	long := `{"model":"m","prompt":"` + strings.Repeat("x", 64) + `","max_tokens":1}`
	tests := []struct {
		name, method, path, body string
		status                   int
		code                     outcome.Code
	}{
		{"no route", "GET", "/nowhere", "", 404, outcome.CodeNoRoute},
		{"no route at the root", "GET", "/", "", 404, outcome.CodeNoRoute},
		{"head", "HEAD", "/nowhere", "", 404, outcome.CodeNoRoute},
		{"options", "OPTIONS", "/nowhere", "", 404, outcome.CodeNoRoute},
		{"unknown method", "BREW", "/nowhere", "", 400, outcome.CodeInvalid},
		{"malformed body", "POST", "/v1/completions", "{", 400, outcome.CodeInvalid},
		{"long body", "POST", "/v1/completions", long, 400, outcome.CodeInvalid},
		{"no prompt", "POST", "/v1/completions", `{"model":"m","max_tokens":1}`, 400, outcome.CodeInvalid},
		{"too many tokens", "POST", "/v1/completions", `{"model":"m","prompt":"p","max_tokens":99999}`, 400, outcome.CodeInvalid},
		{"unknown model", "POST", "/v1/completions", `{"model":"m","prompt":"p","max_tokens":1}`, 404, outcome.CodeNoRoute},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			recorder := httptest.NewRecorder()
			s.ServeHTTP(recorder, httptest.NewRequest(test.method, test.path, strings.NewReader(test.body)))
			var got failureBody
			if err := json.Unmarshal(recorder.Body.Bytes(), &got); err != nil {
				t.Fatalf("body %q: %v", recorder.Body, err)
			}
			if recorder.Code != test.status || got.Error.Code != test.code || got.Error.Outcome != outcome.NotRun {
				t.Errorf("got status %d and %v, want %d and code %s not run", recorder.Code, got.Error, test.status, test.code)
			}
			if got, want := recorder.Header().Get(outcome.Header), string(outcome.NotRun); got != want {
				t.Errorf("outcome header = %q, want %q", got, want)
			}
		})
	}
}

// TestPanicOutcome checks that a panic in a handler results in the outcome unknown.
func TestPanicOutcome(t *testing.T) {
	s := newCallerServer(t)
	broken := new(restful.WebService).Path("/broken")
	broken.Route(broken.GET("").To(func(*restful.Request, *restful.Response) { panic("planted") }))
	s.container.Add(broken)
	recorder := httptest.NewRecorder()
	s.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/broken", nil))
	if got, want := recorder.Header().Get(outcome.Header), string(outcome.Unknown); got != want {
		t.Errorf("outcome header = %q, want %q", got, want)
	}
	if got, want := recorder.Code, http.StatusInternalServerError; got != want {
		t.Errorf("status = %d, want %d", got, want)
	}
}
