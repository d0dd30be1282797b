package configsync

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/control"
	"github.com/comfreyrail/comfreyrail/rail/edit"
	"github.com/comfreyrail/comfreyrail/rail/fake/fakeplatform"
	"github.com/comfreyrail/comfreyrail/rail/gossip"
	"github.com/comfreyrail/comfreyrail/rail/invariant"
	"github.com/comfreyrail/comfreyrail/rail/kv"
	"github.com/comfreyrail/comfreyrail/rail/table"
)

// patience is the time after which a test gives up waiting.
const patience = 20 * time.Second

// fleet is several instances in one process, with the stand-in of the service behind HTTP.
type fleet struct {
	t        testing.TB
	platform *fakeplatform.Server
	address  string
	checker  *invariant.Checker
	traffic  *traffic
	// fromPeers counts the bytes of content that instances got from each other.
	fromPeers atomic.Int64

	mu    sync.Mutex
	nodes []*Sync
}

// list returns the instances that have joined.
func (f *fleet) list() []*Sync {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.nodes)
}

func newFleet(t testing.TB, size int) *fleet {
	t.Helper()
	platform := fakeplatform.New(fakeplatform.Config{WriteRate: 1e6, ReadRate: 1e6})
	counted := &traffic{next: platform}
	server := httptest.NewServer(counted)
	t.Cleanup(server.Close)
	f := &fleet{t: t, platform: platform, traffic: counted, address: strings.TrimPrefix(server.URL, "http://"), checker: new(invariant.Checker)}
	for range size {
		f.join()
	}
	return f
}

// join starts an instance that knows the ones before it; the first one alone holds the watch.
func (f *fleet) join() *Sync {
	log := logrus.New()
	log.SetOutput(io.Discard)
	state := control.New(control.Config{Log: logrus.NewEntry(log), Checker: f.checker})
	earlier := f.list()
	name := len(earlier)
	s := New(Config{Store: &kv.Client{Address: f.address}, Control: state, Log: logrus.NewEntry(log), Metrics: metrics.NewRegistry()})
	s.IsWatcher = func() bool { return name == 0 }
	s.MemberCount = func() int { return 10000 }
	s.Announce = func(ctx context.Context, head gossip.Offer) {
		for _, other := range f.list() {
			if other != s {
				other.HandleOffer(ctx, strconv.Itoa(name), head.Generation, head.Hash)
			}
		}
	}
	s.FetchFromPeer = func(_ context.Context, peer, hash string) ([]byte, error) {
		index, err := strconv.Atoi(peer)
		if err != nil {
			return nil, err
		}
		content, ok := f.list()[index].Content(hash)
		if !ok {
			return nil, errors.New("peer lacks the content")
		}
		f.fromPeers.Add(int64(len(content)))
		return content, nil
	}
	s.PeerOffers = func(context.Context) (heads []PeerOffer, err error) {
		for i, other := range earlier {
			heads = append(heads, PeerOffer{Offer: other.LocalOffer(), Peer: strconv.Itoa(i)})
		}
		return heads, nil
	}
	f.mu.Lock()
	f.nodes = append(f.nodes, s)
	f.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	f.t.Cleanup(cancel)
	go func() { _ = state.Serve(ctx) }()
	go func() { _ = s.Serve(ctx) }()
	return s
}

// await waits until every instance has the generation in force.
func (f *fleet) await(generation uint64) {
	f.t.Helper()
	deadline := time.Now().Add(patience)
	for i, s := range f.nodes {
		for s.LocalOffer().Generation < generation {
			if time.Now().After(deadline) {
				f.t.Fatalf("instance %d has generation %d in force, want %d", i, s.LocalOffer().Generation, generation)
			}
			time.Sleep(time.Millisecond)
		}
	}
}

// put edits at an instance; the pool has a version of its own for each number of layers.
func (f *fleet) put(node int, id string, layers int, version uint64) edit.Result {
	pool := table.Pool{Name: "p", Kind: table.ModelPool, Layers: layers}
	return f.nodes[node].Edit(context.Background(), table.Edit{ID: id, Operations: []table.Operation{table.PutPool(pool, version)}})
}

func TestEndToEnd(t *testing.T) {
	f := newFleet(t, 3)
	expect := func(name string, result edit.Result, want edit.State) {
		t.Helper()
		if result.State != want {
			t.Fatalf("%s: got %q (%s), want %q", name, result.State, result.Message, want)
		}
	}
	expect("first edit", f.put(1, "e1", 1, 0), edit.Accepted)
	f.await(1)

	results := make(chan edit.Result, 2)
	for node := range 2 {
		go func() { results <- f.put(node, fmt.Sprint("race", node), 2+node, 1) }()
	}
	counts := make(map[edit.State]int)
	for range 2 {
		counts[(<-results).State]++
	}
	if counts[edit.Accepted] != 1 || counts[edit.Conflict] != 1 {
		t.Fatalf("race: got %v, want one accepted and one conflict", counts)
	}
	f.await(2)

	f.platform.SetFaults(fakeplatform.Faults{LoseResponses: 3})
	expect("answers lost", f.put(2, "e3", 5, 2), edit.Accepted)
	f.await(3)
	expect("looked up elsewhere", f.nodes[0].Lookup(context.Background(), "e3"), edit.Accepted)
	expect("looked up too early", f.nodes[0].Lookup(context.Background(), "e4"), edit.Absent)
	expect("withdrawn", f.nodes[0].Withdraw(context.Background(), "e4", "operator"), edit.NotAccepted)
	expect("made after its withdrawal", f.put(1, "e4", 6, 3), edit.NotAccepted)

	f.platform.SetFaults(fakeplatform.Faults{Outage: true})
	f.join()
	f.await(3)
	f.platform.SetFaults(fakeplatform.Faults{})
	expect("after the outage", f.put(3, "e5", 7, 3), edit.Accepted)
	f.await(4)
	if got := f.checker.Violations(); got != 0 {
		t.Errorf("violations: got %d, want 0", got)
	}
	entries, err := f.nodes[0].History(context.Background(), 2)
	if err != nil || len(entries) != 2 || entries[0].ID != "e5" || entries[1].ID != "e4" {
		t.Errorf("history: got %+v, %v, want e5 and the withdrawal of e4", entries, err)
	}
}
