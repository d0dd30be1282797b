package quarantine

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// waitingRequest is a request that waits at an engine for the begin of its answer.
type waitingRequest struct {
	parts    []string
	withdraw func(part string)
}

// Waiting records that a request with the shared parts waits at an engine for the begin of its answer, until done is called. If one
// of its parts turns out to be poisoned meanwhile, withdraw is called once, which must not wait.
func (k *Keeper) Waiting(parts []string, withdraw func(part string)) (done func()) {
	request := &waitingRequest{parts: parts, withdraw: withdraw}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.waiting[request] = true
	k.withdrawIfBlocked(time.Now(), request) // it may have become blocked since it was checked
	return func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		delete(k.waiting, request)
	}
}

// withdrawBlocked withdraws the waiting requests that are blocked. The caller must hold the mutex.
func (k *Keeper) withdrawBlocked() {
	now := time.Now()
	for request := range k.waiting {
		k.withdrawIfBlocked(now, request)
	}
}

// withdrawIfBlocked withdraws a waiting request if it is blocked. The caller must hold the mutex.
func (k *Keeper) withdrawIfBlocked(now time.Time, request *waitingRequest) {
	part, ok := k.finder.Blocked(now, request.parts)
	if !ok {
		return
	}
	delete(k.waiting, request)
	metrics.GetOrRegisterCounter("quarantine.withdrawn", k.config.Metrics).Inc(1)
	request.withdraw(part)
}
