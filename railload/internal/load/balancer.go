package load

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"
)

// probeTimeout is the timeout of a readiness probe.
const probeTimeout = time.Second

// maxIdleConns is the maximum number of idle connections to each instance.
const maxIdleConns = 1024

// balancer stands in for the platform's load balancer: it distributes requests round-robin over the instances that were ready
// when last probed.
type balancer struct {
	lag     time.Duration
	targets []*target
	next    atomic.Uint64
}

// target is one instance with the HTTP client for it and its last known readiness.
type target struct {
	instance Instance
	client   *http.Client
	ready    atomic.Bool
}

func newBalancer(config Config) *balancer {
	b := &balancer{lag: config.BalancerLag}
	for _, instance := range config.Instances {
		transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true}
		b.targets = append(b.targets, &target{instance: instance, client: &http.Client{Transport: transport}})
	}
	return b
}

// probeAll probes the readiness of every instance once and applies the results immediately.
func (b *balancer) probeAll(ctx context.Context) {
	for _, t := range b.targets {
		t.ready.Store(t.probe(ctx))
	}
}

// probePeriodically probes the readiness of every instance until the context ends.
//
// It probes twice per lag and applies a result half a lag later, so that a change of readiness takes effect within the
// lag and the time of the probe.
func (b *balancer) probePeriodically(ctx context.Context) {
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
				ready := t.probe(ctx)
				time.AfterFunc(b.lag/2, func() { t.ready.Store(ready) })
			}()
		}
	}
}

// choose returns the next ready instance, or the next one regardless of readiness if none is ready.
func (b *balancer) choose() *target {
	start := b.next.Add(1)
	for i := range b.targets {
		candidate := b.targets[(start+uint64(i))%uint64(len(b.targets))]
		if candidate.ready.Load() {
			return candidate
		}
	}
	return b.targets[start%uint64(len(b.targets))]
}

// probe reports whether the instance responds to GET /ready with status 200.
func (t *target) probe(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
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
