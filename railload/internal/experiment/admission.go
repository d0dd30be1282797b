package experiment

import (
	"fmt"
	"math/rand"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/admit"
)

// Shape of the admission experiment.
const (
	admissionSlots    = 60
	admissionService  = 500 * time.Millisecond
	admissionDeadline = 3 * time.Second
	admissionQueue    = 100
	admissionTime     = 60 * time.Second
	deathBegin        = 20 * time.Second
	deathEnd          = 50 * time.Second
	admissionNodes    = 3
	smallWorkspaces   = 9
	largeShare        = 0.8
)

// doorway lets the requests of one instance through to the service.
type doorway struct {
	offer    func(request admit.Request, run func(end func()))
	capacity func(capacity admit.Capacity)
}

// doorwayKind makes the doorway of one instance.
type doorwayKind struct {
	name string
	make func(c *clock, source *rand.Rand) doorway
}

// openDoorway lets every request through at once.
func openDoorway(*clock, *rand.Rand) doorway {
	return doorway{
		offer:    func(_ admit.Request, run func(end func())) { run(func() {}) },
		capacity: func(admit.Capacity) {},
	}
}

// fifoDoorway lets as many requests through as its share of the slots and queues a bounded number in order.
func fifoDoorway(*clock, *rand.Rand) doorway {
	limit, running := admissionSlots/admissionNodes, 0
	var queue []func(end func())
	var next func()
	next = func() {
		for running < limit && len(queue) > 0 {
			run := queue[0]
			queue = queue[1:]
			running++
			run(func() { running--; next() })
		}
	}
	return doorway{
		offer: func(_ admit.Request, run func(end func())) {
			if len(queue) < admissionQueue {
				queue = append(queue, run)
				next()
			}
		},
		capacity: func(capacity admit.Capacity) { limit = max(1, capacity.Slots/capacity.Instances) },
	}
}

// gateDoorway is the admit.Gate.
func gateDoorway(keepLate bool) func(*clock, *rand.Rand) doorway {
	return func(c *clock, source *rand.Rand) doorway {
		gate := admit.New(admit.Config{
			MaxQueued: admissionQueue, MaxRunning: admissionSlots, Random: source, KeepLate: keepLate,
		})
		runs := make(map[string]func(end func()))
		var apply func(actions []admit.Action)
		apply = func(actions []admit.Action) {
			for _, action := range actions {
				run := runs[action.ID]
				delete(runs, action.ID)
				if action.Verdict == admit.Granted {
					run(func() { apply(gate.Finish(c.wall(), action.ID, true)) })
				}
			}
		}
		c.every(100*time.Millisecond, func() { apply(gate.Tick(c.wall())) })
		return doorway{
			offer: func(request admit.Request, run func(end func())) {
				runs[request.ID] = run
				apply(gate.Offer(c.wall(), request))
			},
			capacity: func(capacity admit.Capacity) { apply(gate.SetCapacity(c.wall(), capacity)) },
		}
	}
}

var doorwayKinds = []doorwayKind{
	{name: "no admission", make: openDoorway},
	{name: "bounded queue in order", make: fifoDoorway},
	{name: "gate that keeps late requests", make: gateDoorway(true)},
	{name: "gate", make: gateDoorway(false)},
}

// admission measures what becomes of requests while a third of the pool is dead.
func admission(seed int64, runs int) (report *Report) {
	report = &Report{Name: "admission", Seed: seed, Runs: runs}
	for _, load := range []float64{0.6, 1.0, 1.5} {
		for _, kind := range doorwayKinds {
			name := fmt.Sprintf("load %.1f, %s", load, kind.name)
			row := summarize(name, eachSeed(seed, runs, func(seed int64) []sample { return admissionRun(seed, load, kind) }))
			report.Rows = append(report.Rows, row)
		}
	}
	return report
}

// goods counts requests that were offered, and that were answered within their deadline.
type goods struct{ offered, good float64 }

func (g goods) share() float64 { return g.good / max(1, g.offered) }

// admissionTally counts requests while a third of the pool is dead.
type admissionTally struct {
	all, large, small, high, low goods
	late                         float64
}

// of returns the counts that the request belongs to.
func (t *admissionTally) of(request admit.Request) []*goods {
	counts := []*goods{&t.all, &t.small}
	if request.Workspace == "large" {
		counts[1] = &t.large
	}
	switch request.Priority {
	case admit.Priorities - 1:
		counts = append(counts, &t.high)
	case 0:
		counts = append(counts, &t.low)
	}
	return counts
}

// admissionRun simulates one seed.
func admissionRun(seed int64, load float64, kind doorwayKind) []sample {
	source := rand.New(rand.NewSource(seed))
	timer := new(clock)
	backend := &service{clock: timer, slots: admissionSlots}
	doors := make([]doorway, admissionNodes)
	for i := range doors {
		doors[i] = kind.make(timer, rand.New(rand.NewSource(seed*100+int64(i))))
	}
	timer.after(deathBegin, func() { backend.setSlots(admissionSlots * 2 / 3) })
	timer.after(deathEnd, func() { backend.setSlots(admissionSlots) })
	timer.every(reportPeriod, func() {
		capacity := admit.Capacity{Slots: backend.slots, Used: backend.used(), Instances: admissionNodes}
		timer.after(reportLag, func() {
			for _, door := range doors {
				door.capacity(capacity)
			}
		})
	})
	tally, next := new(admissionTally), 0
	rate := load * admissionSlots / admissionService.Seconds()
	arrive(timer, source, rate, func() {
		next++
		request := drawRequest(timer, source, next)
		length := time.Duration(source.ExpFloat64() * float64(admissionService))
		counted := timer.now >= deathBegin && timer.now < deathEnd-admissionDeadline
		if counted {
			for _, count := range tally.of(request) {
				count.offered++
			}
		}
		doors[source.Intn(len(doors))].offer(request, func(end func()) {
			backend.submit(call{time: length, done: func() {
				end()
				if counted {
					tally.end(request, timer.wall())
				}
			}})
		})
	})
	timer.runUntil(admissionTime + admissionDeadline)
	return tally.samples((deathEnd - deathBegin - admissionDeadline).Seconds())
}

// drawRequest returns a request of a random workspace and priority.
func drawRequest(timer *clock, source *rand.Rand, number int) admit.Request {
	request := admit.Request{
		ID: fmt.Sprint(number), Workspace: "large", Priority: 5, Deadline: timer.wall().Add(admissionDeadline),
	}
	if source.Float64() >= largeShare {
		request.Workspace = fmt.Sprintf("small-%d", source.Intn(smallWorkspaces))
	}
	switch source.Intn(10) {
	case 0:
		request.Priority = 0
	case 1:
		request.Priority = admit.Priorities - 1
	}
	return request
}

// end counts a request that was answered.
func (t *admissionTally) end(request admit.Request, at time.Time) {
	if at.After(request.Deadline) {
		t.late++
		return
	}
	for _, count := range t.of(request) {
		count.good++
	}
}

func (t *admissionTally) samples(seconds float64) []sample {
	return []sample{
		{name: "good/s", value: t.all.good / seconds},
		{name: "late/s", value: t.late / seconds},
		{name: "good of large", value: t.large.share()},
		{name: "good of small", value: t.small.share()},
		{name: "good of priority 9", value: t.high.share()},
		{name: "good of priority 0", value: t.low.share()},
	}
}
