package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/comfreyrail/comfreyrail/platform/fakeplatform"
)

// Config configures a run.
type Config struct {
	// Program is the path of the program that the instances run.
	Program string
	// LogDir is the directory for the logs of the processes, empty to discard them.
	LogDir string
	// Seed is the seed of the random faults and of the callers' random requests.
	Seed uint64
	// Duration is the time during which faults are injected.
	Duration time.Duration
	// Instances is the number of instances.
	Instances int
}

// Times and counts of a run.
const (
	// warmUpTime is the time with requests before the first fault.
	warmUpTime = 3 * time.Second
	// recoveryTime is the time with requests after clearFaults.
	recoveryTime = 4 * time.Second
	// entryInterval is the time between two writes of a backend server's entry to the store.
	entryInterval = 400 * time.Millisecond
	// requestInterval is the time between the end of a request and the next one of the same caller, except every longPauseEvery-th time
	// on average.
	requestInterval = 15 * time.Millisecond
	// longPauseEvery is the mean number of pauses of a caller to one that is up to maxPause long, about as long as an idle timeout.
	longPauseEvery = 4
	// maxPause is the maximum time between two requests of a caller.
	maxPause = 200 * time.Millisecond
	// callerCount is the number of concurrent callers.
	callerCount = 6
	// plainServerCount and engineServerCount are the numbers of plain backend servers and of engines.
	plainServerCount, engineServerCount = 3, 8
)

// Report holds the results of a run.
type Report struct {
	// Seed is the seed of the run.
	Seed uint64
	// Requests, Served and Runs are the numbers of requests, complete answers and runs at backend servers.
	Requests, Served, Runs int
	// Reroutes is the number of times that a running stream continued on another chain.
	Reroutes int
	// InjectedFaults describes the faults in order of injection.
	InjectedFaults []string
	// Violations describes the violated guarantees.
	Violations []string
}

// String returns the counts on one line, followed by the violations and the injected faults if there are violations.
func (r Report) String() string {
	text := fmt.Sprintf("soak seed %d: %d requests, %d served, %d runs, %d reroutes, %d faults injected, %d violations",
		r.Seed, r.Requests, r.Served, r.Runs, r.Reroutes, len(r.InjectedFaults), len(r.Violations))
	for _, violation := range r.Violations {
		text += "\n  violation: " + violation
	}
	if len(r.Violations) > 0 {
		text += "\n  injected: " + strings.Join(r.InjectedFaults, "; ")
	}
	return text
}

// harness holds the state of a run: the stand-ins, the instances, the callers and the faults injected so far.
type harness struct {
	config        Config
	random        *rand.Rand
	store         *fakeplatform.Store
	cluster       *fakeplatform.Cluster
	servers       []*fakeplatform.Server
	serverProxies []*proxy
	instances     []*instance
	callers       callers
	startedAt     time.Time
	injected      []string
	heldUp        []string             // the hold-ups and the changes of timeouts
	revoked       map[string]time.Time // time of revocation by API key
	said          []string             // what the backend servers said of themselves
	interruptions []interruption       // of instances and servers, in the order of their starts
	storeFaults   []interruption       // of the way from instances to the store

	mu       sync.Mutex // guards version, keys, timeouts and the additions to interruptions
	version  int
	keys     []fakeplatform.APIKey
	timeouts fakeplatform.Timeouts
}

// Run runs instances under load with injected faults, and returns an error if they violate a guarantee or serve no request.
func Run(ctx context.Context, config Config) (report Report, err error) {
	defer errors.DeferredAnnotatef(&err, "seed %d", config.Seed)
	h := &harness{
		config: config, random: rand.New(rand.NewPCG(config.Seed, 0)), store: fakeplatform.NewStore(),
		cluster: fakeplatform.NewCluster(), revoked: make(map[string]time.Time), startedAt: time.Now(), timeouts: fakeplatform.DefaultTimeouts,
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer h.killAll()
	if err = h.start(ctx); err != nil {
		return report, err
	}
	h.runLoad(ctx)
	report = Report{Seed: config.Seed, InjectedFaults: slices.Concat(h.injected, h.said, h.heldUp), Runs: len(h.cluster.Runs()), Reroutes: h.cluster.Reroutes()}
	report.Violations, report.Served = h.callers.verify(h.cluster.Runs(), h.revoked)
	report.Violations = append(report.Violations, h.cluster.Violations()...)
	report.Violations = append(report.Violations, verifyNotices(h.callers.requests, h.cluster.Arrivals(), h.interruptions)...)
	report.Violations = append(report.Violations, verifyCrashing(h.callers.requests, h.cluster.Crashes(), slices.Concat(h.interruptions, h.storeFaults))...)
	report.Violations = append(report.Violations, verifyAnswered(h.callers.requests, h.exits())...)
	report.Requests = len(h.callers.requests)
	if report.Served == 0 {
		report.Violations = append(report.Violations, "no request was served")
	}
	if len(report.Violations) > 0 {
		return report, errors.Errorf("%d violations of guarantees", len(report.Violations))
	}
	return report, nil
}

// start starts the stand-ins and the instances.
func (h *harness) start(ctx context.Context) (err error) {
	defer errors.DeferredAnnotatef(&err, "start")
	h.updateConfig(func() {
		for i := range 4 {
			h.keys = append(h.keys, fakeplatform.APIKey{Value: fmt.Sprintf("key%d", i), Workspace: fmt.Sprintf("workspace%d", i)})
		}
	})
	for i := range plainServerCount + engineServerCount {
		if err = h.addServer(ctx, i); err != nil {
			return err
		}
	}
	address, err := serve(ctx, h.store)
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return err
	}
	context.AfterFunc(ctx, func() { _ = os.RemoveAll(dir) })
	for i := range h.config.Instances {
		name := fmt.Sprintf("edge%d", i)
		inst, err := newInstance(ctx, h.config, dir, name, string(rune('a'+i%3)), address, func() { h.interrupt(name, 0) })
		if err != nil {
			return err
		}
		h.instances = append(h.instances, inst)
	}
	return nil
}

