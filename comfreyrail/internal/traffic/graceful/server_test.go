package graceful

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"

	"github.com/comfreyrail/comfreyrail/rail/stop"
)

// Timeouts of the graceful shutdown in the tests.
const (
	testBalancerLag = 300 * time.Millisecond
	testIdleTimeout = 200 * time.Millisecond
)

const testCloseResponse = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 6\r\n\r\nnotrun"

// instance is a Server under test.
type instance struct {
	*Server

	address  string
	ready    atomic.Bool
	serveErr chan error
}

// freeAddress returns a local address with a free port.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// start starts an instance with the timeout of its shutdown and waits until it accepts connections.
func start(t *testing.T, timeout time.Duration, handler http.HandlerFunc) *instance {
	t.Helper()
	return startStop(t, stop.Config{BalancerLag: testBalancerLag, IdleTimeout: testIdleTimeout, Timeout: timeout}, handler)
}

// startStop starts an instance that stops as configured and waits until it accepts connections.
func startStop(t *testing.T, config stop.Config, handler http.HandlerFunc) *instance {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	i := &instance{address: freeAddress(t), serveErr: make(chan error, 1)}
	i.ready.Store(true)
	i.Server = New(Config{
		Listen: i.address, NewHTTPServer: func() *http.Server { return &http.Server{ReadHeaderTimeout: time.Second} }, Handler: handler,
		Refuse:        func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "notrun", http.StatusServiceUnavailable) },
		Panicked:      func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "panicked", http.StatusBadGateway) },
		CloseResponse: []byte(testCloseResponse), SetUnready: func(context.Context) { i.ready.Store(false) },
		Stop: config, Log: logrus.NewEntry(log),
	})
	go func() { i.serveErr <- i.Serve(t.Context()) }()
	for {
		probe, err := net.Dial("tcp", i.address)
		if err == nil {
			_ = probe.Close()
			return i
		}
		time.Sleep(time.Millisecond)
	}
}

// hasEndedConn reports whether the instance is ending an idle connection.
func (i *instance) hasEndedConn() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, c := range i.conns {
		if c.ended.Load() {
			return true
		}
	}
	return false
}

// echo responds with the body of the request byte by byte, and slowly if its length is a multiple of 3.
func echo(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	for _, part := range body {
		_, _ = w.Write([]byte{part})
		if len(body)%3 == 0 {
			_ = http.NewResponseController(w).Flush()
			time.Sleep(5 * time.Millisecond)
		}
	}
}

// call sends a request that net/http cannot repeat. It returns an error unless the response is the body of the request
// or reports that the request was not run.
func call(ctx context.Context, client *http.Client, address, body string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address, bytes.NewReader([]byte(body)))
	if err != nil {
		return err
	}
	request.GetBody = nil
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	got, err := io.ReadAll(response.Body)
	if err == nil && string(got) != body && !strings.HasPrefix(string(got), "notrun") {
		err = fmt.Errorf("got %q, want %q", got, body)
	}
	return err
}

