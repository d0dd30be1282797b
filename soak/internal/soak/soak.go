package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/comfreyrail/comfreyrail/platform/fakeplatform"
)

// Config configures a run.
type Config struct {
	// Program is the gateway's program.
	Program string
	// LogDir is the folder for the logs of the processes, empty for none.
	LogDir string
	// Seed draws the faults.
	Seed uint64
	// Duration is the time with faults.
	Duration time.Duration
	// Instances is the number of gateways.
	Instances int
}

// Times and sizes of a run.
const (
	// startTime is the time before the first fault.
	startTime = 3 * time.Second
	// healTime is the time without faults at the end.
	healTime = 4 * time.Second
	// beatEvery is the time between two entries of a server.
	beatEvery = 400 * time.Millisecond
	// askEvery is the time between two requests of a caller.
	askEvery = 15 * time.Millisecond
	// callerCount is the number of callers.
	callerCount = 6
	// plainServers and engineServers are the numbers of servers.
	plainServers, engineServers = 3, 8
)

// Report is what a run has seen.
type Report struct {
	// Seed is the seed of the run.
	Seed uint64
	// Requests, Served and Runs count requests, whole answers and runs at servers.
	Requests, Served, Runs int
	// Reroutes counts streams that were moved past an engine.
	Reroutes int
	// InjectedFaults lists the faults in order.
	InjectedFaults []string
	// Violations lists the promises that were broken.
	Violations []string
}

// String returns the report as text.
func (r Report) String() string {
	text := fmt.Sprintf("soak seed %d: %d asked, %d served, %d runs, %d moves, %d faults injected, %d promises broken",
		r.Seed, r.Requests, r.Served, r.Runs, r.Reroutes, len(r.InjectedFaults), len(r.Violations))
	for _, fault := range r.Violations {
		text += "\n  BROKEN " + fault
	}
	if len(r.Violations) > 0 {
		text += "\n  injected: " + strings.Join(r.InjectedFaults, "; ")
	}
	return text
}

// world is one run.
type world struct {
	config    Config
	random    *rand.Rand
	store     *fakeplatform.Store
	cluster   *fakeplatform.Cluster
	servers   []*fakeplatform.Server
	links     []*proxy
	instances []*instance
	callers   callers
	began     time.Time
	injected  []string

	mu      sync.Mutex
	version int
	keys    []fakeplatform.Key
	revoked map[string]time.Time
}

// Run runs gateways with faults and returns an error if a promise was broken.
func Run(ctx context.Context, config Config) (report Report, err error) {
	defer errors.DeferredAnnotatef(&err, "seed %d", config.Seed)
	w := &world{
		config: config, random: rand.New(rand.NewPCG(config.Seed, 0)), store: fakeplatform.NewStore(),
		cluster: fakeplatform.NewCluster(), revoked: make(map[string]time.Time), began: time.Now(),
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer w.end()
	if err = w.start(ctx); err != nil {
		return report, err
	}
	w.play(ctx)
	report = Report{Seed: config.Seed, InjectedFaults: w.injected, Runs: len(w.cluster.Runs()), Reroutes: w.cluster.Reroutes()}
	report.Violations, report.Served = w.callers.check(w.cluster.Runs(), w.revoked)
	report.Violations = append(report.Violations, w.cluster.Violations()...)
	report.Requests = len(w.callers.asked)
	if report.Served == 0 {
		report.Violations = append(report.Violations, "no request was served")
	}
	if len(report.Violations) > 0 {
		return report, errors.Errorf("%d promises broken", len(report.Violations))
	}
	return report, nil
}

// start brings up the stand-ins and the gateways.
func (w *world) start(ctx context.Context) (err error) {
	defer errors.DeferredAnnotatef(&err, "start")
	w.configure(func() {
		for i := range 4 {
			w.keys = append(w.keys, fakeplatform.Key{Key: fmt.Sprintf("key%d", i), Workspace: fmt.Sprintf("workspace%d", i)})
		}
	})
	for i := range plainServers + engineServers {
		if err = w.addServer(ctx, i); err != nil {
			return err
		}
	}
	address, err := serve(ctx, w.store)
	if err != nil {
		return err
	}
	folder, err := os.MkdirTemp("", "soak")
	if err != nil {
		return err
	}
	context.AfterFunc(ctx, func() { _ = os.RemoveAll(folder) })
	for i := range w.config.Instances {
		started, err := newInstance(ctx, w.config, folder, fmt.Sprintf("edge%d", i), string(rune('a'+i%3)), address)
		if err != nil {
			return err
		}
		w.instances = append(w.instances, started)
	}
	return nil
}

// serve serves a handler on a free port of the loopback until the context ends.
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

// addServer starts a server behind a proxy, and its heartbeats.
func (w *world) addServer(ctx context.Context, i int) (err error) {
	s := &fakeplatform.Server{ID: fmt.Sprintf("server%d", i), Service: "app", Zone: string(rune('a' + i%3)), Cluster: w.cluster}
	if i >= plainServers {
		s.Service, s.Card = "llm", "card"
	}
	address, err := serve(ctx, s)
	if err != nil {
		return err
	}
	link, err := newProxy(ctx, address)
	if err != nil {
		return err
	}
	s.Address = link.address()
	s.Start()
	w.servers, w.links = append(w.servers, s), append(w.links, link)
	go w.beat(ctx, s)
	return nil
}

// beat writes the server's entry, and removes it some time after a crash.
func (w *world) beat(ctx context.Context, s *fakeplatform.Server) {
	ticker := time.NewTicker(beatEvery)
	defer ticker.Stop()
	missed := 0
	for ctx.Err() == nil {
		if s.Down() {
			if missed++; missed == 3 {
				w.store.DeleteServer(s)
			}
		} else {
			missed = 0
			w.store.PutServer(s)
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// configure changes the configuration.
func (w *world) configure(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
	w.version++
	w.store.PutConfig(w.version, w.keys)
}

// play lets callers call while faults are injected, and then heals everything.
func (w *world) play(ctx context.Context) {
	calling, stop := context.WithCancel(ctx)
	var group sync.WaitGroup
	for i := range callerCount {
		group.Go(func() { w.call(calling, rand.New(rand.NewPCG(w.config.Seed, uint64(i+1)))) })
	}
	time.Sleep(startTime)
	for end := time.Now().Add(w.config.Duration); time.Now().Before(end) && ctx.Err() == nil; {
		w.inject()
		time.Sleep(time.Duration(w.random.IntN(600)) * time.Millisecond)
	}
	w.heal()
	time.Sleep(healTime)
	stop()
	group.Wait()
}

// call sends requests to instances over connections that it keeps.
func (w *world) call(ctx context.Context, random *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	kinds := []string{"once", "safe", "stream"}
	keys := []fakeplatform.Key{}
	w.configureRead(func() { keys = append(keys, w.keys...) })
	for ctx.Err() == nil {
		instance := w.instances[random.IntN(len(w.instances))]
		w.callers.ask(context.WithoutCancel(ctx), client, instance.caller, kinds[random.IntN(len(kinds))], keys[random.IntN(len(keys))])
		time.Sleep(askEvery)
	}
}

func (w *world) configureRead(read func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	read()
}

func (w *world) end() {
	for _, i := range w.instances {
		i.end()
	}
}
