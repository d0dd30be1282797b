package forward

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/route"
)

// slowListener is a listener of a process that must wait for the processor before it reads what has arrived.
type slowListener struct {
	net.Listener

	delay time.Duration
}

// Accept returns a connection whose first bytes are read after the delay.
func (l slowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &slowConn{Conn: conn, delay: l.delay}, nil
}

// slowConn is a connection of a slowListener.
type slowConn struct {
	net.Conn

	delay time.Duration
}

// Read waits once, and reads.
func (c *slowConn) Read(p []byte) (n int, err error) {
	time.Sleep(c.delay)
	c.delay = 0
	return c.Conn.Read(p)
}

// Guards against a request that gets neither a response nor a refusal because its bytes had waited for the processor, so that its caller
// leaves earlier than the time since the start of its handling says.
func TestRequestThatWaitedIsAnsweredBeforeItsCallerLeaves(t *testing.T) {
	const (
		callerTime = 2 * time.Second
		waited     = 35 * time.Millisecond
	)
	silent := func(conn net.Conn, _ *http.Request, _ int) { _, _ = conn.Read(make([]byte, 1)) }
	modify := func(config *route.Config) {
		for i := range config.Routes {
			config.Routes[i].Timeout = 20 * time.Second
			config.Routes[i].AbandonTime = callerTime
		}
	}
	tests := []struct {
		name, path string
		timeout    time.Duration // the caller's, for the whole response
	}{
		{"stream without an event", "/stream/", 20 * time.Second},
		{"stream that runs once without an event", "/single/", 20 * time.Second},
		{"plain request", "/safe/", callerTime},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			g := newGateway(t, modify, newServer(t, "one", silent), newServer(t, "two", silent))
			proxy := httptest.NewUnstartedServer(g.forwarder)
			proxy.Listener = slowListener{Listener: proxy.Listener, delay: waited}
			proxy.Start()
			t.Cleanup(proxy.Close)
			ctx, cancel := context.WithTimeout(context.Background(), callerTime)
			defer cancel()
			response, err := post(ctx, t, proxy.URL+test.path, test.timeout)
			if err != nil {
				t.Fatalf("got no response: %v", err)
			}
			_ = response.Body.Close()
			if got, want := response.StatusCode, http.StatusGatewayTimeout; got != want {
				t.Errorf("got status %d, want %d", got, want)
			}
		})
	}
}