// TestRollingStop checks that each call gets its whole response or one that reports that it was not run, while one of
// two instances shuts down under load, and that the shutdown aborts no request.
func TestRollingStop(t *testing.T) {
	instances := []*instance{start(t, time.Minute, echo), start(t, time.Minute, echo)}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var calls, failures atomic.Int64
	var callers sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	for n := range 20 {
		callers.Go(func() {
			for ctx.Err() == nil {
				target := instances[rand.IntN(2)]
				if !target.ready.Load() {
					continue
				}
				calls.Add(1)
				if err := call(context.WithoutCancel(ctx), client, target.address, strings.Repeat("x", 1+n)); err != nil {
					failures.Add(1)
					t.Errorf("call failed: %v", err)
				}
				time.Sleep(time.Duration(rand.IntN(30)) * time.Millisecond)
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	instances[0].Stop()
	<-instances[0].Stopped()
	time.Sleep(100 * time.Millisecond)
	cancel()
	callers.Wait()
	t.Logf("%d calls, %d failed", calls.Load(), failures.Load())
	if aborted := instances[0].AbortedRequests(); len(aborted) > 0 {
		t.Errorf("the shutdown aborted %v, want none", aborted)
	}
}

// TestIdleConnection checks that a request sent while the instance ends its idle connection gets status 408 and doesn't run.
//
// Without this, the caller would see a reset and could not know whether the request ran.
func TestIdleConnection(t *testing.T) {
	served := make(chan struct{}, 2)
	i := start(t, time.Minute, func(w http.ResponseWriter, r *http.Request) {
		served <- struct{}{}
		echo(w, r)
	})
	connection, err := net.Dial("tcp", i.address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	const request = "POST / HTTP/1.1\r\nHost: test\r\nContent-Length: 1\r\n\r\nx"
	reader := bufio.NewReader(connection)
	if _, err = io.WriteString(connection, request); err != nil {
		t.Fatal(err)
	}
	if _, err = http.ReadResponse(reader, nil); err != nil {
		t.Fatal(err)
	}
	if _, err = reader.Discard(1); err != nil {
		t.Fatal(err)
	}
	i.Stop()
	for !i.hasEndedConn() {
		time.Sleep(time.Millisecond)
	}
	if _, err = io.WriteString(connection, request); err != nil {
		t.Fatalf("the connection was reset: %v", err)
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatalf("the caller got no response: %v", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusRequestTimeout {
		t.Errorf("status = %d, want %d", response.StatusCode, http.StatusRequestTimeout)
	}
	if got := len(served); got != 1 {
		t.Errorf("%d requests were served, want 1", got)
	}
	_ = connection.Close()
	<-i.Stopped()
}

// Guards against a reset of a request that is in flight on an idle connection when the instance exits at the stop timeout.
func TestIdleConnectionGetsResponseBeforeExit(t *testing.T) {
	i := startStop(t, stop.Config{IdleTimeout: time.Minute, Timeout: time.Second}, echo)
	connection, err := net.Dial("tcp", i.address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	if _, err = io.WriteString(connection, "POST / HTTP/1.1\r\nHost: test\r\nContent-Length: 1\r\n\r\nx"); err != nil {
		t.Fatal(err)
	}
	reader := bufio.NewReader(connection)
	readStatus := func(want int) {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("got no response: %v, want status %d", err, want)
		}
		if _, err = io.Copy(io.Discard, response.Body); err != nil {
			t.Fatal(err)
		}
		if response.StatusCode != want {
			t.Errorf("got status %d, want %d", response.StatusCode, want)
		}
	}
	readStatus(http.StatusOK)
	i.Stop()
	readStatus(http.StatusRequestTimeout)
	_ = connection.Close()
	<-i.Stopped()
}

// TestStopEnds checks which requests a shutdown waits for and which it aborts.
func TestStopEnds(t *testing.T) {
	tests := []struct {
		name        string
		timeout     time.Duration
		stopCalls   int
		wantAborted int
	}{
		{"request ends in time", time.Minute, 1, 0},
		{"request exceeds the timeout", 2 * (testBalancerLag + testIdleTimeout), 1, 1},
		{"stopped twice", time.Minute, 2, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			begun, release := make(chan struct{}), make(chan struct{})
			i := start(t, test.timeout, func(w http.ResponseWriter, r *http.Request) {
				close(begun)
				<-release
				echo(w, r)
			})
			callErr := make(chan error, 1)
			go func() { callErr <- call(context.Background(), http.DefaultClient, i.address, "whole") }()
			<-begun
			for range test.stopCalls {
				i.Stop()
			}
			if test.wantAborted == 0 {
				time.AfterFunc(testBalancerLag+2*testIdleTimeout, func() { close(release) })
			} else {
				defer close(release)
			}
			<-i.Stopped()
			if got := len(i.AbortedRequests()); got != test.wantAborted {
				t.Errorf("aborted %d requests, want %d", got, test.wantAborted)
			}
			if err := <-callErr; (err != nil) != (test.wantAborted > 0) {
				t.Errorf("call returned %v, want an error: %t", err, test.wantAborted > 0)
			}
			if got := <-i.serveErr; !errors.Is(got, suture.ErrDoNotRestart) {
				t.Errorf("Serve returned %v, want %v", got, suture.ErrDoNotRestart)
			}
		})
	}
}
