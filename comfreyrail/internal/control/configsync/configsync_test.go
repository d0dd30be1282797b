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
	"github.com/comfreyrail/comfreyrail/rail/fake/fakekv"
	"github.com/comfreyrail/comfreyrail/rail/gossip"
	"github.com/comfreyrail/comfreyrail/rail/invariant"
	"github.com/comfreyrail/comfreyrail/rail/kv"
	"github.com/comfreyrail/comfreyrail/rail/table"
)

// waitTimeout is the time after which a wait in a test fails.
const waitTimeout = 20 * time.Second

// fleet is a set of instances in one process that share a stand-in for the store over HTTP.
type fleet struct {
	t        testing.TB
	platform *fakekv.Server
	address  string
	checker  *invariant.Checker
	traffic  *countingHandler
	// fromPeers is the number of bytes of content that instances fetched from each other.
	fromPeers atomic.Int64

	mu    sync.Mutex
	syncs []*Sync
}

// instances returns a copy of the list of instances.
func (f *fleet) instances() []*Sync {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.syncs)
}

func newFleet(t testing.TB, size int) *fleet {
	t.Helper()
	platform := fakekv.New(fakekv.Config{WriteRate: 1e6, ReadRate: 1e6})
	counted := &countingHandler{next: platform}
	server := httptest.NewServer(counted)
	t.Cleanup(server.Close)
	f := &fleet{t: t, platform: platform, traffic: counted, address: strings.TrimPrefix(server.URL, "http://"), checker: new(invariant.Checker)}
	for range size {
		f.join()
	}
	return f
}

// join starts an instance whose peers are the earlier ones; only the first instance is a watcher.
func (f *fleet) join() *Sync {
	log := logrus.New()
	log.SetOutput(io.Discard)
	state := control.New(control.Config{Log: logrus.NewEntry(log), Checker: f.checker})
	earlier := f.instances()
	index := len(earlier)
	s := New(Config{Store: &kv.Client{Address: f.address}, Control: state, Log: logrus.NewEntry(log), Metrics: metrics.NewRegistry()})
	s.IsWatcher = func() bool { return index == 0 }
	// With so many members the head is polled only about every 1000 s, so that the test depends on the watch and
	// the offers.
	s.MemberCount = func() int { return 10000 }
	s.Announce = func(ctx context.Context, offer gossip.Offer) {
		for _, other := range f.instances() {
			if other != s {
				other.HandleOffer(ctx, strconv.Itoa(index), offer.Generation, offer.Hash)
			}
		}
	}
	s.FetchFromPeer = func(_ context.Context, peer, hash string) ([]byte, error) {
		peerIndex, err := strconv.Atoi(peer)
		if err != nil {
			return nil, err
		}
		content, ok := f.instances()[peerIndex].Content(hash)
		if !ok {
			return nil, errors.New("peer lacks the content")
		}
		f.fromPeers.Add(int64(len(content)))
		return content, nil
	}
	s.PeerOffers = func(context.Context) (offers []PeerOffer, err error) {
		for i, other := range earlier {
			offers = append(offers, PeerOffer{Offer: other.LocalOffer(), Peer: strconv.Itoa(i)})
		}
		return offers, nil
	}
	f.mu.Lock()
	f.syncs = append(f.syncs, s)
	f.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	f.t.Cleanup(cancel)
	go func() { _ = state.Serve(ctx) }()
	go func() { _ = s.Serve(ctx) }()
	return s
}

// waitInForce waits until every instance has the generation in force.
func (f *fleet) waitInForce(generation uint64) {
	f.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for i, s := range f.syncs {
		for s.LocalOffer().Generation < generation {
			if time.Now().After(deadline) {
				f.t.Fatalf("instance %d has generation %d in force, want %d", i, s.LocalOffer().Generation, generation)
			}
			time.Sleep(time.Millisecond)
		}
	}
}

// putPool commits, at the given instance, an edit that sets the number of layers of the pool; version is the version
// that the row must have.
func (f *fleet) putPool(instance int, id string, layers int, version uint64) edit.Result {
	pool := table.Pool{Name: "p", Kind: table.ModelPool, Layers: layers}
	return f.syncs[instance].Edit(context.Background(), table.Edit{ID: id, Operations: []table.Operation{table.PutPool(pool, version)}})
}

// TestEditAndSync guards against accepting two concurrent edits of one row, against losing or repeating an edit whose
// response was lost, against accepting a withdrawn edit, and against an instance that cannot get the tables from its
// peers when it joins during an outage of the store.
func TestEditAndSync(t *testing.T) {
	f := newFleet(t, 3)
	expect := func(name string, result edit.Result, want edit.State) {
		t.Helper()
		if result.State != want {
			t.Fatalf("%s: got %q (%s), want %q", name, result.State, result.Message, want)
		}
	}
	expect("first edit", f.putPool(1, "e1", 1, 0), edit.Accepted)
	f.waitInForce(1)

	results := make(chan edit.Result, 2)
	for instance := range 2 {
		go func() { results <- f.putPool(instance, fmt.Sprint("race", instance), 2+instance, 1) }()
	}
	counts := make(map[edit.State]int)
	for range 2 {
		counts[(<-results).State]++
	}
	if counts[edit.Accepted] != 1 || counts[edit.Conflict] != 1 {
		t.Fatalf("race: got %v, want one accepted and one conflict", counts)
	}
	f.waitInForce(2)

	f.platform.SetFaults(fakekv.Faults{LoseResponses: 3})
	expect("lost responses", f.putPool(2, "e3", 5, 2), edit.Accepted)
	f.waitInForce(3)
	expect("lookup at another instance", f.syncs[0].Lookup(context.Background(), "e3"), edit.Accepted)
	expect("lookup before the edit", f.syncs[0].Lookup(context.Background(), "e4"), edit.Absent)
	expect("withdrawal", f.syncs[0].Withdraw(context.Background(), "e4", "operator"), edit.NotAccepted)
	expect("edit after its withdrawal", f.putPool(1, "e4", 6, 3), edit.NotAccepted)

	f.platform.SetFaults(fakekv.Faults{Outage: true})
	f.join()
	f.waitInForce(3)
	f.platform.SetFaults(fakekv.Faults{})
	expect("after the outage", f.putPool(3, "e5", 7, 3), edit.Accepted)
	f.waitInForce(4)
	if got := f.checker.Violations(); got != 0 {
		t.Errorf("violations: got %d, want 0", got)
	}
	entries, err := f.syncs[0].History(context.Background(), 2)
	if err != nil || len(entries) != 2 || entries[0].ID != "e5" || entries[1].ID != "e4" {
		t.Errorf("history: got %+v, %v, want e5 and the withdrawal of e4", entries, err)
	}
}
