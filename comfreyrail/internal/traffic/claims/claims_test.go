package claims

import (
	"context"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/rail/claim"
	"github.com/comfreyrail/comfreyrail/rail/fake/fakekv"
	"github.com/comfreyrail/comfreyrail/rail/invariant"
	"github.com/comfreyrail/comfreyrail/rail/kv"
	"github.com/comfreyrail/comfreyrail/rail/member"
	"github.com/comfreyrail/comfreyrail/rail/outcome"
)

// startClaims starts Claims with a stand-in for the platform's store that no other test uses.
func startClaims(t *testing.T, owner string) (started *Claims, platform *fakekv.Server, stop func()) {
	t.Helper()
	platform = fakekv.New(fakekv.Config{})
	server := httptest.NewServer(platform)
	t.Cleanup(server.Close)
	log := logrus.New()
	log.SetOutput(io.Discard)
	started = New(Config{
		Owner: owner, Store: &kv.Client{Address: strings.TrimPrefix(server.URL, "http://")},
		Checker: new(invariant.Checker), Log: logrus.NewEntry(log),
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		_ = started.Serve(ctx)
		close(ended)
	}()
	stop = func() {
		cancel()
		<-ended
	}
	t.Cleanup(stop)
	return started, platform, stop
}

// TestServePeerStatus checks the state that a status query returns. A claim of an earlier incarnation must not be taken
// for the claim of this incarnation with the same sequence number.
func TestServePeerStatus(t *testing.T) {
	c, _, _ := startClaims(t, "me")
	request := Request{Key: claim.NewKey("w", "r", "k"), Run: func(context.Context) ([]byte, error) { return []byte("answer"), nil }}
	if _, err := c.Run(t.Context(), request); err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name  string
		query StatusQuery
		want  claim.State
	}{
		{"own claim", StatusQuery{Owner: "me", Sequence: 1}, claim.Done},
		{"unknown claim", StatusQuery{Owner: "me", Sequence: 9}, claim.Unknown},
		{"claim of an earlier incarnation", StatusQuery{Owner: "before", Sequence: 1}, claim.Unknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			body, err := cbor.Marshal(test.query)
			if err != nil {
				t.Fatal(err)
			}
			got, err := c.ServePeer(t.Context(), member.Member{}, body)
			if status, ok := got.(claim.Status); err != nil || !ok || status.State != test.want {
				t.Errorf("got %v (%v), want state %d", got, err, test.want)
			}
		})
	}
	if _, err := c.ServePeer(t.Context(), member.Member{}, []byte("x")); err == nil {
		t.Error("got no error for a malformed query, want one")
	}
}

// TestServeWaitsForRuns checks that Serve returns only after a claimed request has ended and the state of its claim has
// been written.
//
// After the stop, requests fail as not run.
func TestServeWaitsForRuns(t *testing.T) {
	c, platform, stop := startClaims(t, "me")
	running, release := make(chan struct{}), make(chan struct{})
	result := make(chan error, 1)
	go func() {
		_, err := c.Run(context.WithoutCancel(t.Context()), Request{Key: claim.NewKey("w", "r", "k"), Run: func(context.Context) ([]byte, error) {
			close(running)
			<-release
			return []byte("answer"), nil
		}})
		result <- err
	}()
	<-running
	stopped := make(chan struct{})
	go func() {
		stop()
		close(stopped)
	}()
	select {
	case <-stopped:
		t.Fatal("Serve returned while a claimed request ran")
	case <-time.After(50 * time.Millisecond):
	}
	before, _ := platform.Calls()
	close(release)
	if err := <-result; err != nil {
		t.Errorf("got error %v, want the answer", err)
	}
	<-stopped
	if after, _ := platform.Calls(); after != before+1 {
		t.Errorf("got %d writes after the run, want 1 with the state of the claim", after-before)
	}
	_, err := c.Run(t.Context(), Request{Key: claim.NewKey("w", "r", "other")})
	if got, want := outcome.FromError(err).Code, outcome.CodeStopping; got != want || outcome.FromError(err).Outcome != outcome.NotRun {
		t.Errorf("got %v after the stop, want code %q and not run", err, want)
	}
}

// TestPanicIsUnknown checks that a panic in a run leaves the outcome of its key unknown, and that a repeated request does not
// run.
func TestPanicIsUnknown(t *testing.T) {
	c, _, _ := startClaims(t, "me")
	key := claim.NewKey("w", "r", "k")
	func() {
		defer func() { _ = recover() }()
		_, _ = c.Run(t.Context(), Request{Key: key, Run: func(context.Context) ([]byte, error) { panic("run") }})
	}()
	_, err := c.Run(t.Context(), Request{Key: key, Run: func(context.Context) ([]byte, error) {
		t.Error("got a second run, want none")
		return nil, nil
	}})
	if got, want := outcome.FromError(err).Outcome, outcome.Unknown; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}
