package load

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"
)

// readyTimeout is the longest time of a readiness check.
const readyTimeout = time.Second

// maxIdle is the number of idle connections that callers keep to an instance.
const maxIdle = 1024

// balancer hands requests to the instances in turn, as far as it believes them ready.
type balancer struct {
	lag     time.Duration
	targets []*target
	turn    atomic.Uint64
}

// target is one instance with the callers' connections to it.
type target struct {
	instance Instance
	client   *http.Client
	ready    atomic.Bool
}

func newBalancer(config Config) *balancer {
	b := &balancer{lag: config.BalancerLag}
	for _, instance := range config.Instances {
		transport := &http.Transport{MaxIdleConnsPerHost: maxIdle, DisableCompression: true}
		b.targets = append(b.targets, &target{instance: instance, client: &http.Client{Transport: transport}})
	}
	return b
}

// check asks every instance once whether it is ready and believes the answers at once.
func (b *balancer) check(ctx context.Context) {
	for _, t := range b.targets {
		t.ready.Store(t.ask(ctx))
	}
}

// watch checks readiness until the context ends; an answer takes effect after the lag.
func (b *balancer) watch(ctx context.Context) {
	ticker := time.NewTicker(b.lag / 2)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		for _, t := range b.targets {
			go func() {
				ready := t.ask(ctx)
				time.AfterFunc(b.lag/2, func() { t.ready.Store(ready) })
			}()
		}
	}
}

// choose returns the next ready instance, or any one if none is ready.
func (b *balancer) choose() *target {
	start := b.turn.Add(1)
	for i := range b.targets {
		t := b.targets[(start+uint64(i))%uint64(len(b.targets))]
		if t.ready.Load() {
			return t
		}
	}
	return b.targets[start%uint64(len(b.targets))]
}

// ask reports whether the instance answers that it is ready.
func (t *target) ask(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.instance.ReadyAddress+"/ready", nil)
	if err != nil {
		return false
	}
	request.Close = true
	response, err := t.client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
