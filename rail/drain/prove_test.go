package drain

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/comfreyrail/comfreyrail/rail/kv"
	"github.com/comfreyrail/comfreyrail/rail/proptest"
)

// Times of the simulated fleet; maxStopDelay is the time from the first report after which new work is a violation.
const (
	step              = 50 * time.Millisecond
	maxStopDelay      = 3 * time.Second
	listLag           = 6 * time.Second
	probeInterval     = time.Second
	listInterval      = 2 * time.Second
	gossipInterval    = time.Second
	maxDelay          = 300 * time.Millisecond
	slowResponseDelay = 1200 * time.Millisecond
	settleTime        = 3*listLag + 10*time.Second
)

// backend is the actual state of one simulated backend server.
type backend struct {
	name                                              string
	leavingInTables, leavingInList, leavingByResponse bool
	// isLeaving is true from leave to returnToService; the fields above report which sources say at present that the server is
	// leaving.
	isLeaving bool
	// listHistory lists the changes of the server in the platform's list in their order.
	listHistory []listChange
	// tableGeneration is the generation of the tables that last marked the server as leaving.
	tableGeneration int
	// leftAt is the time at which the server last began to leave.
	leftAt time.Time
	// firstReportAt is the time from which an instance with peers has had a report that the server is leaving, counted anew after
	// each call of partition.
	firstReportAt time.Time
	// respondsLeavingSince is the time from which the server's own responses report that it is leaving.
	respondsLeavingSince time.Time
}

// listChange is a change of a server in the platform's list.
type listChange struct {
	at      time.Time
	leaving bool
}

// instance is one simulated instance.
type instance struct {
	name                string
	tracker             *Tracker
	serviceUp, peersUp  bool
	generation          int
	nextProbe, nextList time.Time
	nextGossip          time.Time
	// lastLost holds the peers to which the last message was lost.
	lastLost map[*instance]bool
	// sawReport holds the servers of which this instance itself has received a report since they began to leave.
	sawReport map[*backend]bool
}

// fleet simulates instances and backend servers in virtual time.
type fleet struct {
	rt         *rapid.T
	tally      *proptest.Tally
	rng        *rand.Rand
	now        time.Time
	instances  []*instance
	backends   []*backend
	generation int
	pending    map[time.Time][]func()
}

func newFleet(rt *rapid.T, tally *proptest.Tally) *fleet {
	f := &fleet{
		rt: rt, tally: tally, now: time.Unix(0, 0), pending: make(map[time.Time][]func()),
		rng: rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0)),
	}
	for i := range rapid.IntRange(2, 5).Draw(rt, "instances") {
		name := fmt.Sprintf("instance%d", i)
		f.instances = append(f.instances, &instance{
			name: name, tracker: New(Config{Observer: name, ListLag: listLag}), serviceUp: true, peersUp: true, lastLost: make(map[*instance]bool),
			sawReport: make(map[*backend]bool),
		})
	}
	for i := range 2 {
		f.backends = append(f.backends, &backend{name: fmt.Sprintf("server%d", i)})
	}
	return f
}

func (f *fleet) chance(p float64) bool { return f.rng.Float64() < p }

func (f *fleet) between(low, high time.Duration) time.Duration {
	return low + time.Duration(f.rng.Int64N(int64(high-low)+1))
}

// after runs the action at the first step after the delay.
func (f *fleet) after(delay time.Duration, action func()) {
	at := f.now.Add(delay.Truncate(step) + step)
	f.pending[at] = append(f.pending[at], action)
}

// advance advances the virtual time by d in steps and runs the actions that are due.
func (f *fleet) advance(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(step)
		actions := f.pending[f.now]
		delete(f.pending, f.now)
		for _, action := range actions {
			action()
		}
		for _, n := range f.instances {
			f.runDue(n)
			for _, b := range f.backends {
				f.recordFirstReport(n, b)
			}
		}
	}
}

