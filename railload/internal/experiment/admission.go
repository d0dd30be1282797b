package experiment

import (
	"fmt"
	"math/rand"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/admit"
)

// Parameters of the admission experiment.
const (
	admissionSlots       = 60
	admissionServiceTime = 500 * time.Millisecond // mean of an exponential distribution
	admissionDeadline    = 3 * time.Second
	admissionMaxQueued   = 100
	admissionDuration    = 60 * time.Second
	outageStart          = 20 * time.Second
	outageEnd            = 50 * time.Second
	admissionInstances   = 3
	smallWorkspaces      = 9
	largeShare           = 0.8 // share of the requests that the large workspace sends
)

// controller is the admission control of one instance. The function submit submits a request and calls run once it is
// admitted; run must call end when the request has ended. A refused request is dropped.
type controller struct {
	submit      func(request admit.Request, run func(end func()))
	setCapacity func(capacity admit.Capacity)
}

// controllerKind is a named kind of admission control; create returns the controller of one instance.
type controllerKind struct {
	name   string
	create func(c *clock, source *rand.Rand) controller
}

// unlimitedController admits every request immediately.
func unlimitedController(*clock, *rand.Rand) controller {
	return controller{
		submit:      func(_ admit.Request, run func(end func())) { run(func() {}) },
		setCapacity: func(admit.Capacity) {},
	}
}

// fifoController admits as many requests at once as the instance's equal share of the slots, and queues up to
// admissionMaxQueued others in order.
func fifoController(*clock, *rand.Rand) controller {
	limit, running := admissionSlots/admissionInstances, 0
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
	return controller{
		submit: func(_ admit.Request, run func(end func())) {
			if len(queue) < admissionMaxQueued {
				queue = append(queue, run)
				next()
			}
		},
		setCapacity: func(capacity admit.Capacity) { limit = max(1, capacity.Slots/capacity.Instances) },
	}
}

// admitController returns a function that creates a controller with an admit.Controller; keepLate is its admit.Config.KeepLate.
func admitController(keepLate bool) func(*clock, *rand.Rand) controller {
	return func(c *clock, source *rand.Rand) controller {
		admission := admit.New(admit.Config{
			MaxQueued: admissionMaxQueued, MaxRunning: admissionSlots, Random: source, KeepLate: keepLate,
		})
		runs := make(map[string]func(end func()))
		var apply func(decisions []admit.Decision)
		apply = func(decisions []admit.Decision) {
			for _, decision := range decisions {
				run := runs[decision.ID]
				delete(runs, decision.ID)
				if decision.Verdict == admit.Granted {
					run(func() { apply(admission.Finish(c.wallTime(), decision.ID, true)) })
				}
			}
		}
		c.every(100*time.Millisecond, func() { apply(admission.Tick(c.wallTime())) })
		return controller{
			submit: func(request admit.Request, run func(end func())) {
				runs[request.ID] = run
				apply(admission.Submit(c.wallTime(), request))
			},
			setCapacity: func(capacity admit.Capacity) { apply(admission.SetCapacity(c.wallTime(), capacity)) },
		}
	}
}

var controllerKinds = []controllerKind{
	{name: "no admission", create: unlimitedController},
	{name: "bounded queue in order", create: fifoController},
	{name: "gate that keeps late requests", create: admitController(true)},
	{name: "gate", create: admitController(false)},
}

// admissionExperiment compares kinds of admission control during an outage of a third of the slots.
func admissionExperiment(seed int64, runs int) (report *Report) {
	report = &Report{Name: "admission", Seed: seed, Runs: runs}
	for _, load := range []float64{0.6, 1.0, 1.5} {
		for _, kind := range controllerKinds {
			name := fmt.Sprintf("load %.1f, %s", load, kind.name)
			row := summarize(name, eachSeed(seed, runs, func(seed int64) []figureValue { return admissionRun(seed, load, kind) }))
			report.Rows = append(report.Rows, row)
		}
	}
	return report
}

// requestCounts holds the number of submitted requests and, of these, the number answered within their deadline.
type requestCounts struct{ submitted, inTime float64 }

