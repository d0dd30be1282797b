package forward

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/backend"
	"github.com/comfreyrail/comfreyrail/rail/poison"
	"github.com/comfreyrail/comfreyrail/rail/route"
)

// Guards against a resumed stream that gets neither a response nor a refusal because its caller leaves while its engine, which has ended
// a response without length, chunks and events, is probed.
func TestResumedStreamIsAnsweredDespiteProbe(t *testing.T) {
	const callerTime = 400 * time.Millisecond
	endsLate := func(conn net.Conn, request *http.Request, _ int) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Type: text/event-stream\r\n\r\n", request.Header.Get("Id"))
		time.Sleep(callerTime - 60*time.Millisecond)
		_ = conn.Close()
	}
	lateEnd := func(context.Context, backend.Server, poison.Request, bool) (crashed bool) {
		time.Sleep(150 * time.Millisecond)
		return false
	}
	one := newServer(t, "one", endsLate)
	one.card = "card"
	g := newGatewayWith(t, gatewayOptions{ended: lateEnd, config: func(config *route.Config) {
		useEngines(config)
		stream := &config.Routes[2]
		stream.MaxAttempts, stream.GapTarget, stream.LatencyTarget = 1, time.Minute, time.Minute
	}}, one)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, g.url+"/stream/", strings.NewReader("question"))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Id", "r1")
	request.Header.Set("Prefix", "shared,own")
	request.Header.Set("Last-Event-Id", "5")
	request.Header.Set("Timeout", "400")
	start := time.Now()
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if took := time.Since(start); took >= callerTime {
		t.Errorf("got status %d after %v, want a response within %v", response.StatusCode, took, callerTime)
	}
}
