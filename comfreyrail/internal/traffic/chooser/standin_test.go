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
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/control/fakecontrol"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/control/probe"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/traffic/completion"
	"github.com/comfreyrail/comfreyrail/rail/chain"
	"github.com/comfreyrail/comfreyrail/rail/engine"
	"github.com/comfreyrail/comfreyrail/rail/fake/fakeengine"
	"github.com/comfreyrail/comfreyrail/rail/invariant"
	"github.com/comfreyrail/comfreyrail/rail/table"
)

// Sizes of the run on stand-in engines.
const (
	runStages    = 3
	runInstances = 3
	runSlots     = 4
	runTokens    = 20
	runTime      = 8 * time.Second
	runDeadline  = 10 * time.Second
)

// steps are the times of one batch at the engines of each stage; the bound is the sum of slots by step.
var steps = []time.Duration{8 * time.Millisecond, 16 * time.Millisecond, 32 * time.Millisecond}

// policy is a way to choose chains.
type policy struct {
	name   string
	choose chooserMaker
}

// chooserMaker returns the Choose and Track of one instance.
type chooserMaker func(instance int, state *control.Control) (chooseFunc, trackFunc)

type (
	chooseFunc func([]chain.Server, chain.Request) (chain.Plan, bool)
	trackFunc  func(string, chain.Plan) func()
)

// BenchmarkStandins compares ways to choose chains before stand-in engines of unequal speed with load 1 s late.
func BenchmarkStandins(b *testing.B) {
	policies := []policy{
		{"random", byStage(func(candidates []chain.Server, _ uint64) int { return rand.Intn(len(candidates)) })},
		{"roundrobin", byStage(func(candidates []chain.Server, number uint64) int { return int(number) % len(candidates) })},
		{"leastload", byStage(leastLoad)},
		{"picker", picked},
	}
	for _, share := range []float64{0.6, 0.85} {
		for _, one := range policies {
			b.Run(fmt.Sprintf("%.2f/%s", share, one.name), func(b *testing.B) {
				for b.Loop() {
					runStandins(b, one, share)
				}
			})
		}
	}
}

// byStage chooses a server for each stage by itself.
func byStage(pick func(candidates []chain.Server, number uint64) int) chooserMaker {
	return func(int, *control.Control) (chooseFunc, trackFunc) {
		var requests atomic.Uint64
		choose := func(servers []chain.Server, request chain.Request) (plan chain.Plan, ok bool) {
			plan.Version = "v1"
			number := requests.Add(1)
			for layer := 0; layer < request.Layers; {
				var candidates []chain.Server
				for _, server := range servers {
					if server.Usable && !request.Avoid[server.Name] && server.Status.First == layer {
						candidates = append(candidates, server)
					}
				}
				if len(candidates) == 0 {
					return chain.Plan{}, false
				}
				chosen := candidates[pick(candidates, number)]
				plan.Hops = append(plan.Hops, engine.Hop{Server: chosen.Name, Address: chosen.Address, First: layer, Last: chosen.Status.Last})
				layer = chosen.Status.Last
			}
			return plan, true
		}
		return choose, nil
	}
}

func leastLoad(candidates []chain.Server, _ uint64) int {
	least := 0
	for i, server := range candidates {
		if server.Status.Queue < candidates[least].Status.Queue {
			least = i
		}
	}
	return least
}

func picked(instance int, state *control.Control) (chooseFunc, trackFunc) {
	held := New(Config{Control: state, Name: fmt.Sprint(instance), Zone: "z", Now: time.Now, Seed: int64(instance), Checker: new(invariant.Checker)})
	return held.Choose, held.Track
}

// runStandins offers a share of the bound for a while and reports what was done of it.
func runStandins(b *testing.B, one policy, share float64) {
	b.Helper()
	tables, bound := startEngines(b)
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	runners := make([]*completion.Runner, 0, runInstances)
	for instance := range runInstances {
		runners = append(runners, startRunner(ctx, b, one, instance, tables))
	}
	var (
		tokens  atomic.Int64
		mu      sync.Mutex
		answers sync.WaitGroup
	)
	times := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	random := rand.New(rand.NewSource(1))
	end := time.Now().Add(runTime)
	for number := 0; time.Now().Before(end); number++ {
		time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) * runTokens / (share * bound)))
		answers.Go(func() {
			began := time.Now()
			call, stop := context.WithTimeout(ctx, runDeadline)
			defer stop()
			request := completion.Request{ID: fmt.Sprint(one.name, share, number), Route: table.Route{Pool: "model"}, Prompt: "p", MaxTokens: runTokens}
			_, err := runners[number%runInstances].Run(call, request, func(string) error {
				if time.Now().Before(end) {
					tokens.Add(1)
				}
				return nil
			})
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				_ = times.RecordValue(int64(runDeadline / time.Microsecond / runTokens))
				return
			}
			_ = times.RecordValue(time.Since(began).Microseconds() / runTokens)
		})
	}
	answers.Wait()
	b.ReportMetric(float64(tokens.Load())/runTime.Seconds()/bound, "share-of-bound")
	b.ReportMetric(float64(times.ValueAtQuantile(50))/1000, "p50-ms/token")
	b.ReportMetric(float64(times.ValueAtQuantile(95))/1000, "p95-ms/token")
}

// startEngines starts the stand-ins and returns tables of them and the bound in tokens per second.
func startEngines(b *testing.B) (tables *table.Tables, bound float64) {
	b.Helper()
	pool := table.Pool{Name: "model", Kind: table.ModelPool, Layers: 4 * runStages}
	for stage := range runStages {
		for i, step := range steps {
			name := fmt.Sprintf("%d%c", stage, 'a'+i)
			one := fakeengine.New(fakeengine.Config{
				Name: name, First: 4 * stage, Last: 4*stage + 4, Version: "v1", LayerTime: step / 4, Slots: runSlots, LoadLag: time.Second,
			})
			b.Cleanup(one.Close)
			server := httptest.NewServer(one)
			b.Cleanup(server.CloseClientConnections)
			pool.Servers = append(pool.Servers, table.Server{Name: name, Address: server.Listener.Addr().String(), Zone: "z"})
		}
	}
	for _, step := range steps {
		bound += runSlots / step.Seconds()
	}
	return &table.Tables{Generation: 1, Pools: []table.Pool{pool}}, bound
}

// startRunner starts one instance that shares nothing with the others.
func startRunner(ctx context.Context, b *testing.B, one policy, instance int, tables *table.Tables) *completion.Runner {
	b.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	log := logrus.NewEntry(logger)
	state := control.New(control.Config{Log: log, Checker: new(invariant.Checker), Observer: fmt.Sprint(instance)})
	go func() { _ = state.Serve(ctx) }()
	if err := fakecontrol.Install(ctx, state, tables); err != nil {
		b.Fatal(err)
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	prober := probe.New(probe.Config{Control: state, HTTP: client})
	go func() { _ = prober.Serve(ctx) }()
	for !state.Snapshot().Probed {
		time.Sleep(10 * time.Millisecond)
	}
	choose, track := one.choose(instance, state)
	return completion.New(completion.Config{
		Control: state, HTTP: client, Log: log, Zone: "z", Checker: new(invariant.Checker), Choose: choose, Track: track,
	})
}