// runDue runs the periodic actions of one instance that are due, and sometimes sends new work.
func (f *fleet) runDue(n *instance) {
	if !f.now.Before(n.nextProbe) {
		n.nextProbe = f.now.Add(f.between(probeInterval/2, probeInterval))
		for _, b := range f.backends {
			f.probeServer(n, b)
		}
	}
	if n.serviceUp && !f.now.Before(n.nextList) {
		n.nextList = f.now.Add(f.between(listInterval/2, listInterval))
		f.readList(n)
	}
	if n.peersUp && !f.now.Before(n.nextGossip) {
		n.nextGossip = f.now.Add(gossipInterval)
		f.sendMarks(n)
	}
	if f.chance(0.3) {
		f.dispatch(n, f.backends[f.rng.IntN(len(f.backends))])
	}
}

func (f *fleet) probeServer(n *instance, b *backend) {
	sentAt := f.now
	responseDelay := f.between(0, maxDelay)
	if f.chance(0.05) {
		f.tally.Count("slow")
		responseDelay = slowResponseDelay
	}
	f.after(f.between(0, maxDelay), func() {
		leaving := b.leavingByResponse
		f.after(responseDelay, func() {
			n.tracker.ApplyResponse(b.name, leaving, sentAt, f.now)
			n.sawReport[b] = n.sawReport[b] || leaving && b.leavingByResponse
		})
	})
}

// readList reads the list as it was at most listLag ago; servers are missing from it at random.
func (f *fleet) readList(n *instance) {
	sentAt := f.now
	readAt := f.now.Add(-f.between(0, listLag))
	var entries []kv.ListEntry
	var reported []*backend
	for _, b := range f.backends {
		if f.chance(0.2) {
			f.tally.Count("gap")
			continue
		}
		leaving := false
		for _, change := range b.listHistory {
			if !change.at.After(readAt) {
				leaving = change.leaving
			}
		}
		if leaving && b.leavingInList && !readAt.Before(b.leftAt) {
			reported = append(reported, b)
		}
		entries = append(entries, kv.ListEntry{Name: b.name, Leaving: leaving})
	}
	f.after(f.between(0, maxDelay), func() {
		n.tracker.ApplyList(entries, sentAt, f.now)
		for _, b := range reported {
			n.sawReport[b] = true
		}
	})
}

// sendMarks sends the marks to every peer; a link never loses two consecutive messages.
func (f *fleet) sendMarks(n *instance) {
	marks := n.tracker.Marks(f.now)
	for _, peer := range f.instances {
		if peer == n || !peer.peersUp {
			continue
		}
		deliver := func() {
			peer.tracker.Merge(marks, f.now)
		}
		if f.chance(0.1) {
			f.tally.Count("late")
			f.after(f.between(time.Second, time.Minute), deliver)
		}
		if !n.lastLost[peer] && f.chance(0.3) {
			f.tally.Count("lost")
			n.lastLost[peer] = true
			continue
		}
		n.lastLost[peer] = false
		f.after(f.between(0, maxDelay), deliver)
	}
}

// recordFirstReport records the time of the first report of a leaving server at an instance with peers.
func (f *fleet) recordFirstReport(n *instance, b *backend) {
	if n.sawReport[b] && b.isLeaving && n.peersUp && b.firstReportAt.IsZero() {
		b.firstReportAt = f.now
	}
}

// dispatch sends new work to the server unless the tracker reports that it is leaving, and checks that the work is
// allowed.
func (f *fleet) dispatch(n *instance, b *backend) {
	f.tally.Operations++
	if _, leaving := n.tracker.Leaving(b.name); leaving {
		return
	}
	if b.isLeaving && n.peersUp && !b.firstReportAt.IsZero() && f.now.Sub(b.firstReportAt) > maxStopDelay {
		f.tally.Failf(f.rt, "%s sends %s new work %s after the first report", n.name, b.name, f.now.Sub(b.firstReportAt))
	}
	if b.leavingByResponse && f.now.Sub(b.respondsLeavingSince) > maxStopDelay {
		f.tally.Failf(f.rt, "%s sends %s new work %s after the server reported that it is leaving", n.name, b.name, f.now.Sub(b.respondsLeavingSince))
	}
	if sentAt := f.now; b.leavingByResponse {
		f.after(f.between(0, maxDelay), func() { n.tracker.ApplyResponse(b.name, true, sentAt, f.now) })
	}
}