func (c requestCounts) inTimeRatio() float64 { return c.inTime / max(1, c.submitted) }

// admissionTally counts the requests that arrive during the outage and whose deadline is before its end.
type admissionTally struct {
	all, large, small, high, low requestCounts
	late                         float64
}

// countsOf returns the counts that include the request.
func (t *admissionTally) countsOf(request admit.Request) []*requestCounts {
	counts := []*requestCounts{&t.all, &t.small}
	if request.Workspace == "large" {
		counts[1] = &t.large
	}
	switch request.Priority {
	case admit.NumPriorities - 1:
		counts = append(counts, &t.high)
	case 0:
		counts = append(counts, &t.low)
	}
	return counts
}

// admissionRun simulates one case with one seed.
func admissionRun(seed int64, load float64, kind controllerKind) []figureValue {
	source := rand.New(rand.NewSource(seed))
	virtualClock := new(clock)
	backend := &simulatedService{clock: virtualClock, slots: admissionSlots}
	controllers := make([]controller, admissionInstances)
	for i := range controllers {
		controllers[i] = kind.create(virtualClock, rand.New(rand.NewSource(seed*100+int64(i))))
	}
	virtualClock.after(outageStart, func() { backend.setSlots(admissionSlots * 2 / 3) })
	virtualClock.after(outageEnd, func() { backend.setSlots(admissionSlots) })
	virtualClock.every(reportPeriod, func() {
		capacity := admit.Capacity{Slots: backend.slots, Used: backend.inFlight(), Instances: admissionInstances}
		virtualClock.after(reportLag, func() {
			for _, controller := range controllers {
				controller.setCapacity(capacity)
			}
		})
	})
	tally, requestCount := new(admissionTally), 0
	rate := load * admissionSlots / admissionServiceTime.Seconds()
	arrive(virtualClock, source, rate, func() {
		requestCount++
		request := drawRequest(virtualClock, source, requestCount)
		serviceTime := time.Duration(source.ExpFloat64() * float64(admissionServiceTime))
		counted := virtualClock.now >= outageStart && virtualClock.now < outageEnd-admissionDeadline
		if counted {
			for _, count := range tally.countsOf(request) {
				count.submitted++
			}
		}
		controllers[source.Intn(len(controllers))].submit(request, func(end func()) {
			backend.submit(call{serviceTime: serviceTime, done: func() {
				end()
				if counted {
					tally.recordAnswer(request, virtualClock.wallTime())
				}
			}})
		})
	})
	virtualClock.runUntil(admissionDuration + admissionDeadline)
	return tally.figureValues((outageEnd - outageStart - admissionDeadline).Seconds())
}

// drawRequest returns a request with a random workspace and priority.
func drawRequest(virtualClock *clock, source *rand.Rand, number int) admit.Request {
	request := admit.Request{
		ID: fmt.Sprint(number), Workspace: "large", Priority: 5, Deadline: virtualClock.wallTime().Add(admissionDeadline),
	}
	if source.Float64() >= largeShare {
		request.Workspace = fmt.Sprintf("small-%d", source.Intn(smallWorkspaces))
	}
	switch source.Intn(10) {
	case 0:
		request.Priority = 0
	case 1:
		request.Priority = admit.NumPriorities - 1
	}
	return request
}

// recordAnswer counts a request that was answered at the given time.
func (t *admissionTally) recordAnswer(request admit.Request, at time.Time) {
	if at.After(request.Deadline) {
		t.late++
		return
	}
	for _, count := range t.countsOf(request) {
		count.inTime++
	}
}

func (t *admissionTally) figureValues(seconds float64) []figureValue {
	return []figureValue{
		{name: "good/s", value: t.all.inTime / seconds},
		{name: "late/s", value: t.late / seconds},
		{name: "good of large", value: t.large.inTimeRatio()},
		{name: "good of small", value: t.small.inTimeRatio()},
		{name: "good of priority 9", value: t.high.inTimeRatio()},
		{name: "good of priority 0", value: t.low.inTimeRatio()},
	}
}
