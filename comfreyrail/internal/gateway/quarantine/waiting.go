package quarantine

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/comfreyrail/comfreyrail/rail/poison"
)

// waitingRequest is a request that waits at a server for the begin of its answer.
type waitingRequest struct {
	request  poison.Request
	withdraw func(cause poison.Cause)
}

// Waiting records that a request waits at a server for the begin of its answer, until done is called. If it turns out meanwhile that
// it must not be sent, withdraw is called once, which must not wait.
func (k *Keeper) Waiting(waiting poison.Request, withdraw func(cause poison.Cause)) (done func()) {
	request := &waitingRequest{request: waiting, withdraw: withdraw}
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
	cause, ok := k.finder.Blocked(now, request.request)
	if !ok {
		return
	}
	delete(k.waiting, request)
	metrics.GetOrRegisterCounter("quarantine.withdrawn", k.config.Metrics).Inc(1)
	request.withdraw(cause)
}
