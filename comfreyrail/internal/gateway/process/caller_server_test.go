package process

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/catalog"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/forward"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/placer"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/settings"
	"github.com/comfreyrail/comfreyrail/rail/call"
	"github.com/comfreyrail/comfreyrail/rail/invariant"
	"github.com/comfreyrail/comfreyrail/rail/route"
	"github.com/comfreyrail/comfreyrail/rail/store"
)

// Times of the graceful shutdown in the tests.
const (
	testBalancerLag = 100 * time.Millisecond
	testIdleTimeout = 50 * time.Millisecond
	testStopTimeout = 5 * time.Second
)

// startCallerServer starts a CallerServer with a configuration that has no routes, and returns it with its address.
func startCallerServer(t *testing.T) (server *CallerServer, address string) {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	log := logrus.NewEntry(logger)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address = listener.Addr().String()
	_ = listener.Close()
	began := time.Now()
	cat := catalog.New(catalog.Config{
		Range: func(context.Context, string, string) (store.Page, error) {
			return store.Page{Items: []store.Item{{Key: "config", Revision: 1}}, Revision: 1}, nil
		},
		Watch: func(ctx context.Context, _ string, _ uint64, wait time.Duration) (store.Changes, error) {
			time.Sleep(wait)
			return store.Changes{Revision: 1}, ctx.Err()
		},
		ConfigKey: "config", DecodeConfig: func([]byte) (route.Config, error) { return route.Config{Version: 1}, nil },
		ServerID: func(string) (string, bool) { return "", false }, WatchInterval: 100 * time.Millisecond,
		Elapsed: func() time.Duration { return time.Since(began) }, Log: log,
	})
	go func() { _ = cat.Serve(t.Context()) }()
	forwarder := forward.New(forward.Config{
		Catalog: cat, ReadRequest: func(http.Header) call.Request { return call.Request{} },
		MaxConfigAge: time.Minute, MaxApplyDelay: time.Minute, Log: log, Metrics: metrics.NewRegistry(),
	})
	cfg := settings.DefaultGateway()
	cfg.Listen.Caller = address
	cfg.Stop = settings.Stop{
		BalancerLag: settings.Duration(testBalancerLag), IdleTimeout: settings.Duration(testIdleTimeout), Timeout: settings.Duration(testStopTimeout),
	}
	lease := placer.LeaseConfig{Log: log}
	server = NewCallerServer(cfg, cat, forwarder, placer.NewMembership(catalog.Instance{}, lease), placer.NewPlacer(placer.Config{Lease: lease}), new(invariant.Checker), metrics.NewRegistry(), log)
	go func() { _ = server.Serve(t.Context()) }()
	return server, address
}

// dialWhenListening opens a connection once the server listens.
func dialWhenListening(t *testing.T, address string) net.Conn {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if conn, err := net.Dial("tcp", address); err == nil {
			t.Cleanup(func() { _ = conn.Close() })
			return conn
		}
	}
	t.Fatal("the server does not listen")
	return nil
}

// Guards against a request that is read and dropped without a response because it arrives while a stop ends its idle connection:
// its caller cannot know that it was not run.
func TestRequestOnEndingConnectionIsAnswered(t *testing.T) {
	server, address := startCallerServer(t)
	conn := dialWhenListening(t, address)
	reader := bufio.NewReader(conn)
	send := func() { _, _ = fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: none\r\n\r\n") }
	read := func() (response *http.Response) {
		t.Helper()
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("got no response: %v", err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		return response
	}
	send()
	if got, want := read().StatusCode, http.StatusNotFound; got != want {
		t.Fatalf("got status %d before the stop, want %d", got, want)
	}
	server.server.Stop()
	// The response that ends the connection arrives without a request.
	_ = conn.SetReadDeadline(time.Now().Add(testStopTimeout))
	if _, err := reader.Peek(1); err != nil {
		t.Fatalf("the connection is not ended: %v", err)
	}
	send()
	response := read()
	if got, want := response.StatusCode, http.StatusRequestTimeout; got != want {
		t.Errorf("got status %d, want %d", got, want)
	}
	if !response.Close {
		t.Error("the response lets the caller reuse the connection")
	}
}
