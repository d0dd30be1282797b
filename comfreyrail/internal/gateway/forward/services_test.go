package forward

import (
	"context"
	"errors"
	"fmt"
	"math"
	"sync/atomic"
	"testing"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/backend"
	"github.com/comfreyrail/comfreyrail/rail/headroom"
	"github.com/comfreyrail/comfreyrail/rail/pipeline"
	"github.com/comfreyrail/comfreyrail/rail/route"
)

// newTwoServices returns a Forwarder with two model services of four engines each, in two availability zones.
func newTwoServices(t *testing.T, probes *atomic.Int32) (*Forwarder, [][]backend.Server) {
	t.Helper()
	f := New(Config{
		Catalog: newCatalog(t, &gateway{}, route.Config{Version: 1}, newSharedStore(nil)), Log: discardLog(),
		PeerUsage: func(time.Time) func(string) (pipeline.Usage, bool) {
			return func(string) (pipeline.Usage, bool) { return pipeline.Usage{}, true }
		},
		FetchState: func(context.Context, backend.Server) (backend.State, error) {
			probes.Add(1)
			return backend.State{}, errors.New("no response")
		},
	})
	var services [][]backend.Server
	for _, name := range []string{"large", "small"} {
		var servers []backend.Server
		for i := range 4 {
			servers = append(servers, backend.Server{
				ID: fmt.Sprintf("%s%d", name, i), Address: fmt.Sprintf("%s%d:1", name, i), Service: name, Card: "card",
				Zone: []string{"a", "b"}[i%2], Layers: backend.Range{From: 2 * i, To: 2*i + 2},
			})
		}
		chooser := pipeline.New(pipeline.Config{})
		chooser.SetEngines(twoServicesSpec(), servers, 1)
		f.selector.engines[name] = &serviceEngines{chooser: chooser, limiter: headroom.New(headroomConfig)}
		services = append(services, servers)
	}
	return f, services
}

func twoServicesSpec() *backend.EngineSpec {
	return &backend.EngineSpec{
		Layers: 8, LayerMB: 100, KVTokenBytes: 8 << 20, StepsPerPass: 1, StepTime: time.Millisecond, ActivationBytes: 1 << 20, ZoneMbps: 1000,
		Cards: []backend.Card{{Name: "card", MemoryMB: 1000, DecodeFactor: 1, PrefillFactor: 1}},
	}
}

// Guards against the probes of two model services together exceeding the permits, and against the panic that followed from
// a negative number of them.
func TestProbesOfAllServicesShareThePermits(t *testing.T) {
	var probes atomic.Int32
	f, services := newTwoServices(t, &probes)
	for _, servers := range services {
		for _, server := range servers {
			f.selector.probeFailed(server)
		}
	}
	time.Sleep(500 * time.Millisecond) // failed engines are probed again after a while
	p := NewProber(f)
	p.permits = 2.8 - slownessProbeRate*slownessProbeInterval.Seconds()
	for range 2 {
		p.probeNext(context.Background())
		if p.permits < 0 {
			t.Errorf("got %v permits left, want none below zero", p.permits)
		}
	}
	p.inFlight.Wait()
	if got, want := int(probes.Load()), int(2.8+slownessProbeRate*slownessProbeInterval.Seconds()); got > want {
		t.Errorf("got %d probes, want at most %d", got, want)
	}
}

// Guards against the load that one service puts on a link between availability zones replacing that of another in what
// the other instances are told: the link is shared.
func TestUsageOfSharedLinksIsSummed(t *testing.T) {
	f, _ := newTwoServices(t, new(atomic.Int32))
	request := pipeline.Request{PromptTokens: 100, OutputTokens: 10}
	want := make(map[string]float64)
	for _, engines := range f.selector.engines {
		chain, ok := engines.chooser.Choose(time.Now(), request)
		if !ok {
			t.Fatal("got no chain, want one")
		}
		engines.chooser.Started(time.Now(), chain, request)
		for id, usage := range engines.chooser.Usage(time.Now()) {
			want[id] += usage.WorkRate
		}
	}
	for id, usage := range f.Usage() {
		if math.Abs(usage.WorkRate-want[id]) > want[id]/10 {
			t.Errorf("%s: got a work rate of %v, want %v", id, usage.WorkRate, want[id])
		}
	}
}

// One service that has no memory left must not keep requests from another.
func TestOverloadedServiceLeavesTheOtherAlone(t *testing.T) {
	f, _ := newTwoServices(t, new(atomic.Int32))
	now, class := time.Now(), headroom.Class{Workspace: "w"}
	request := pipeline.Request{PromptTokens: 40, OutputTokens: 10}
	full, other := f.selector.engines["large"], f.selector.engines["small"]
	refused := 0
	for range 200 {
		request.FillLimit = full.limiter.FillLimit(now, class)
		chain, ok := full.chooser.Choose(now, request)
		if !ok {
			full.limiter.Refused(now, class)
			refused++
			continue
		}
		full.chooser.Started(now, chain, request)
	}
	if refused == 0 {
		t.Fatal("got no refused request, want the service full")
	}
	request.FillLimit = other.limiter.FillLimit(now, class)
	if _, ok := other.chooser.Choose(now, request); !ok || request.FillLimit != headroomConfig.MaxFill {
		t.Errorf("got a chain %v with the fill limit %v, want one and %v", ok, request.FillLimit, headroomConfig.MaxFill)
	}
}

// Guards against a refusal for lack of memory whose log line does not say what decided it.
func TestRefusalForLackOfMemoryIsExplained(t *testing.T) {
	f, _ := newTwoServices(t, new(atomic.Int32))
	service, snapshot := &route.Service{Name: "large", Engine: twoServicesSpec()}, f.config.Catalog.Snapshot()
	f.selector.engines["large"].sequence = snapshot.Sequence
	for _, server := range []string{"large2", "large3"} {
		f.selector.engines["large"].chooser.ProbeFailed(time.Now(), server)
	}
	_, err := f.selector.chooseChain(service, snapshot, pipeline.Request{PromptTokens: 40, OutputTokens: 10}, headroom.Class{})
	if !errors.Is(err, errNoChain) {
		t.Fatalf("got %v, want %v", err, errNoChain)
	}
	response := (&job{}).noRoomResponse(err)
	if response.shortage == nil || response.retryAfter <= 0 {
		t.Fatalf("got %+v, want the shortage and a delay before a retry", response)
	}
	got := shortageFields(*response.shortage, response.retryAfter)
	if got["from"] != 4 || got["to"] != 8 || got["dead"] != 1 || got["engines"] != 1 || got["limit"] != headroomConfig.MaxFill {
		t.Errorf("got fields %v, want the layers 4 to 8, their one dead engine and the fill limit", got)
	}
}
