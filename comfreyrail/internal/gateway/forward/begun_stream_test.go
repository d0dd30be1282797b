package forward

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/route"
)

// Guards against a stream that has begun being ended before its caller's timeout, in the time that is kept for a response that can no
// longer be sent.
func TestStreamThatHasBegunMayUseItsCallersWholeTime(t *testing.T) {
	const callerTimeout = time.Second
	endless := func(conn net.Conn, request *http.Request, _ int) {
		writeStreamHeader(conn, request)
		for id := 1; id < 1000; id++ {
			time.Sleep(5 * time.Millisecond)
			writeEvent(conn, id, strconv.Itoa(id))
		}
	}
	tests := []struct {
		name    string
		abandon time.Duration // of the route
	}{
		{"caller that waits for the first event", 0},
		{"caller that leaves without an event", callerTimeout / 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			modify := func(config *route.Config) {
				for i := range config.Routes {
					config.Routes[i].AbandonTime = test.abandon
				}
			}
			g := newGateway(t, modify, newServer(t, "one", endless))
			start := time.Now()
			response, err := post(context.Background(), t, g.url+"/single/", callerTimeout)
			if err != nil {
				t.Fatalf("got no response: %v", err)
			}
			_, err = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if got, want := time.Since(start), callerTimeout; err == nil || got < want {
				t.Errorf("got an end after %v (error %v), want the stream until its caller's timeout of %v", got, err, want)
			}
		})
	}
}
