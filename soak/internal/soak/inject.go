package soak

import (
	"fmt"
	"net/http"
	"syscall"
	"time"

	"github.com/comfreyrail/comfreyrail/platform/fakeplatform"
)

// injection is a kind of fault with its chance.
type injection struct {
	name   string
	weight int
	inject func(w *world) string
}

// injections lists the kinds of faults.
var injections = []injection{
	{"kill", 3, (*world).kill},
	{"pause", 3, (*world).pause},
	{"terminate", 3, (*world).terminate},
	{"reload", 1, (*world).reload},
	{"store link", 3, (*world).storeLink},
	{"server link", 4, (*world).serverLink},
	{"server crash", 3, (*world).crash},
	{"store", 2, (*world).storeFault},
	{"configuration", 2, (*world).change},
	{"revoke", 1, (*world).revoke},
	{"history", 1, (*world).forget},
	{"store slow", 2, (*world).storeSlow},
	{"store loses answers", 2, (*world).storeLoses},
	{"server slow", 3, (*world).serverSlow},
	{"server spoils answers", 2, (*world).serverSpoils},
	{"orders late", 2, (*world).ordersLate},
	{"roll", 1, (*world).roll},
}

// inject does one thing by chance.
func (w *world) inject() {
	total := 0
	for _, kind := range injections {
		total += kind.weight
	}
	point := w.random.IntN(total)
	for _, kind := range injections {
		if point -= kind.weight; point < 0 {
			at := time.Since(w.began).Round(time.Millisecond)
			w.injected = append(w.injected, fmt.Sprintf("%v %s %s", at, kind.name, kind.inject(w)))
			return
		}
	}
}

func (w *world) anyInstance() *instance { return w.instances[w.random.IntN(len(w.instances))] }

func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)))
}

func (w *world) kill() string {
	i := w.anyInstance()
	i.signal(syscall.SIGKILL)
	return i.name
}

// pause stops a process for longer or shorter than its lease lasts.
func (w *world) pause() string {
	i, length := w.anyInstance(), w.between(200*time.Millisecond, 6*time.Second)
	i.signal(syscall.SIGSTOP)
	time.AfterFunc(length, func() { i.signal(syscall.SIGCONT) })
	return fmt.Sprintf("%s for %v", i.name, length.Round(time.Millisecond))
}

func (w *world) terminate() string {
	i := w.anyInstance()
	i.signal(syscall.SIGTERM)
	return i.name
}

func (w *world) reload() string {
	i := w.anyInstance()
	i.signal(syscall.SIGHUP)
	return i.name
}

// harm puts a fault on a link for a while.
func (w *world) harm(link *proxy) string {
	f, length := fault(1+w.random.IntN(int(reset))), w.between(100*time.Millisecond, 3*time.Second)
	link.set(f)
	time.AfterFunc(length, func() { link.set(none) })
	return fmt.Sprintf("fault %d for %v", f, length.Round(time.Millisecond))
}

func (w *world) storeLink() string {
	i := w.anyInstance()
	return i.name + " " + w.harm(i.store)
}

func (w *world) serverLink() string {
	n := w.random.IntN(len(w.links))
	return w.servers[n].ID + " " + w.harm(w.links[n])
}

// crash ends a server; it starts again under its name, empty.
func (w *world) crash() string {
	s, length := w.anyServer(), w.between(300*time.Millisecond, 3*time.Second)
	s.Crash()
	time.AfterFunc(length, s.Start)
	return fmt.Sprintf("%s for %v", s.ID, length.Round(time.Millisecond))
}

func (w *world) storeFault() string {
	statuses := []int{http.StatusServiceUnavailable, http.StatusTooManyRequests}
	status, length := statuses[w.random.IntN(len(statuses))], w.between(200*time.Millisecond, 4*time.Second)
	w.store.FailWith(status)
	time.AfterFunc(length, func() { w.store.FailWith(0) })
	return fmt.Sprintf("answers %d for %v", status, length.Round(time.Millisecond))
}

// during does something to anything for a while, and undoes it.
func (w *world) during(name string, most time.Duration, do, undo func()) string {
	length := w.between(most/10, most)
	do()
	time.AfterFunc(length, undo)
	return fmt.Sprintf("%s for %v", name, length.Round(time.Millisecond))
}

func (w *world) anyServer() *fakeplatform.Server { return w.servers[w.random.IntN(len(w.servers))] }

func (w *world) storeSlow() string {
	delay := w.between(100*time.Millisecond, 1200*time.Millisecond)
	return w.during(fmt.Sprintf("by %v", delay.Round(time.Millisecond)), 4*time.Second, func() { w.store.SetDelay(delay) }, func() { w.store.SetDelay(0) })
}

func (w *world) storeLoses() string {
	return w.during("writes", 3*time.Second, func() { w.store.LoseResponses(true) }, func() { w.store.LoseResponses(false) })
}

func (w *world) serverSlow() string {
	s, times := w.anyServer(), 2+w.random.IntN(14)
	return w.during(fmt.Sprintf("%s %d times", s.ID, times), 4*time.Second, func() { s.SetSlowness(times) }, func() { s.SetSlowness(1) })
}

func (w *world) serverSpoils() string {
	s := w.anyServer()
	return w.during(s.ID, 3*time.Second, func() { s.CorruptResponses(true) }, func() { s.CorruptResponses(false) })
}

func (w *world) ordersLate() string {
	s := w.anyServer()
	return w.during(s.ID, 4*time.Second, func() { s.DelayOrders(true) }, func() { s.DelayOrders(false) })
}

// roll stops all instances in turn, whatever else happens.
func (w *world) roll() string {
	for n, i := range w.instances {
		time.AfterFunc(time.Duration(n)*rollPause, func() { i.signal(syscall.SIGTERM) })
	}
	return "all instances"
}

// rollPause is the time between two stops of a rolling restart.
const rollPause = 700 * time.Millisecond

func (w *world) change() string {
	w.configure(func() {})
	return fmt.Sprintf("version %d", w.version)
}

// revoke takes a key away for good; one stays.
func (w *world) revoke() string {
	if len(w.keys) < 2 {
		return "none left"
	}
	taken := w.keys[len(w.keys)-1]
	w.configure(func() { w.keys = w.keys[:len(w.keys)-1] })
	w.revoked[taken.Key] = time.Now()
	return taken.Key
}

func (w *world) forget() string {
	w.store.DiscardHistory()
	return "dropped"
}

// heal ends all faults.
func (w *world) heal() {
	w.store.FailWith(0)
	w.store.SetDelay(0)
	w.store.LoseResponses(false)
	for _, link := range w.links {
		link.set(none)
	}
	for _, i := range w.instances {
		i.store.set(none)
		i.signal(syscall.SIGCONT)
	}
	for _, s := range w.servers {
		s.SetSlowness(1)
		s.CorruptResponses(false)
		s.DelayOrders(false)
		if s.Down() {
			s.Start()
		}
	}
}
