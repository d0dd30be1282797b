package claims

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/rail/claim"
	"github.com/comfreyrail/comfreyrail/rail/fake/fakekv"
	"github.com/comfreyrail/comfreyrail/rail/invariant"
	"github.com/comfreyrail/comfreyrail/rail/kv"
	"github.com/comfreyrail/comfreyrail/rail/member"
)

// loadDuration is the duration of each case.
const loadDuration = 3 * time.Second

// loadCase is one case of BenchmarkClaims: a fleet that receives rate calls per second, with random intervals between them.
type loadCase struct {
	noBatching bool
	instances  int
	shards     int
	rate       int
}

// BenchmarkClaims measures the latency that a claim adds to a call, with the default write and read limits of the
// platform's store; run it with -benchtime 1x.
func BenchmarkClaims(b *testing.B) {
	var cases []loadCase
	for _, rate := range []int{20, 50, 200, 400, 1000, 3000} {
		cases = append(cases, loadCase{true, 6, defaultShards, rate}, loadCase{false, 6, defaultShards, rate})
	}
	for _, shards := range []int{1, 4, 8, 64} {
		cases = append(cases, loadCase{false, 6, shards, 1000})
	}
	for _, instances := range []int{1, 9, 18} {
		cases = append(cases, loadCase{false, instances, defaultShards, 1000})
	}
	for _, l := range cases {
		b.Run(fmt.Sprintf("single=%t/instances=%d/shards=%d/rate=%d", l.noBatching, l.instances, l.shards, l.rate), func(b *testing.B) {
			for range b.N {
				l.measure(b)
			}
		})
	}
}

func (l loadCase) measure(b *testing.B) {
	platform := fakekv.New(fakekv.Config{})
	server := httptest.NewServer(platform)
	defer server.Close()
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	fleet := l.start(ctx, strings.TrimPrefix(server.URL, "http://"))
	var mu sync.Mutex
	var latencies []time.Duration
	failed := 0
	var running sync.WaitGroup
	began := time.Now()
	random := rand.New(rand.NewPCG(1, 1))
	for arrival := began; arrival.Sub(began) < loadDuration; {
		arrival = arrival.Add(time.Duration(random.ExpFloat64() / float64(l.rate) * float64(time.Second)))
		time.Sleep(time.Until(arrival))
		key, instance := claim.NewKey("w", "r", fmt.Sprint(random.Uint64())), fleet[random.IntN(len(fleet))]
		running.Go(func() {
			_, err := instance.Run(ctx, Request{Key: key, Run: func(context.Context) ([]byte, error) { return []byte("x"), nil }})
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed++
				return
			}
			latencies = append(latencies, time.Since(arrival))
		})
	}
	running.Wait()
	elapsed := time.Since(began).Seconds()
	writes, reads := platform.Calls()
	slices.Sort(latencies)
	b.ReportMetric(float64(len(latencies))/elapsed, "claims/s")
	b.ReportMetric(float64(writes)/elapsed, "writes/s")
	b.ReportMetric(float64(reads)/elapsed, "reads/s")
	b.ReportMetric(float64(len(latencies))/float64(max(1, writes)), "claims/write")
	b.ReportMetric(float64(failed)/elapsed, "refused/s")
	if len(latencies) > 0 {
		b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds())/1000, "p50-ms")
		b.ReportMetric(float64(latencies[len(latencies)*95/100].Microseconds())/1000, "p95-ms")
	}
}

// start starts the instances of the case and returns them.
func (l loadCase) start(ctx context.Context, address string) []*Claims {
	log := logrus.New()
	log.SetOutput(io.Discard)
	members := make([]member.Member, l.instances)
	var fleet []*Claims
	for i := range l.instances {
		instance := New(Config{
			Owner: fmt.Sprint(i), Store: &kv.Client{Address: address}, Members: func() []member.Member { return members },
			Checker: new(invariant.Checker), Log: logrus.NewEntry(log), Shards: l.shards, NoBatching: l.noBatching,
		})
		go func() { _ = instance.Serve(ctx) }()
		fleet = append(fleet, instance)
	}
	return fleet
}
