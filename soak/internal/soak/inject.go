package soak

import (
	"fmt"
	"net/http"
	"syscall"
	"time"

	"github.com/comfreyrail/comfreyrail/platform/fakeplatform"
)

// faultKind is a kind of fault and its relative probability.
type faultKind struct {
	name   string
	weight int
	inject func(h *harness) string // injects the fault and returns its description
}

// faultKinds lists the kinds of faults that inject draws from; their order and weights determine what a seed draws.
var faultKinds = []faultKind{
	{"kill", 3, (*harness).killInstance},
	{"pause", 3, (*harness).pauseInstance},
	{"terminate", 3, (*harness).terminateInstance},
	{"reload", 1, (*harness).reloadInstance},
	{"store link", 3, (*harness).injectStoreLinkFault},
	{"server link", 4, (*harness).injectServerLinkFault},
	{"server crash", 3, (*harness).crashServer},
	{"store", 2, (*harness).failStore},
	{"configuration", 2, (*harness).rewriteConfig},
	{"revoke", 1, (*harness).revokeKey},
	{"history", 1, (*harness).discardHistory},
	{"store slow", 2, (*harness).delayStore},
	{"store loses responses", 2, (*harness).loseStoreResponses},
	{"server slow", 3, (*harness).slowServer},
	{"server corrupts responses", 2, (*harness).corruptResponses},
	{"orders delayed", 2, (*harness).delayOrders},
	{"roll", 1, (*harness).rollInstances},
	{"store restored", 2, (*harness).restoreStore},
	{"server silent", 2, (*harness).silenceServer},
}

// inject injects a fault of a random kind and records its description.
func (h *harness) inject() {
	totalWeight := 0
	for _, kind := range faultKinds {
		totalWeight += kind.weight
	}
	draw := h.random.IntN(totalWeight)
	for _, kind := range faultKinds {
		if draw -= kind.weight; draw < 0 {
			at := time.Since(h.startedAt).Round(time.Millisecond)
			h.injected = append(h.injected, fmt.Sprintf("%v %s %s", at, kind.name, kind.inject(h)))
			return
		}
	}
}

func (h *harness) randomInstance() *instance { return h.instances[h.random.IntN(len(h.instances))] }

// randomDuration returns a duration of at least low and less than high.
func (h *harness) randomDuration(low, high time.Duration) time.Duration {
	return between(h.random, low, high)
}

func (h *harness) killInstance() string {
	i := h.randomInstance()
	i.signal(syscall.SIGKILL)
	return i.name
}

// pauseInstance suspends a process with SIGSTOP for a time that may be shorter or longer than its lease.
func (h *harness) pauseInstance() string {
	i, duration := h.randomInstance(), h.randomDuration(200*time.Millisecond, 6*time.Second)
	h.interrupt(i.name, duration)
	i.signal(syscall.SIGSTOP)
	time.AfterFunc(duration, func() { i.signal(syscall.SIGCONT) })
	return fmt.Sprintf("%s for %v", i.name, duration.Round(time.Millisecond))
}

func (h *harness) terminateInstance() string {
	i := h.randomInstance()
	i.signal(syscall.SIGTERM)
	return i.name
}

func (h *harness) reloadInstance() string {
	i := h.randomInstance()
	i.signal(syscall.SIGHUP)
	return i.name
}

// maxLinkFault is the maximum duration of a fault of a link.
const maxLinkFault = 3 * time.Second

// injectLinkFault sets a random fault on a link for a time between 0.1 seconds and maxLinkFault.
func (h *harness) injectLinkFault(link *proxy) string {
	f, duration := linkFault(1+h.random.IntN(int(resetConns))), h.randomDuration(100*time.Millisecond, maxLinkFault)
	link.setFault(f)
	time.AfterFunc(duration, func() { link.setFault(noFault) })
	return fmt.Sprintf("fault %d for %v", f, duration.Round(time.Millisecond))
}

func (h *harness) injectStoreLinkFault() string {
	i := h.randomInstance()
	h.disturbStore(i.name, maxLinkFault)
	return i.name + " " + h.injectLinkFault(i.storeProxy)
}

func (h *harness) injectServerLinkFault() string {
	n := h.random.IntN(len(h.serverProxies))
	h.interrupt(h.servers[n].ID, maxLinkFault)
	return h.servers[n].ID + " " + h.injectLinkFault(h.serverProxies[n])
}

