package catalog

import (
	"testing"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/store"
)

// Guards against a fleet that overloads the link of the store: with thousands of servers the first read takes so long that the
// content is old at every instance, and if all of these read the store then, each gets every heartbeat since its start, is late
// again, and so on. The reader's changes leave the heartbeats out.
func TestOldContentIsTakenFromReaderIfFresh(t *testing.T) {
	instances := fleetOf("a", "b", "c")
	fake := &fakeStore{now: time.Minute}
	for i, instance := range instances {
		fake.items = append(fake.items, record(t, instance, uint64(i+1)))
	}
	c := newCatalog(fake, highestRanked(instances, 3)[2])
	refreshOnce(t, c, fake)
	reads := fake.reads
	fake.now += 2 * c.oldAge()
	fake.peerChanges = Changes{Revision: 50, Age: 100 * time.Millisecond, Items: []store.Item{item("config", "3", 40)}}
	refreshOnce(t, c, fake)
	if got := fake.reads - reads; got != 0 {
		t.Errorf("got %d reads of the store, want none beside a reader with fresh changes", got)
	}
	if age, _ := c.Age(); age != 100*time.Millisecond {
		t.Errorf("got age %v, want that of the reader's changes", age)
	}
	fake.peerChanges.Age = 2 * c.oldAge()
	fake.now += 2 * c.oldAge()
	refreshOnce(t, c, fake)
	if got := fake.reads - reads; got != 1 {
		t.Errorf("got %d reads of the store, want one: the reader's changes are old as well", got)
	}
}
