package chooser

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/control"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/control/controltest"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/control/probe"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/traffic/completion"
	"github.com/comfreyrail/comfreyrail/rail/chain"
	"github.com/comfreyrail/comfreyrail/rail/engine"
	"github.com/comfreyrail/comfreyrail/rail/fake/fakeengine"
	"github.com/comfreyrail/comfreyrail/rail/invariant"
	"github.com/comfreyrail/comfreyrail/rail/table"
)

// Parameters of the benchmark on stand-in engines; benchSlots is for each engine and benchTokens for each answer.
const (
	benchStages    = 3
	benchInstances = 3
	benchSlots     = 4
	benchTokens    = 20
	benchDuration  = 8 * time.Second
	benchTimeout   = 10 * time.Second
)

// batchTimes holds the time of one batch at each of the three engines of a stage. An engine generates at most benchSlots
// tokens in one batch; the maximum rate of the pool is the sum, over the engines of a stage, of benchSlots divided by the
// batch time.
var batchTimes = []time.Duration{8 * time.Millisecond, 16 * time.Millisecond, 32 * time.Millisecond}

// policy is a named way to choose chains.
type policy struct {
	name   string
	choose policyFunc
}

// policyFunc returns the functions for ChooseChain and Track of completion.Config for one instance.
type policyFunc func(instance int, state *control.Control) (chooseFunc, trackFunc)

// Types of completion.Config.ChooseChain and completion.Config.Track.
type (
	chooseFunc func([]chain.Server, chain.Request) (chain.Chain, bool)
	trackFunc  func(string, chain.Chain) func()
)

// BenchmarkStandins compares policies for choosing chains of stand-in engines of unequal speed, whose load reports are 1 s
// old.
func BenchmarkStandins(b *testing.B) {
	policies := []policy{
		{"random", perStage(func(candidates []chain.Server, _ uint64) int { return rand.Intn(len(candidates)) })},
		{"roundrobin", perStage(func(candidates []chain.Server, number uint64) int { return int(number) % len(candidates) })},
		{"leastload", perStage(leastLoad)},
		{"picker", chooserPolicy},
	}
	for _, load := range []float64{0.6, 0.85} {
		for _, p := range policies {
			b.Run(fmt.Sprintf("%.2f/%s", load, p.name), func(b *testing.B) {
				for b.Loop() {
					runStandins(b, p, load)
				}
			})
		}
	}
}

// perStage returns a policy that chooses the server of each stage independently, and tracks no requests.
func perStage(pick func(candidates []chain.Server, number uint64) int) policyFunc {
	return func(int, *control.Control) (chooseFunc, trackFunc) {
		var requests atomic.Uint64
		choose := func(servers []chain.Server, request chain.Request) (built chain.Chain, ok bool) {
			built.Version = "v1"
			number := requests.Add(1)
			for layer := 0; layer < request.Layers; {
				var candidates []chain.Server
				for _, server := range servers {
					if server.Usable && !request.Avoid[server.Name] && server.Status.First == layer {
						candidates = append(candidates, server)
					}
				}
				if len(candidates) == 0 {
					return chain.Chain{}, false
				}
				chosen := candidates[pick(candidates, number)]
				built.Stages = append(built.Stages, engine.Stage{
					Server: chosen.Name, Address: chosen.Address, First: layer, Last: chosen.Status.Last,
				})
				layer = chosen.Status.Last
			}
			return built, true
		}
		return choose, nil
	}
}

// leastLoad returns the index of the candidate with the shortest reported queue.
func leastLoad(candidates []chain.Server, _ uint64) int {
	least := 0
	for i, server := range candidates {
		if server.Status.Queue < candidates[least].Status.Queue {
			least = i
		}
	}
	return least
}

// chooserPolicy is the policy that uses a Chooser.
func chooserPolicy(instance int, state *control.Control) (chooseFunc, trackFunc) {
	c := New(Config{Control: state, Name: fmt.Sprint(instance), Zone: "z", Now: time.Now, Seed: int64(instance), Checker: new(invariant.Checker)})
	return c.ChooseChain, c.Track
}

