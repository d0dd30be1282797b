package admin

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/control"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/control/configsync"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/control/probe"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/settings"
	"github.com/comfreyrail/comfreyrail/rail/fake/fakekv"
	"github.com/comfreyrail/comfreyrail/rail/invariant"
	"github.com/comfreyrail/comfreyrail/rail/kv"
)

// Tokens of the test server: for all requests, and for GET requests only.
const (
	writeToken = "for-writing"
	readToken  = "for-reading"
)

// digest returns the SHA-256 of the token in hexadecimal.
func digest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// newServer returns a Server and the stand-in for the platform's store that it uses.
func newServer(t *testing.T) (s *Server, platform *fakekv.Server) {
	t.Helper()
	platform = fakekv.New(fakekv.Config{})
	server := httptest.NewServer(platform)
	t.Cleanup(server.Close)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	log := logrus.NewEntry(logger)
	state := control.New(control.Config{Log: log, Checker: new(invariant.Checker)})
	store := &kv.Client{Address: strings.TrimPrefix(server.URL, "http://")}
	registry := metrics.NewRegistry()
	sync := configsync.New(configsync.Config{Store: store, Control: state, Log: log, Metrics: registry})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = state.Serve(ctx) }()
	go func() { _ = sync.Serve(ctx) }()
	prober := probe.New(probe.Config{Control: state, HTTP: http.DefaultClient})
	go func() { _ = prober.Serve(ctx) }()
	return New(Config{
		Settings: settings.Admin{TokenSHA256: digest(writeToken), ReadTokenSHA256: digest(readToken)},
		Control:  state, Sync: sync, Metrics: registry,
	}), platform
}

// TestEndpoints guards against wrong status codes and bodies of the endpoints for operators; the requests depend on those
// before them. The tables must stay readable while the platform's store is unavailable.
func TestEndpoints(t *testing.T) {
	s, platform := newServer(t)
	const pool = `{"name":"mill","kind":"plain","servers":[{"name":"m1","address":"127.0.0.1:1","zone":"a"}]}`
	const overwrite = `{"id":"e9","operations":[{"action":"put","row":{"sort":"pool","name":"mill"},"version":0,"pool":` + pool + `}]}`
	tests := []struct {
		name, method, path, body, token string
		status                          int
		want                            string
	}{
		{"not ready without tables", "GET", "/ready", "", "", 503, "no tables"},
		{"no token", "GET", "/tables", "", "", 401, "Authorization"},
		{"wrong token", "GET", "/tables", "", "other", 401, "Authorization"},
		{"read with the read token", "GET", "/tables", "", readToken, 200, `"generation"`},
		{"write with the read token", "PUT", "/pools/mill", pool, readToken, 403, "reading alone"},
		{"malformed body", "PUT", "/pools/mill", "{", writeToken, 400, "cannot be read"},
		{"two names", "PUT", "/pools/other", pool, writeToken, 400, "use one name"},
		{"dry run", "POST", "/edits?dry=true", overwrite, writeToken, 200, `"valid"`},
		{"put", "PUT", "/pools/mill?edit=e1&author=asha", pool, writeToken, 200, `"accepted"`},
		{"ready", "GET", "/ready", "", "", 200, "ready"},
		{"get", "GET", "/pools/mill", "", readToken, 200, `"version": 1`},
		{"get a missing route", "GET", "/routes/none", "", readToken, 404, "does not exist"},
		{"put over an unread version", "POST", "/edits", overwrite, writeToken, 409, `"theirs"`},
		{"dry run over an unread version", "POST", "/edits?dry=true", overwrite, writeToken, 409, `"conflict"`},
		{"route to a missing pool", "PUT", "/routes/r", `{"name":"r","prefix":"/r","pool":"none"}`, writeToken, 422, "does not exist"},
		{"state of an edit", "GET", "/edits/e1", "", readToken, 200, `"accepted"`},
		{"state of a missing edit", "GET", "/edits/e2", "", readToken, 404, `"absent"`},
		{"withdraw", "POST", "/edits/e2/withdraw", "", writeToken, 503, `"notaccepted"`},
		{"withdraw too late", "POST", "/edits/e1/withdraw", "", writeToken, 200, `"accepted"`},
		{"drain", "POST", "/pools/mill/servers/m1/drain", "", writeToken, 200, `"accepted"`},
		{"undo drain", "POST", "/pools/mill/servers/m1/drain?undo=true", "", writeToken, 200, `"accepted"`},
		{"drain a missing server", "POST", "/pools/mill/servers/m2/drain", "", writeToken, 404, "does not exist"},
		{"delete without version", "DELETE", "/pools/mill", "", writeToken, 400, "version"},
		{"diff", "POST", "/diff", `{"routes":[],"pools":[]}`, writeToken, 200, `"delete"`},
		{"history", "GET", "/history?limit=1", "", readToken, 200, "put server mill/m1"},
		{"history with limit zero", "GET", "/history?limit=0", "", readToken, 400, "use 1 to"},
		{"status", "GET", "/status", "", readToken, 200, `"generation": 3`},
		{"dump", "GET", "/dump", "", readToken, 200, `"goroutines"`},
		{"metrics", "GET", "/metrics", "", readToken, 200, `"config.edit.accepted":{"count":3}`},
		{"delete", "DELETE", "/pools/mill?version=3", "", writeToken, 200, `"accepted"`},
	}
	for _, test := range tests {
		request := httptest.NewRequest(test.method, test.path, strings.NewReader(test.body))
		request.Header.Set("Content-Type", "application/json")
		request.Header.Set("Authorization", "Bearer "+test.token)
		// An accepted edit is in force here before its response is written. At the start readiness may follow a little later,
		// so it is polled.
		var recorder *httptest.ResponseRecorder
		for range 100 {
			recorder = httptest.NewRecorder()
			s.ServeHTTP(recorder, request)
			if test.path != "/ready" || recorder.Code == test.status && strings.Contains(recorder.Body.String(), test.want) {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		if got := recorder.Code; got != test.status {
			t.Errorf("%s: status %d (%s), want %d", test.name, got, recorder.Body, test.status)
		}
		if got := recorder.Body.String(); !strings.Contains(got, test.want) {
			t.Errorf("%s: body %s, want it to contain %s", test.name, got, test.want)
		}
	}
	platform.SetFaults(fakekv.Faults{Outage: true})
	request := httptest.NewRequest(http.MethodGet, "/tables", nil)
	request.Header.Set("Authorization", "Bearer "+readToken)
	recorder := httptest.NewRecorder()
	s.ServeHTTP(recorder, request)
	if got := recorder.Code; got != http.StatusOK {
		t.Errorf("tables during an outage: status %d, want 200", got)
	}
}

// TestNoSecretsInResponses guards against tokens or their hashes in the dump, the status and the metrics.
func TestNoSecretsInResponses(t *testing.T) {
	s, _ := newServer(t)
	for _, path := range []string{"/dump", "/status", "/metrics"} {
		request := httptest.NewRequest(http.MethodGet, path, nil)
		request.Header.Set("Authorization", "Bearer "+readToken)
		recorder := httptest.NewRecorder()
		s.ServeHTTP(recorder, request)
		for _, secret := range []string{writeToken, readToken, digest(writeToken), digest(readToken)} {
			if strings.Contains(recorder.Body.String(), secret) {
				t.Errorf("%s contains a token or its hash", path)
			}
		}
	}
}
