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

// Times of the simulated fleet.
const (
	step         = 50 * time.Millisecond
	bound        = 3 * time.Second
	listLag      = 6 * time.Second
	askInterval  = time.Second
	listInterval = 2 * time.Second
	tellInterval = time.Second
	maxDelay     = 300 * time.Millisecond
	slowDelay    = 1200 * time.Millisecond
	settleTime   = 3*listLag + 10*time.Second
)

// backend is the truth about one backend server.
type backend struct {
	name                    string
	tabled, listed, answers bool
	leaves                  bool
	// announced is the history of what the platform's list says.
	announced []announcement
	// tabledIn is the generation of the tables that last marked the server as leaving.
	tabledIn int
	// leftAt is the time at which the server last began to leave.
	leftAt time.Time
	// sign is the first sign that an instance with peers saw since the server began to leave.
	sign time.Time
	// answersSince is the time since which the server itself says that it is leaving.
	answersSince time.Time
}

type announcement struct {
	at      time.Time
	leaving bool
}

// node is one simulated instance.
type node struct {
	name           string
	state          *Tracker
	service, peers bool
	generation     int
	ask, list      time.Time
	tell           time.Time
	lost           map[*node]bool
	// signs holds the servers of which this instance itself has seen a sign since they began to leave.
	signs map[*backend]bool
}

// fleet is the simulation.
type fleet struct {
	rt         *rapid.T
	tally      *proptest.Tally
	random     *rand.Rand
	now        time.Time
	nodes      []*node
	backends   []*backend
	generation int
	pending    map[time.Time][]func()
}

func newFleet(rt *rapid.T, tally *proptest.Tally) *fleet {
	f := &fleet{
		rt: rt, tally: tally, now: time.Unix(0, 0), pending: make(map[time.Time][]func()),
		random: rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0)),
	}
	for i := range rapid.IntRange(2, 5).Draw(rt, "instances") {
		name := fmt.Sprintf("instance%d", i)
		f.nodes = append(f.nodes, &node{
			name: name, state: New(Config{Observer: name, ListLag: listLag}), service: true, peers: true, lost: make(map[*node]bool),
			signs: make(map[*backend]bool),
		})
	}
	for i := range 2 {
		f.backends = append(f.backends, &backend{name: fmt.Sprintf("server%d", i)})
	}
	return f
}

func (f *fleet) chance(p float64) bool { return f.random.Float64() < p }

func (f *fleet) between(low, high time.Duration) time.Duration {
	return low + time.Duration(f.random.Int64N(int64(high-low)+1))
}

// after runs the action at the first step after the delay.
func (f *fleet) after(delay time.Duration, action func()) {
	at := f.now.Add(delay.Truncate(step) + step)
	f.pending[at] = append(f.pending[at], action)
}

// run advances the clock.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(step)
		actions := f.pending[f.now]
		delete(f.pending, f.now)
		for _, action := range actions {
			action()
		}
		for _, n := range f.nodes {
			f.act(n)
			for _, b := range f.backends {
				f.saw(n, b)
			}
		}
	}
}

// act lets one instance do what is due.
func (f *fleet) act(n *node) {
	if !f.now.Before(n.ask) {
		n.ask = f.now.Add(f.between(askInterval/2, askInterval))
		for _, b := range f.backends {
			f.askServer(n, b)
		}
	}
	if n.service && !f.now.Before(n.list) {
		n.list = f.now.Add(f.between(listInterval/2, listInterval))
		f.readList(n)
	}
	if n.peers && !f.now.Before(n.tell) {
		n.tell = f.now.Add(tellInterval)
		f.tellPeers(n)
	}
	if f.chance(0.3) {
		f.dispatch(n, f.backends[f.random.IntN(len(f.backends))])
	}
}

func (f *fleet) askServer(n *node, b *backend) {
	asked := f.now
	back := f.between(0, maxDelay)
	if f.chance(0.05) {
		f.tally.CountFault("slow")
		back = slowDelay
	}
	f.after(f.between(0, maxDelay), func() {
		leaving := b.answers
		f.after(back, func() {
			n.state.ApplyAnswer(b.name, leaving, asked, f.now)
			n.signs[b] = n.signs[b] || leaving && b.answers
		})
	})
}

// readList reads the list as it was up to listLag ago, with gaps.
func (f *fleet) readList(n *node) {
	asked := f.now
	seen := f.now.Add(-f.between(0, listLag))
	var instances []kv.ListEntry
	var signs []*backend
	for _, b := range f.backends {
		if f.chance(0.2) {
			f.tally.CountFault("gap")
			continue
		}
		leaving := false
		for _, said := range b.announced {
			if !said.at.After(seen) {
				leaving = said.leaving
			}
		}
		if leaving && b.listed && !seen.Before(b.leftAt) {
			signs = append(signs, b)
		}
		instances = append(instances, kv.ListEntry{Name: b.name, Leaving: leaving})
	}
	f.after(f.between(0, maxDelay), func() {
		n.state.ApplyList(instances, asked, f.now)
		for _, b := range signs {
			n.signs[b] = true
		}
	})
}

