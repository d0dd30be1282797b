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

// Times of the stops in the tests.
const (
	testLag  = 300 * time.Millisecond
	testIdle = 200 * time.Millisecond
)

const testFarewell = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 6\r\n\r\nnotrun"

// instance is a Server under test.
type instance struct {
	*Server

	address string
	ready   atomic.Bool
	served  chan error
}

func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func start(t *testing.T, limit time.Duration, handler http.HandlerFunc) *instance {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	i := &instance{address: freeAddress(t), served: make(chan error, 1)}
	i.ready.Store(true)
	i.Server = New(Config{
		Listen: i.address, NewHTTPServer: func() *http.Server { return &http.Server{ReadHeaderTimeout: time.Second} }, Handler: handler,
		Refuse:        func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "notrun", http.StatusServiceUnavailable) },
		CloseResponse: []byte(testFarewell), SetUnready: func(context.Context) { i.ready.Store(false) },
		Stop: stop.Config{BalancerLag: testLag, IdleTimeout: testIdle, Timeout: limit}, Log: logrus.NewEntry(log),
	})
	go func() { i.served <- i.Serve(t.Context()) }()
	for {
		probe, err := net.Dial("tcp", i.address)
		if err == nil {
			_ = probe.Close()
			return i
		}
		time.Sleep(time.Millisecond)
	}
}

// ending reports whether the instance is ending an idle connection.
func (i *instance) ending() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, c := range i.conns {
		if c.over.Load() {
			return true
		}
	}
	return false
}

// answer answers with the body of the request, some answers in slow parts.
func answer(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	for _, part := range body {
		_, _ = w.Write([]byte{part})
		if len(body)%3 == 0 {
			_ = http.NewResponseController(w).Flush()
			time.Sleep(5 * time.Millisecond)
		}
	}
}

// call sends a request that net/http cannot repeat and returns what is wrong with the answer.
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

func TestRollingStop(t *testing.T) {
	instances := []*instance{start(t, time.Minute, answer), start(t, time.Minute, answer)}
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
					t.Errorf("a caller saw %v", err)
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
	if cut := instances[0].CutRequests(); len(cut) > 0 {
		t.Errorf("the stop cut %v, want none", cut)
	}
}

// TestIdleConnection sends a request on a connection at the time that the instance ends it.
func TestIdleConnection(t *testing.T) {
	served := make(chan struct{}, 2)
	i := start(t, time.Minute, func(w http.ResponseWriter, r *http.Request) {
		served <- struct{}{}
		answer(w, r)
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
	for !i.ending() {
		time.Sleep(time.Millisecond)
	}
	if _, err = io.WriteString(connection, request); err != nil {
		t.Fatalf("the connection was reset: %v", err)
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatalf("the caller has no answer: %v", err)
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

// TestStopEnds checks what a stop waits for and what it cuts.
func TestStopEnds(t *testing.T) {
	tests := []struct {
		name  string
		limit time.Duration
		asks  int
		cut   int
	}{
		{"request ends in time", time.Minute, 1, 0},
		{"request lasts to the limit", 2 * (testLag + testIdle), 1, 1},
		{"asked twice", time.Minute, 2, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			begun, finish := make(chan struct{}), make(chan struct{})
			i := start(t, test.limit, func(w http.ResponseWriter, r *http.Request) {
				close(begun)
				<-finish
				answer(w, r)
			})
			seen := make(chan error, 1)
			go func() { seen <- call(context.Background(), http.DefaultClient, i.address, "whole") }()
			<-begun
			for range test.asks {
				i.Stop()
			}
			if test.cut == 0 {
				time.AfterFunc(testLag+2*testIdle, func() { close(finish) })
			} else {
				defer close(finish)
			}
			<-i.Stopped()
			if got := len(i.CutRequests()); got != test.cut {
				t.Errorf("cut %d requests, want %d", got, test.cut)
			}
			if err := <-seen; (err != nil) != (test.cut > 0) {
				t.Errorf("the caller saw %v, want a cut: %t", err, test.cut > 0)
			}
			if got := <-i.served; !errors.Is(got, suture.ErrDoNotRestart) {
				t.Errorf("Serve returned %v, want %v", got, suture.ErrDoNotRestart)
			}
		})
	}
}
