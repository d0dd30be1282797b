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

// callInterval is the time between the calls through each process.
const callInterval = 10 * time.Millisecond

// watcher notes the new work that a backend server gets, by the process that sends it.
type watcher struct {
	mu   sync.Mutex
	last map[string]time.Time
	all  map[string]int
}

func (w *watcher) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		if from, _, ok := strings.Cut(r.Header.Get(fakeservice.CallHeader), "-"); ok {
			w.mu.Lock()
			w.last[from] = time.Now()
			w.all[from]++
			w.mu.Unlock()
		}
		next.ServeHTTP(out, r)
	})
}

// seen returns when the process last sent work, and how much it has sent.
func (w *watcher) seen(from string) (last time.Time, count int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.last[from], w.all[from]
}

// send makes plain calls through the process until the context ends.
func send(ctx context.Context, p *process, done *atomic.Int64) {
	ticker := time.NewTicker(callInterval)
	defer ticker.Stop()
	for n := 0; ctx.Err() == nil; n++ {
		<-ticker.C
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.caller+"/holds", strings.NewReader("x"))
		if err != nil {
			return
		}
		request.Header.Set(fakeservice.CallHeader, fmt.Sprintf("%s-%d", p.name, n))
		if response, err := http.DefaultClient.Do(request); err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if response.Header.Get(outcome.Header) == string(outcome.Done) {
				done.Add(1)
			}
		}
	}
}

// TestLeavingServer makes a plain service leave by each sign, with one process cut off from the platform's service.
func TestLeavingServer(t *testing.T) {
	f := newFleet(t, "comfreyrail", "comfreyctl")
	leaving := &watcher{last: make(map[string]time.Time), all: make(map[string]int)}
	tables := f.tables(func(name string, next http.Handler) http.Handler {
		if name == "plain0" {
			return leaving.wrap(next)
		}
		return next
	})
	for _, zone := range []string{"a", "b", "c"} {
		f.add(zone)
	}
	f.apply(tables)
	ctx, cancel := context.WithCancel(t.Context())
	var sending sync.WaitGroup
	done := make([]atomic.Int64, len(f.processes))
	for i, p := range f.processes {
		sending.Go(func() { send(ctx, p, &done[i]) })
	}
	t.Cleanup(sending.Wait)
	t.Cleanup(cancel)
	drain := func(query string) {
		response, err := http.Post("http://"+f.processes[0].admin+"/pools/booking/servers/plain0/drain"+query, "application/json", nil)
		if err != nil || response.StatusCode != http.StatusOK {
			t.Fatalf("drain: %v %v", response, err)
		}
		_ = response.Body.Close()
	}
	listed := func(is bool) {
		f.platform.SetInstances([]kv.ListEntry{{Name: "plain0", Leaving: is}, {Name: "plain1"}})
	}
	f.processes[2].gate.shut.Store(true)
	signs := []struct {
		name        string
		leave, back func()
	}{
		{"answer", func() { f.services[0].SetLeaving(true) }, func() { f.services[0].SetLeaving(false) }},
		{"list", func() { listed(true) }, func() { listed(false) }},
		{"table", func() { drain("") }, func() { drain("?undo=true") }},
	}
	for _, sign := range signs {
		for _, p := range f.processes {
			_, before := leaving.seen(p.name)
			f.eventually(p.name+" uses the server", func() bool { _, now := leaving.seen(p.name); return now > before })
		}
		began := time.Now()
		sign.leave()
		for i, p := range f.processes {
			calls := done[i].Load()
			f.eventually(p.name+" gives the server no new work by the sign "+sign.name, func() bool {
				last, _ := leaving.seen(p.name)
				if time.Since(last) < 100*callInterval {
					calls = done[i].Load()
				}
				return done[i].Load() > calls+20
			})
		}
		for _, p := range f.processes {
			last, _ := leaving.seen(p.name)
			t.Logf("sign %s: last new work from %s after %d ms", sign.name, p.name, last.Sub(began).Milliseconds())
		}
		sign.back()
	}
}

// TestWorkInProgress makes every engine of a stage leave in the middle of an answer.
func TestWorkInProgress(t *testing.T) {
	f := newFleet(t, "comfreyrail", "comfreyctl")
	tables := f.tables(func(_ string, next http.Handler) http.Handler { return next })
	p := f.add("a")
	f.apply(tables)
	ask := func(tokens int) (*http.Response, error) {
		body := fmt.Sprintf(`{"model":"exhibit","prompt":"p","max_tokens":%d,"stream":true}`, tokens)
		return http.Post("http://"+p.caller+"/v1/completions", "application/json", bytes.NewReader([]byte(body)))
	}
	response, err := ask(300)
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
		t.Errorf("the answer in progress ends with outcome %q, want %q: %.200s", got, outcome.Done, rest)
	}
	next, err := ask(1)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = next.Body.Close() }()
	if got := next.Header.Get(outcome.Header); got != string(outcome.NotRun) {
		t.Errorf("a request after the engines left has outcome %q, want %q", got, outcome.NotRun)
	}
}