// tellPeers sends the marks to every peer; a link loses no two messages in a row.
func (f *fleet) tellPeers(n *node) {
	marks := n.state.Marks(f.now)
	for _, peer := range f.nodes {
		if peer == n || !peer.peers {
			continue
		}
		deliver := func() {
			peer.state.Merge(marks, f.now)
		}
		if f.chance(0.1) {
			f.tally.CountFault("late")
			f.after(f.between(time.Second, time.Minute), deliver)
		}
		if !n.lost[peer] && f.chance(0.3) {
			f.tally.CountFault("lost")
			n.lost[peer] = true
			continue
		}
		n.lost[peer] = false
		f.after(f.between(0, maxDelay), deliver)
	}
}

// saw notes the first sign that an instance with peers has of a leaving server.
func (f *fleet) saw(n *node, b *backend) {
	if n.signs[b] && b.leaves && n.peers && b.sign.IsZero() {
		b.sign = f.now
	}
}

// dispatch sends new work unless the instance knows better, and checks that it was allowed to.
func (f *fleet) dispatch(n *node, b *backend) {
	f.tally.Operations++
	if _, leaving := n.state.Leaving(b.name); leaving {
		return
	}
	if b.leaves && n.peers && !b.sign.IsZero() && f.now.Sub(b.sign) > bound {
		f.tally.Failf(f.rt, "%s gives %s new work %s after the first sign", n.name, b.name, f.now.Sub(b.sign))
	}
	if b.answers && f.now.Sub(b.answersSince) > bound {
		f.tally.Failf(f.rt, "%s gives %s new work %s after the server said that it is leaving", n.name, b.name, f.now.Sub(b.answersSince))
	}
	if sent := f.now; b.answers {
		f.after(f.between(0, maxDelay), func() { n.state.ApplyAnswer(b.name, true, sent, f.now) })
	}
}

// publish gives the instances the tables, from the service or through peers.
func (f *fleet) publish() {
	f.generation++
	generation := f.generation
	tables := make(map[string]bool)
	for _, b := range f.backends {
		tables[b.name] = b.tabled
	}
	for _, n := range f.nodes {
		if !n.service && !n.peers {
			continue
		}
		f.after(f.between(0, 2*time.Second), func() {
			if generation > n.generation {
				n.generation = generation
				n.state.ApplyTables(tables, f.now)
				for _, b := range f.backends {
					n.signs[b] = n.signs[b] || tables[b.name] && b.tabled && generation >= b.tabledIn
				}
			}
		})
	}
}

// leave makes the server leave by some of the sources.
func (f *fleet) leave(b *backend) {
	b.leaves, b.sign, b.leftAt = true, time.Time{}, f.now
	for _, n := range f.nodes {
		n.signs[b] = false
	}
	kinds := 1 + f.random.IntN(7)
	if kinds&1 != 0 {
		f.tally.CountFault("table")
		b.tabled, b.tabledIn = true, f.generation+1
		f.publish()
	}
	if kinds&2 != 0 {
		f.tally.CountFault("list")
		b.listed = true
		b.announced = append(b.announced, announcement{f.now, true})
	}
	if kinds&4 != 0 {
		f.tally.CountFault("answer")
		f.after(f.between(0, 4*time.Second), func() {
			if b.leaves {
				b.answers, b.answersSince = true, f.now
			}
		})
	}
}

// comeBack makes the server return, by every source.
func (f *fleet) comeBack(b *backend) {
	f.tally.CountFault("return")
	b.leaves, b.answers = false, false
	if b.tabled {
		b.tabled = false
		f.publish()
	}
	if b.listed {
		b.listed = false
		b.announced = append(b.announced, announcement{f.now, false})
	}
}

// partition cuts some instances off from the service, and some from their peers.
func (f *fleet) partition() {
	for _, b := range f.backends {
		b.sign = time.Time{}
	}
	for _, n := range f.nodes {
		n.service, n.peers = f.chance(0.6), f.chance(0.8)
		if !n.service {
			f.tally.CountFault("outage")
		}
		if !n.peers {
			f.tally.CountFault("partition")
		}
	}
	f.publish()
}

// settle heals the fleet and checks that nothing keeps a returned server from work.
func (f *fleet) settle() {
	for _, b := range f.backends {
		f.comeBack(b)
	}
	f.run(bound)
	for _, n := range f.nodes {
		n.peers = true
	}
	f.nodes[0].service = true
	f.publish()
	f.run(settleTime)
	for _, n := range f.nodes {
		for _, b := range f.backends {
			if source, leaving := n.state.Leaving(b.name); leaving {
				f.tally.Failf(f.rt, "%s still keeps work from %s by its %s, %s after its return", n.name, b.name, source, settleTime)
			}
		}
	}
}

func TestProveLeaving(t *testing.T) {
	proptest.Run(t, "leaving", func(rt *rapid.T, tally *proptest.Tally) {
		f := newFleet(rt, tally)
		for range rapid.IntRange(1, 5).Draw(rt, "episodes") {
			f.partition()
			b := f.backends[f.random.IntN(len(f.backends))]
			if !b.leaves {
				f.leave(b)
			}
			f.run(f.between(time.Second, 2*listLag))
			if f.chance(0.7) {
				f.comeBack(b)
				f.run(f.between(step, listLag))
			}
		}
		f.settle()
	})
}
