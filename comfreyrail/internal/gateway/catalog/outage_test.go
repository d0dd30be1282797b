package catalog

import (
	"context"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/store"
)

// Entries expire during a store outage. Their servers must stay until reappearTimeout after the outage, and those whose
// entries have not been written again by then must be removed.
func TestEntriesExpiredDuringOutage(t *testing.T) {
	fake := &fakeStore{items: []store.Item{item("servers/one", "ready", 1), item("servers/two", "ready", 2)}}
	c := newCatalog(fake, Instance{Name: "a"})
	refreshOnce(t, c, fake)
	fake.err = errDown
	fake.now = 3 * time.Second
	refreshOnce(t, c, fake)
	fake.err, fake.now = nil, 6*time.Second
	fake.changes = []store.Item{removed("servers/one", 20), removed("servers/two", 21)}
	refreshOnce(t, c, fake)
	if got, want := servers(c), []string{"one", "two"}; !slices.Equal(got, want) {
		t.Errorf("at the end of the outage: got %v, want %v", got, want)
	}
	fake.now = 7 * time.Second
	fake.changes = []store.Item{item("servers/one", "ready", 22)}
	refreshOnce(t, c, fake)
	fake.changes, fake.now = nil, 9*time.Second
	refreshOnce(t, c, fake)
	if got, want := servers(c), []string{"one"}; !slices.Equal(got, want) {
		t.Errorf("after reappearTimeout: got %v, want %v", got, want)
	}
}

// Guards against the removal of sound servers whose entries were written again while this instance was held up: what is read at its
// end was confirmed before the time in which entries reappear was over.
func TestEntriesWrittenAgainDuringHoldUp(t *testing.T) {
	const outageEnd = 6 * time.Second
	tests := []struct {
		name    string
		changes []store.Item // that a refresh reads which starts 0.1 s after the outage and ends after the hold-up
	}{
		{"entry had expired before", nil},
		{"entry expires in the refresh", []store.Item{removed("servers/one", 21)}},
	}
	for _, test := range tests {
		fake := &fakeStore{items: []store.Item{item("servers/one", "ready", 1), item("servers/two", "ready", 2)}}
		c := newCatalog(fake, Instance{Name: "a"})
		refreshOnce(t, c, fake)
		fake.err, fake.now = errDown, 3*time.Second
		refreshOnce(t, c, fake)
		fake.err, fake.now = nil, outageEnd
		if test.changes == nil {
			fake.changes = []store.Item{removed("servers/one", 20)}
		}
		refreshOnce(t, c, fake)
		fake.now = outageEnd + 100*time.Millisecond
		fake.changes, fake.heldUp = test.changes, reappearTimeout
		refreshOnce(t, c, fake)
		if got, want := servers(c), []string{"one", "two"}; !slices.Equal(got, want) {
			t.Errorf("%s: got %v after the hold-up, want %v", test.name, got, want)
		}
		fake.changes, fake.heldUp = nil, 0
		refreshOnce(t, c, fake)
		if got, want := servers(c), []string{"two"}; !slices.Equal(got, want) {
			t.Errorf("%s: got %v after the next refresh, want %v", test.name, got, want)
		}
	}
}

// Guards against a server that leaves soon after an outage getting requests for longer than one whose entry expired in it: an
// entry that is missing when reappearTimeout has passed since the outage stands for a server that is gone, whenever it was
// removed.
func TestServerThatLeavesAfterOutage(t *testing.T) {
	const outageEnd = 6 * time.Second
	tests := []struct{ removedAt, at time.Duration }{
		{outageEnd, outageEnd + reappearTimeout}, {outageEnd + time.Second, outageEnd + reappearTimeout}, {outageEnd + 2*time.Second, outageEnd + reappearTimeout},
		{outageEnd + reappearTimeout, outageEnd + reappearTimeout},
	}
	for _, test := range tests {
		fake := &fakeStore{items: []store.Item{item("servers/one", "ready", 1)}}
		c := newCatalog(fake, Instance{Name: "a"})
		refreshOnce(t, c, fake)
		fake.err, fake.now = errDown, 3*time.Second
		refreshOnce(t, c, fake)
		fake.err, fake.now = nil, outageEnd
		refreshOnce(t, c, fake)
		fake.changes, fake.now = []store.Item{removed("servers/one", 20)}, test.removedAt
		refreshOnce(t, c, fake)
		fake.changes, fake.now = nil, test.at+time.Millisecond
		refreshOnce(t, c, fake)
		if got := servers(c); len(got) != 0 {
			t.Errorf("entry removed %v after the outage: got %v at %v after it, want none", test.removedAt-outageEnd, got, test.at-outageEnd)
		}
	}
}

// Guards against a change that takes effect too late at an instance whose zone's readers are turned away by the store: their
// changes, which they have from other instances, are older each time they are passed on, and a watch of the store confirms
// nothing while it waits. The content of an instance that reaches the store must always be less than two seconds old, with
// watches twice a second.
func TestReadersTurnedAwayDoNotDelayChanges(t *testing.T) {
	const maxAge = 2 * time.Second
	instances := fleetOf("a", "b", "c")
	self := highestRanked(instances, len(instances))[len(instances)-1]
	oldest := time.Duration(0)
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		fake := &fakeStore{}
		for i, instance := range instances {
			fake.items = append(fake.items, record(t, instance, uint64(i+1)))
		}
		c := newCatalog(fake, self)
		c.config.Random = random.Float64
		takes := func(d time.Duration) {
			fake.now += d
			if age, ok := c.Age(); ok {
				oldest = max(oldest, age)
			}
		}
		c.config.Watch = func(_ context.Context, _ string, _ uint64, wait time.Duration) (store.Changes, error) {
			takes(wait + 5*time.Millisecond)
			return store.Changes{Revision: 20}, nil
		}
		c.config.FetchChanges = func(context.Context, string, ChangesRequest) (Changes, error) {
			takes(10 * time.Millisecond)
			return Changes{Revision: 20, Age: time.Duration(500+random.IntN(900)) * time.Millisecond}, nil
		}
		refreshOnce(t, c, fake)
		for fake.now < 20*time.Second {
			start, before := fake.now, c.confirmedAt.Load()
			refreshOnce(t, c, fake)
			delay := retryDelay
			if c.confirmedAt.Load() != before {
				delay = max(c.config.WatchInterval-(fake.now-start), 0)
			}
			takes(delay)
		}
	}
	if oldest >= maxAge {
		t.Errorf("got content of age %v, want less than %v", oldest, maxAge)
	}
	t.Logf("oldest content %v", oldest)
}

// Guards against a removed server still getting requests although there was no outage.
func TestServerRemovedImmediately(t *testing.T) {
	fake := &fakeStore{items: []store.Item{item("servers/one", "ready", 1)}}
	c := newCatalog(fake, Instance{Name: "a"})
	refreshOnce(t, c, fake)
	fake.changes = []store.Item{removed("servers/one", 20)}
	refreshOnce(t, c, fake)
	if got := servers(c); len(got) != 0 {
		t.Errorf("got %v, want none without an outage", got)
	}
}