// serve serves the handler on a free loopback port until ctx is done.
func serve(ctx context.Context, handler http.Handler) (address string, err error) {
	listener, err := listen(ctx)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: requestTimeout}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// addServer starts a backend server behind a proxy and begins to write its entry to the store.
func (h *harness) addServer(ctx context.Context, i int) (err error) {
	s := &fakeplatform.Server{ID: fmt.Sprintf("server%d", i), Service: "app", Zone: string(rune('a' + i%3)), Cluster: h.cluster, Crashed: h.crashed}
	if i >= plainServerCount {
		s.Service, s.Card = "llm", "card"
	}
	address, err := serve(ctx, s)
	if err != nil {
		return err
	}
	serverProxy, err := newProxy(ctx, address)
	if err != nil {
		return err
	}
	s.Address = serverProxy.address()
	s.Start()
	h.servers, h.serverProxies = append(h.servers, s), append(h.serverProxies, serverProxy)
	go h.maintainEntry(ctx, s)
	return nil
}

// maintainEntry writes the entry of a backend server every entryInterval, and deletes it at the third
// consecutive interval in which the server is down.
func (h *harness) maintainEntry(ctx context.Context, s *fakeplatform.Server) {
	ticker := time.NewTicker(entryInterval)
	defer ticker.Stop()
	missed := 0
	for ctx.Err() == nil {
		if s.Down() {
			if missed++; missed == 3 {
				h.store.DeleteServer(s)
			}
		} else {
			missed = 0
			h.store.PutServer(s)
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// updateConfig calls change with the lock held and writes the changed configuration to the store with a new version.
func (h *harness) updateConfig(change func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change()
	h.version++
	h.store.PutConfig(h.version, h.keys, h.timeouts)
}

// runLoad runs the callers through a warm-up, the configured duration with faults and a recovery time. Between the last two it
// calls clearFaults.
func (h *harness) runLoad(ctx context.Context) {
	callersCtx, stopCallers := context.WithCancel(ctx)
	var group sync.WaitGroup
	for i := range callerCount {
		random, pauses := rand.New(rand.NewPCG(h.config.Seed, uint64(i+1))), rand.New(rand.NewPCG(h.config.Seed, uint64(pauseRandomStream+i)))
		group.Go(func() { h.runCaller(callersCtx, random, pauses) })
	}
	time.Sleep(warmUpTime)
	deadline := time.Now().Add(h.config.Duration)
	group.Go(func() { h.injectNotices(ctx, deadline) })
	group.Go(func() { h.injectHoldUps(ctx, deadline) })
	group.Go(func() { h.sendCrashing(ctx, deadline) })
	for time.Now().Before(deadline) && ctx.Err() == nil {
		h.inject()
		time.Sleep(time.Duration(h.random.IntN(600)) * time.Millisecond)
	}
	h.clearFaults()
	time.Sleep(recoveryTime)
	stopCallers()
	group.Wait()
}

// runCaller sends requests to random instances over kept-alive connections, with random pauses, until ctx is done. It does not cancel
// the request in progress.
func (h *harness) runCaller(ctx context.Context, random, pauses *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	kinds := []string{"once", "safe", "stream"}
	keys := []fakeplatform.APIKey{}
	h.readConfig(func() { keys = append(keys, h.keys...) })
	for ctx.Err() == nil {
		target := h.instances[random.IntN(len(h.instances))]
		h.callers.send(context.WithoutCancel(ctx), client, target, kinds[random.IntN(len(kinds))], keys[random.IntN(len(keys))])
		if pauses.IntN(longPauseEvery) == 0 {
			time.Sleep(time.Duration(pauses.Int64N(int64(maxPause))))
		} else {
			time.Sleep(requestInterval)
		}
	}
}

// readConfig calls read with the lock held.
func (h *harness) readConfig(read func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	read()
}

// killAll kills all instances.
func (h *harness) killAll() {
	for _, i := range h.instances {
		i.kill()
	}
}