// publish sends a new generation of the tables to the instances that are connected to the platform's store or to peers.
func (f *fleet) publish() {
	f.generation++
	generation := f.generation
	tables := make(map[string]bool)
	for _, b := range f.backends {
		tables[b.name] = b.leavingInTables
	}
	for _, n := range f.instances {
		if !n.serviceUp && !n.peersUp {
			continue
		}
		f.after(f.between(0, 2*time.Second), func() {
			if generation > n.generation {
				n.generation = generation
				n.tracker.ApplyTables(tables, f.now)
				for _, b := range f.backends {
					n.sawReport[b] = n.sawReport[b] || tables[b.name] && b.leavingInTables && generation >= b.tableGeneration
				}
			}
		})
	}
}

// leave makes the server leave, by a random choice of sources.
func (f *fleet) leave(b *backend) {
	b.isLeaving, b.firstReportAt, b.leftAt = true, time.Time{}, f.now
	for _, n := range f.instances {
		n.sawReport[b] = false
	}
	sources := 1 + f.rng.IntN(7)
	if sources&1 != 0 {
		f.tally.Count("table")
		b.leavingInTables, b.tableGeneration = true, f.generation+1
		f.publish()
	}
	if sources&2 != 0 {
		f.tally.Count("list")
		b.leavingInList = true
		b.listHistory = append(b.listHistory, listChange{f.now, true})
	}
	if sources&4 != 0 {
		f.tally.Count("answer")
		f.after(f.between(0, 4*time.Second), func() {
			if b.isLeaving {
				b.leavingByResponse, b.respondsLeavingSince = true, f.now
			}
		})
	}
}

// returnToService ends the leaving of the server in every source.
func (f *fleet) returnToService(b *backend) {
	f.tally.Count("return")
	b.isLeaving, b.leavingByResponse = false, false
	if b.leavingInTables {
		b.leavingInTables = false
		f.publish()
	}
	if b.leavingInList {
		b.leavingInList = false
		b.listHistory = append(b.listHistory, listChange{f.now, false})
	}
}

// partition disconnects a random choice of instances from the platform's store, and another from their peers.
func (f *fleet) partition() {
	for _, b := range f.backends {
		b.firstReportAt = time.Time{}
	}
	for _, n := range f.instances {
		n.serviceUp, n.peersUp = f.chance(0.6), f.chance(0.8)
		if !n.serviceUp {
			f.tally.Count("outage")
		}
		if !n.peersUp {
			f.tally.Count("partition")
		}
	}
	f.publish()
}

// settle returns all servers to service, reconnects all peers and one instance to the platform's store, and checks after
// settleTime that no tracker reports a server as leaving.
func (f *fleet) settle() {
	for _, b := range f.backends {
		f.returnToService(b)
	}
	f.advance(maxStopDelay)
	for _, n := range f.instances {
		n.peersUp = true
	}
	f.instances[0].serviceUp = true
	f.publish()
	f.advance(settleTime)
	for _, n := range f.instances {
		for _, b := range f.backends {
			if source, leaving := n.tracker.Leaving(b.name); leaving {
				f.tally.Failf(f.rt, "%s: server %s is still leaving by source %s, %s after its return", n.name, b.name, source, settleTime)
			}
		}
	}
}

// TestProveLeaving checks under random faults that a leaving server gets no new work later than maxStopDelay after the
// first report, and that a server that has returned gets work again.
func TestProveLeaving(t *testing.T) {
	proptest.Run(t, "leaving", func(rt *rapid.T, tally *proptest.Tally) {
		f := newFleet(rt, tally)
		for range rapid.IntRange(1, 5).Draw(rt, "episodes") {
			f.partition()
			b := f.backends[f.rng.IntN(len(f.backends))]
			if !b.isLeaving {
				f.leave(b)
			}
			f.advance(f.between(time.Second, 2*listLag))
			if f.chance(0.7) {
				f.returnToService(b)
				f.advance(f.between(step, listLag))
			}
		}
		f.settle()
	})
}
