package process

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
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

// Guards against limits that stay those of the first configuration: a caller within the header limits in force is refused, or its
// connection is closed without a response.
func TestHeaderLimitsFollowConfiguration(t *testing.T) {
	tests := []struct {
		name          string
		before, after route.Limits
		pause         time.Duration // in the middle of the headers
		padding       int           // bytes of headers
	}{
		{"larger headers", route.Limits{MaxHeaderBytes: 4 << 10}, route.Limits{MaxHeaderBytes: 64 << 10}, 0, 32 << 10},
		{"longer time", route.Limits{HeaderTimeout: 200 * time.Millisecond}, route.Limits{HeaderTimeout: 5 * time.Second}, 600 * time.Millisecond, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			address, change := startWithLimits(t, test.before, test.after)
			dialWhenListening(t, address)
			change()
			conn := dialWhenListening(t, address)
			_, _ = fmt.Fprint(conn, "GET / HTTP/1.1\r\n")
			time.Sleep(test.pause)
			_, _ = fmt.Fprintf(conn, "Host: none\r\nPadding: %s\r\n\r\n", strings.Repeat("x", test.padding))
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatalf("got no response: %v", err)
			}
			defer func() { _ = response.Body.Close() }()
			if got, want := response.StatusCode, http.StatusNotFound; got != want {
				t.Errorf("got status %d, want %d, that of an unknown route", got, want)
			}
		})
	}
}

// startWithLimits starts a CallerServer with a configuration without routes, and returns a function that changes its limits.
func startWithLimits(t *testing.T, before, after route.Limits) (address string, change func()) {
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
	var once sync.Once
	changed := make(chan struct{})
	cat := catalog.New(catalog.Config{
		Range: func(context.Context, string, string) (store.Page, error) {
			return store.Page{Items: []store.Item{{Key: "config", Value: []byte("before"), Revision: 1}}, Revision: 1}, nil
		},
		Watch: func(ctx context.Context, _ string, after uint64, wait time.Duration) (store.Changes, error) {
			if after >= 2 {
				time.Sleep(wait)
				return store.Changes{Revision: 2}, ctx.Err()
			}
			select {
			case <-changed:
				return store.Changes{Items: []store.Item{{Key: "config", Value: []byte("after"), Revision: 2}}, Revision: 2}, nil
			case <-time.After(wait):
				return store.Changes{Revision: 1}, ctx.Err()
			}
		},
		ConfigKey: "config",
		DecodeConfig: func(value []byte) (route.Config, error) {
			if string(value) == "after" {
				return route.Config{Version: 2, Limits: after}, nil
			}
			return route.Config{Version: 1, Limits: before}, nil
		},
		ServerID: func(string) (string, bool) { return "", false }, WatchInterval: 50 * time.Millisecond,
		Elapsed: func() time.Duration { return time.Since(began) }, Log: log,
	})
	go func() { _ = cat.Serve(t.Context()) }()
	forwarder := forward.New(forward.Config{
		Catalog: cat, ReadRequest: func(http.Header) call.Request { return call.Request{} },
		MaxConfigAge: time.Minute, MaxApplyDelay: time.Minute, Log: log, Metrics: metrics.NewRegistry(),
	})
	cfg := settings.DefaultGateway()
	cfg.Listen.Caller = address
	lease := placer.LeaseConfig{Log: log}
	server := NewCallerServer(cfg, cat, forwarder, placer.NewMembership(catalog.Instance{}, lease), placer.NewPlacer(placer.Config{Lease: lease}), new(invariant.Checker), metrics.NewRegistry(), log)
	go func() { _ = server.Serve(t.Context()) }()
	return address, func() {
		t.Helper()
		once.Do(func() { close(changed) })
		for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
			if index := cat.Snapshot().Index; index != nil && index.Config.Version == 2 {
				return
			}
		}
		t.Fatal("the configuration did not change")
	}
}
