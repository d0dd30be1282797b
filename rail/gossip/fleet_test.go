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
	node   *Node
	name   string
	zone   string
	region int
	epoch  uint64
	up     bool
	frozen bool
	run    int
}

// fleet is a simulated network of nodes in virtual time.
type fleet struct {
	now      time.Time
	queue    events
	order    int
	hosts    []*host
	names    map[string]*host
	epoch    uint64
	random   *rand.Rand
	cut      bool
	messages int
	bytes    int
	// measure returns the size of a message in bytes; nil measures nothing.
	measure func(Message) int
}

// event is something that happens at a moment.
type event struct {
	at    time.Time
	order int
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].order < e[j].order
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

func newFleet(size, zones int, seed uint64) *fleet {
	f := &fleet{now: time.Unix(0, 0), random: rand.New(rand.NewPCG(seed, 1)), names: make(map[string]*host)}
	for i := range size {
		zone := i % zones
		region := 0
		if zone >= (zones+1)/2 {
			region = 1
		}
		f.hosts = append(f.hosts, &host{name: fmt.Sprintf("rail-%d", i), zone: fmt.Sprintf("zone-%d", zone), region: region})
	}
	for _, h := range f.hosts {
		f.names[h.name] = h
		f.epoch++
		h.epoch, h.up = f.epoch, true
	}
	for _, h := range f.hosts {
		f.begin(h)
	}
	return f
}

func (f *fleet) after(d time.Duration, do func()) {
	f.order++
	heap.Push(&f.queue, event{at: f.now.Add(d), order: f.order, do: do})
}

// run lets virtual time pass.
func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for f.queue.Len() > 0 && !f.queue[0].at.After(end) {
		next := heap.Pop(&f.queue).(event)
		f.now = next.at
		next.do()
	}
	f.now = end
}

// start begins a new incarnation that learns the members from the platform's service.
func (f *fleet) start(h *host) {
	f.epoch++
	h.epoch, h.up, h.frozen = f.epoch, true, false
	f.begin(h)
}

// begin lets an incarnation run that has its epoch.
func (f *fleet) begin(h *host) {
	h.run++
	h.node = New(Config{Self: f.record(h)})
	var listed []member.Member
	for _, other := range f.hosts {
		if other.up && other != h {
			listed = append(listed, f.record(other))
		}
	}
	h.node.AddListed(f.now, listed)
	f.schedule(h, h.run, time.Duration(f.random.Int64N(int64(DefaultInterval))))
}

func (f *fleet) record(h *host) member.Member {
	return member.Member{
		Name: h.name, Zone: h.zone, Epoch: h.epoch, Incarnation: fmt.Sprint(h.name, "-", h.epoch),
		Address: "127.0.0.1:10000", Fingerprint: "0123456789012345678901234567890123456789012",
	}
}

func (f *fleet) schedule(h *host, run int, in time.Duration) {
	f.after(in, func() {
		if !h.up || h.run != run {
			return
		}
		if !h.frozen {
			for _, beat := range h.node.Tick(f.now) {
				f.send(h, run, beat)
			}
		}
		f.schedule(h, run, DefaultInterval)
	})
}

// send carries a heartbeat to its receiver and the reply back.
func (f *fleet) send(from *host, run int, beat Heartbeat) {
	f.count(beat.Message)
	to := f.find(beat.To.Name)
	failed := func() {
		if from.up && from.run == run {
			from.node.HeartbeatFailed(f.now, beat.To.Name, beat.To.Epoch)
		}
	}
	if !f.reaches(from, to) || to.epoch != beat.To.Epoch {
		f.after(callTimeout, failed)
		return
	}
	f.after(latency, func() {
		if !f.reaches(from, to) || to.epoch != beat.To.Epoch {
			f.after(callTimeout, failed)
			return
		}
		to.node.AddJoined(f.now, f.record(from))
		reply := to.node.Receive(f.now, beat.Message)
		f.count(reply)
		f.after(latency, func() {
			if from.up && from.run == run && !from.frozen {
				from.node.HeartbeatAnswered(f.now, beat.To.Name, reply)
			} else {
				failed()
			}
		})
	})
}

func (f *fleet) count(message Message) {
	f.messages++
	if f.measure != nil {
		f.bytes += f.measure(message)
	}
}

func (f *fleet) killZone(zone string) {
	for _, h := range f.hosts {
		h.up = h.up && h.zone != zone
	}
}

func (f *fleet) find(name string) *host {
	return f.names[name]
}

// reaches reports whether a message from one host gets to the other.
func (f *fleet) reaches(from, to *host) bool {
	return to.up && !to.frozen && (!f.cut || from.region == to.region)
}

// wrong returns how many members of the views of live hosts are missing, stale or should not be there.
func (f *fleet) wrong() int {
	live := make(map[string]uint64)
	for _, h := range f.hosts {
		if h.up {
			live[h.name] = h.epoch
		}
	}
	wrong := 0
	for _, h := range f.hosts {
		if !h.up {
			continue
		}
		members := h.node.Members()
		right := 0
		for _, known := range members {
			if live[known.Name] == known.Epoch {
				right++
			}
		}
		wrong += len(members) - right + len(live) - right
	}
	return wrong
}
