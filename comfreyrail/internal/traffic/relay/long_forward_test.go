package relay

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/fake/fakeservice"
)

// Guards against the answer to a request that is lost because another instance runs it for longer than a call between instances may
// take, although the route's timeout has not passed.
func TestForwardedRequestMayUseItsWholeTime(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	target, minter := f.start(), f.start()
	key, err := minter.Mint()
	if err != nil {
		t.Fatal(err)
	}
	f.service.SetFaults(fakeservice.Faults{Delay: 11 * time.Second})
	ctx, cancel := context.WithTimeout(t.Context(), f.route.Timeout())
	defer cancel()
	start := time.Now()
	_, err = target.Run(ctx, Request{
		ID: "call", Workspace: "w", Route: f.route, Method: http.MethodPost, Path: "/plain",
		Header: http.Header{fakeservice.CallHeader: {"call"}, KeyHeader: {key}}, Body: []byte("x"),
	})
	if err != nil {
		t.Errorf("got %v after %v, want the response within %v", err, time.Since(start).Round(time.Millisecond), f.route.Timeout())
	}
}
