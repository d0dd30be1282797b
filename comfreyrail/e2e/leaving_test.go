package e2e

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/fake/fakeservice"
	"github.com/comfreyrail/comfreyrail/rail/kv"
	"github.com/comfreyrail/comfreyrail/rail/outcome"
)

// callInterval is the time between calls through each instance.
const callInterval = 10 * time.Millisecond

// callRecorder records the calls that a backend server receives, by the instance that sent them.
type callRecorder struct {
	mu       sync.Mutex
	lastCall map[string]time.Time // time of the last call, by name of the instance
	counts   map[string]int       // number of calls, by name of the instance
}

// wrap returns a handler that records each call before it passes it on.
func (c *callRecorder) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if from, _, ok := strings.Cut(r.Header.Get(fakeservice.CallHeader), "-"); ok {
			c.mu.Lock()
			c.lastCall[from] = time.Now()
			c.counts[from]++
			c.mu.Unlock()
		}
		next.ServeHTTP(w, r)
	})
}

// callsFrom returns the time of the last call that the instance sent, and the number of its calls.
func (c *callRecorder) callsFrom(from string) (last time.Time, count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastCall[from], c.counts[from]
}

// sendCalls makes plain calls through the instance until the context is done, and counts the calls with the outcome done.
func sendCalls(ctx context.Context, inst *instance, done *atomic.Int64) {
	ticker := time.NewTicker(callInterval)
	defer ticker.Stop()
	for n := 0; ctx.Err() == nil; n++ {
		<-ticker.C
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+inst.callerAddress+"/holds", strings.NewReader("x"))
		if err != nil {
			return
		}
		request.Header.Set(fakeservice.CallHeader, fmt.Sprintf("%s-%d", inst.name, n))
		if response, err := http.DefaultClient.Do(request); err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if response.Header.Get(outcome.Header) == string(outcome.Done) {
				done.Add(1)
			}
		}
	}
}

// TestServerDrain marks a plain service as leaving in each of the three sources: its own responses, the platform's list and the
// tables. It guards against instances that go on sending calls to the service, or that stop serving calls. One instance has
// no access to the platform's store, so that it gets the marks of the list and the tables only through its peers.
func TestServerDrain(t *testing.T) {
	f := newFleet(t, "comfreyrail", "comfreyctl")
	recorder := &callRecorder{lastCall: make(map[string]time.Time), counts: make(map[string]int)}
	tables := f.startBackends(func(name string, next http.Handler) http.Handler {
		if name == "plain0" {
			return recorder.wrap(next)
		}
		return next
	})
	for _, zone := range []string{"a", "b", "c"} {
		f.add(zone)
	}
	f.apply(tables)
	ctx, cancel := context.WithCancel(t.Context())
	var sending sync.WaitGroup
	done := make([]atomic.Int64, len(f.instances))
	for i, inst := range f.instances {
		sending.Go(func() { sendCalls(ctx, inst, &done[i]) })
	}
	t.Cleanup(sending.Wait)
	t.Cleanup(cancel)
	drain := func(query string) {
		response, err := http.Post("http://"+f.instances[0].adminAddress+"/pools/booking/servers/plain0/drain"+query, "application/json", nil)
		if err != nil || response.StatusCode != http.StatusOK {
			t.Fatalf("drain: %v %v", response, err)
		}
		_ = response.Body.Close()
	}
	setListed := func(leaving bool) {
		f.platform.SetInstances([]kv.ListEntry{{Name: "plain0", Leaving: leaving}, {Name: "plain1"}})
	}
	f.instances[2].platformProxy.outage.Store(true)
	sources := []struct {
		name        string
		leave, undo func()
	}{
		{"response", func() { f.services[0].SetLeaving(true) }, func() { f.services[0].SetLeaving(false) }},
		{"list", func() { setListed(true) }, func() { setListed(false) }},
		{"table", func() { drain("") }, func() { drain("?undo=true") }},
	}
	for _, source := range sources {
		for _, inst := range f.instances {
			_, before := recorder.callsFrom(inst.name)
			f.eventually(inst.name+" uses the server", func() bool { _, now := recorder.callsFrom(inst.name); return now > before })
		}
		began := time.Now()
		source.leave()
		for i, inst := range f.instances {
			// The condition holds once 20 more calls are done after the server has received none from the instance for
			// 100*callInterval.
			calls := done[i].Load()
			f.eventually(inst.name+" sends the server no calls after the mark in source "+source.name, func() bool {
				last, _ := recorder.callsFrom(inst.name)
				if time.Since(last) < 100*callInterval {
					calls = done[i].Load()
				}
				return done[i].Load() > calls+20
			})
		}
		for _, inst := range f.instances {
			last, _ := recorder.callsFrom(inst.name)
			t.Logf("source %s: last call from %s after %d ms", source.name, inst.name, last.Sub(began).Milliseconds())
		}
		source.undo()
	}
}

// TestStreamDuringDrain marks every engine of a stage as leaving in the middle of an answer. It guards against aborting the
// answer in progress, and against running a new request on engines that are leaving.
func TestStreamDuringDrain(t *testing.T) {
	f := newFleet(t, "comfreyrail", "comfreyctl")
	tables := f.startBackends(func(_ string, next http.Handler) http.Handler { return next })
	inst := f.add("a")
	f.apply(tables)
	complete := func(tokens int) (*http.Response, error) {
		body := fmt.Sprintf(`{"model":"exhibit","prompt":"p","max_tokens":%d,"stream":true}`, tokens)
		return http.Post("http://"+inst.callerAddress+"/v1/completions", "application/json", bytes.NewReader([]byte(body)))
	}
	response, err := complete(300)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	f.engines[0].SetLeaving(true)
	f.engines[1].SetLeaving(true)
	rest, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	if got := response.Trailer.Get(outcome.Header); got != string(outcome.Done) || !strings.Contains(string(rest), "[DONE]") {
		t.Errorf("the answer in progress ended with outcome %q, want %q: %.200s", got, outcome.Done, rest)
	}
	next, err := complete(1)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = next.Body.Close() }()
	if got := next.Header.Get(outcome.Header); got != string(outcome.NotRun) {
		t.Errorf("a request after the engines were marked as leaving has outcome %q, want %q", got, outcome.NotRun)
	}
}