// crashServer crashes a backend server, which restarts later with the same id and no layers loaded.
func (h *harness) crashServer() string {
	s, duration := h.randomServer(), h.randomDuration(300*time.Millisecond, 3*time.Second)
	h.restart(s, duration)
	return fmt.Sprintf("%s for %v", s.ID, duration.Round(time.Millisecond))
}

func (h *harness) failStore() string {
	statuses := []int{http.StatusServiceUnavailable, http.StatusTooManyRequests}
	status, duration := statuses[h.random.IntN(len(statuses))], h.randomDuration(200*time.Millisecond, 4*time.Second)
	h.store.FailWith(status)
	time.AfterFunc(duration, func() { h.store.FailWith(0) })
	return fmt.Sprintf("status %d for %v", status, duration.Round(time.Millisecond))
}

// injectFor applies a fault for a random time between a tenth of maxDuration and maxDuration, and then reverts it.
func (h *harness) injectFor(name string, maxDuration time.Duration, apply, revert func()) string {
	duration := h.randomDuration(maxDuration/10, maxDuration)
	apply()
	time.AfterFunc(duration, revert)
	return fmt.Sprintf("%s for %v", name, duration.Round(time.Millisecond))
}

func (h *harness) randomServer() *fakeplatform.Server {
	return h.servers[h.random.IntN(len(h.servers))]
}

func (h *harness) delayStore() string {
	delay := h.randomDuration(100*time.Millisecond, 1200*time.Millisecond)
	return h.injectFor(fmt.Sprintf("by %v", delay.Round(time.Millisecond)), 4*time.Second, func() { h.store.SetDelay(delay) }, func() { h.store.SetDelay(0) })
}

func (h *harness) loseStoreResponses() string {
	return h.injectFor("to POST calls", 3*time.Second, func() { h.store.LoseResponses(true) }, func() { h.store.LoseResponses(false) })
}

func (h *harness) slowServer() string {
	s, factor := h.randomServer(), 2+h.random.IntN(14)
	return h.injectFor(fmt.Sprintf("%s by a factor of %d", s.ID, factor), 4*time.Second, func() { s.SetSlowness(factor) }, func() { s.SetSlowness(1) })
}

func (h *harness) corruptResponses() string {
	s := h.randomServer()
	return h.injectFor(s.ID, 3*time.Second, func() { s.CorruptResponses(true) }, func() { s.CorruptResponses(false) })
}

func (h *harness) delayOrders() string {
	s := h.randomServer()
	return h.injectFor(s.ID, 4*time.Second, func() { s.DelayOrders(true) }, func() { s.DelayOrders(false) })
}

// rollInstances terminates all instances one after another, regardless of other faults.
func (h *harness) rollInstances() string {
	for n, i := range h.instances {
		time.AfterFunc(time.Duration(n)*rollInterval, func() { i.signal(syscall.SIGTERM) })
	}
	return "all instances"
}

// rollInterval is the time between the terminations of two instances in a rolling restart.
const rollInterval = 700 * time.Millisecond

// rewriteConfig writes the configuration with a new version and no other change.
func (h *harness) rewriteConfig() string {
	h.updateConfig(func() {})
	return fmt.Sprintf("version %d", h.version)
}

// revokeKey removes a key from the configuration permanently, unless it is the last one.
func (h *harness) revokeKey() string {
	if len(h.keys) < 2 {
		return "only one key left"
	}
	revoked := h.keys[len(h.keys)-1]
	h.updateConfig(func() { h.keys = h.keys[:len(h.keys)-1] })
	h.revoked[revoked.Value] = time.Now()
	return revoked.Value
}

func (h *harness) discardHistory() string {
	h.store.DiscardHistory()
	return "dropped"
}

// clearFaults ends the faults of the store, the links and the backend servers, resumes paused instances and restarts the backend
// servers that have crashed. Revoked keys stay revoked, and a rolling restart that has begun goes on.
func (h *harness) clearFaults() {
	h.store.FailWith(0)
	h.store.SetDelay(0)
	h.store.LoseResponses(false)
	for _, p := range h.serverProxies {
		p.setFault(noFault)
	}
	for _, i := range h.instances {
		i.storeProxy.setFault(noFault)
		i.signal(syscall.SIGCONT)
	}
	for _, s := range h.servers {
		s.SetSlowness(1)
		s.CorruptResponses(false)
		s.DelayOrders(false)
		if s.Down() {
			s.Start()
		}
	}
}