// runStandins sends requests for benchDuration; load is their rate as a fraction of the maximum rate of the pool. It
// reports the achieved rate as a fraction of the maximum rate, and percentiles of the time per token. A failed request
// counts as one that took benchTimeout.
func runStandins(b *testing.B, p policy, load float64) {
	b.Helper()
	tables, maxRate := startEngines(b)
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	runners := make([]*completion.Runner, 0, benchInstances)
	for instance := range benchInstances {
		runners = append(runners, startRunner(ctx, b, p, instance, tables))
	}
	var (
		tokens   atomic.Int64
		mu       sync.Mutex
		requests sync.WaitGroup
	)
	latencies := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	random := rand.New(rand.NewSource(1))
	end := time.Now().Add(benchDuration)
	for number := 0; time.Now().Before(end); number++ {
		time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) * benchTokens / (load * maxRate)))
		requests.Go(func() {
			start := time.Now()
			callCtx, cancelCall := context.WithTimeout(ctx, benchTimeout)
			defer cancelCall()
			request := completion.Request{ID: fmt.Sprint(p.name, load, number), Route: table.Route{Pool: "model"}, Prompt: "p", MaxTokens: benchTokens}
			_, err := runners[number%benchInstances].Run(callCtx, request, func(string) error {
				if time.Now().Before(end) {
					tokens.Add(1)
				}
				return nil
			})
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				_ = latencies.RecordValue(int64(benchTimeout / time.Microsecond / benchTokens))
				return
			}
			_ = latencies.RecordValue(time.Since(start).Microseconds() / benchTokens)
		})
	}
	requests.Wait()
	b.ReportMetric(float64(tokens.Load())/benchDuration.Seconds()/maxRate, "share-of-bound")
	b.ReportMetric(float64(latencies.ValueAtQuantile(50))/1000, "p50-ms/token")
	b.ReportMetric(float64(latencies.ValueAtQuantile(95))/1000, "p95-ms/token")
}

// startEngines starts the stand-in engines and returns tables with them and their maximum rate in tokens per second.
func startEngines(b *testing.B) (tables *table.Tables, maxRate float64) {
	b.Helper()
	pool := table.Pool{Name: "model", Kind: table.ModelPool, Layers: 4 * benchStages}
	for stage := range benchStages {
		for i, batchTime := range batchTimes {
			name := fmt.Sprintf("%d%c", stage, 'a'+i)
			engineServer := fakeengine.New(fakeengine.Config{
				Name: name, First: 4 * stage, Last: 4*stage + 4, Version: "v1", LayerTime: batchTime / 4, Slots: benchSlots, LoadLag: time.Second,
			})
			b.Cleanup(engineServer.Close)
			server := httptest.NewServer(engineServer)
			b.Cleanup(server.CloseClientConnections)
			pool.Servers = append(pool.Servers, table.Server{Name: name, Address: server.Listener.Addr().String(), Zone: "z"})
		}
	}
	for _, batchTime := range batchTimes {
		maxRate += benchSlots / batchTime.Seconds()
	}
	return &table.Tables{Generation: 1, Pools: []table.Pool{pool}}, maxRate
}

// startRunner starts the control goroutine and the prober of one instance and returns its Runner. Instances share no state.
func startRunner(ctx context.Context, b *testing.B, p policy, instance int, tables *table.Tables) *completion.Runner {
	b.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	log := logrus.NewEntry(logger)
	state := control.New(control.Config{Log: log, Checker: new(invariant.Checker), Observer: fmt.Sprint(instance)})
	go func() { _ = state.Serve(ctx) }()
	if err := controltest.Install(ctx, state, tables); err != nil {
		b.Fatal(err)
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	prober := probe.New(probe.Config{Control: state, HTTP: client})
	go func() { _ = prober.Serve(ctx) }()
	for !state.Snapshot().Probed {
		time.Sleep(10 * time.Millisecond)
	}
	choose, track := p.choose(instance, state)
	return completion.New(completion.Config{
		Control: state, HTTP: client, Log: log, Zone: "z", Checker: new(invariant.Checker), ChooseChain: choose, Track: track,
	})
}
