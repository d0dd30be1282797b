package gossip

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/member"
)

// Times of the simulated network.
const (
	latency     = 5 * time.Millisecond
	callTimeout = time.Second
)

// host is one simulated instance.
type host struct {
	node *Node
	name string
	zone string
	// side is 0 or 1; a partition separates the two sides.
	side   int
	epoch  uint64
	up     bool
	frozen bool
	// runs is the number of incarnations so far; it identifies the current one.
	runs int
}

// fleet simulates a network of nodes in virtual time.
type fleet struct {
	now         time.Time
	queue       eventQueue
	eventCount  int
	hosts       []*host
	hostsByName map[string]*host
	// lastEpoch is the epoch of the newest incarnation.
	lastEpoch   uint64
	rng         *rand.Rand
	partitioned bool
	messages    int
	bytes       int
	// messageSize returns the size of a message in bytes; if it is nil, bytes stays zero.
	messageSize func(Message) int
}

// event is an action at a virtual time; sequence orders events of the same time.
type event struct {
	dueAt    time.Time
	sequence int
	action   func()
}

// eventQueue is a heap of events in the order of their times.
type eventQueue []event

func (e eventQueue) Len() int { return len(e) }

func (e eventQueue) Less(i, j int) bool {
	return e[i].dueAt.Before(e[j].dueAt) || e[i].dueAt.Equal(e[j].dueAt) && e[i].sequence < e[j].sequence
}

func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *eventQueue) Push(x any) { *e = append(*e, x.(event)) }

func (e *eventQueue) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

func newFleet(size, zones int, seed uint64) *fleet {
	f := &fleet{now: time.Unix(0, 0), rng: rand.New(rand.NewPCG(seed, 1)), hostsByName: make(map[string]*host)}
	for i := range size {
		zone := i % zones
		side := 0
		if zone >= (zones+1)/2 {
			side = 1
		}
		f.hosts = append(f.hosts, &host{name: fmt.Sprintf("rail-%d", i), zone: fmt.Sprintf("zone-%d", zone), side: side})
	}
	for _, h := range f.hosts {
		f.hostsByName[h.name] = h
		f.lastEpoch++
		h.epoch, h.up = f.lastEpoch, true
	}
	for _, h := range f.hosts {
		f.startNode(h)
	}
	return f
}

func (f *fleet) after(d time.Duration, action func()) {
	f.eventCount++
	heap.Push(&f.queue, event{dueAt: f.now.Add(d), sequence: f.eventCount, action: action})
}

// advance advances the virtual time by d and runs the events that are due.
func (f *fleet) advance(d time.Duration) {
	end := f.now.Add(d)
	for f.queue.Len() > 0 && !f.queue[0].dueAt.After(end) {
		next := heap.Pop(&f.queue).(event)
		f.now = next.dueAt
		next.action()
	}
	f.now = end
}

// restart starts a new incarnation of the host with the next epoch.
func (f *fleet) restart(h *host) {
	f.lastEpoch++
	h.epoch, h.up, h.frozen = f.lastEpoch, true, false
	f.startNode(h)
}

// startNode creates the node of the host's incarnation from the records in the platform's store and schedules its ticks.
func (f *fleet) startNode(h *host) {
	h.runs++
	h.node = New(Config{Self: f.memberOf(h)})
	var listed []member.Member
	for _, other := range f.hosts {
		if other.up && other != h {
			listed = append(listed, f.memberOf(other))
		}
	}
	h.node.AddListed(f.now, listed)
	f.schedule(h, h.runs, time.Duration(f.rng.Int64N(int64(DefaultInterval))))
}

// memberOf returns the member record of the host's incarnation.
func (f *fleet) memberOf(h *host) member.Member {
	return member.Member{
		Name: h.name, Zone: h.zone, Epoch: h.epoch, Incarnation: fmt.Sprint(h.name, "-", h.epoch),
		Address: "127.0.0.1:10000", Fingerprint: "0123456789012345678901234567890123456789012",
	}
}

func (f *fleet) schedule(h *host, run int, delay time.Duration) {
	f.after(delay, func() {
		if !h.up || h.runs != run {
			return
		}
		if !h.frozen {
			for _, heartbeat := range h.node.Tick(f.now) {
				f.send(h, run, heartbeat)
			}
		}
		f.schedule(h, run, DefaultInterval)
	})
}

// send delivers a heartbeat to its receiver and the response to the sender.
func (f *fleet) send(from *host, run int, heartbeat Heartbeat) {
	f.count(heartbeat.Message)
	to := f.find(heartbeat.To.Name)
	fail := func() {
		if from.up && from.runs == run {
			from.node.HeartbeatFailed(f.now, heartbeat.To.Name, heartbeat.To.Epoch)
		}
	}
	if !f.reachable(from, to) || to.epoch != heartbeat.To.Epoch {
		f.after(callTimeout, fail)
		return
	}
	f.after(latency, func() {
		if !f.reachable(from, to) || to.epoch != heartbeat.To.Epoch {
			f.after(callTimeout, fail)
			return
		}
		to.node.AddJoined(f.now, f.memberOf(from))
		response := to.node.Receive(f.now, heartbeat.Message)
		f.count(response)
		f.after(latency, func() {
			if from.up && from.runs == run && !from.frozen {
				from.node.HeartbeatSucceeded(f.now, heartbeat.To.Name, response)
			} else {
				fail()
			}
		})
	})
}

func (f *fleet) count(message Message) {
	f.messages++
	if f.messageSize != nil {
		f.bytes += f.messageSize(message)
	}
}

func (f *fleet) killZone(zone string) {
	for _, h := range f.hosts {
		h.up = h.up && h.zone != zone
	}
}

func (f *fleet) find(name string) *host {
	return f.hostsByName[name]
}

// reachable reports whether a message between the hosts is delivered.
func (f *fleet) reachable(from, to *host) bool {
	return to.up && !to.frozen && (!f.partitioned || from.side == to.side)
}

// wrongMembers returns the number of missing, stale and surplus members in the views of all live hosts.
func (f *fleet) wrongMembers() int {
	live := make(map[string]uint64)
	for _, h := range f.hosts {
		if h.up {
			live[h.name] = h.epoch
		}
	}
	count := 0
	for _, h := range f.hosts {
		if !h.up {
			continue
		}
		members := h.node.Members()
		current := 0
		for _, known := range members {
			if live[known.Name] == known.Epoch {
				current++
			}
		}
		count += len(members) - current + len(live) - current
	}
	return count
}
