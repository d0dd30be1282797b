package probe

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/control"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/runclock"
	"github.com/comfreyrail/comfreyrail/rail/engine"
	"github.com/comfreyrail/comfreyrail/rail/health"
)

// Limits of the probes.
const (
	statusTimeout  = 500 * time.Millisecond
	maxStatusBytes = 64 << 10
	// refreshInterval is the maximum time until servers that new tables add are scheduled for a probe.
	refreshInterval = 100 * time.Millisecond
)

// Rates of the probes, in probes per second.
const (
	// fleetRate is the target rate of all instances together. Fewer than 12 instances stay below it because of maxRate,
	// and more than 60 exceed it because of minRate.
	fleetRate = 600
	maxRate   = 50
	minRate   = 10
)

// Config configures a Prober.
type Config struct {
	// Control provides the list of backend servers and receives the results.
	Control *control.Control
	// HTTP is the client that sends the probes.
	HTTP *http.Client
	// Select returns the names of the servers to probe; nil means all that the tables list.
	Select func(snapshot *control.Snapshot) []string
	// Clock is the clock of the timeouts of probes; nil means an ordinary one.
	Clock *runclock.Clock
}

// Prober requests the status of the backend servers at a limited rate, with at most one outstanding call to each.
type Prober struct {
	config Config
}

// probeResult is the result of one probe.
type probeResult struct {
	name string
	ok   bool
}

// New returns a Prober that probes while Serve runs.
func New(config Config) *Prober {
	if config.Select == nil {
		config.Select = allServers
	}
	return &Prober{config: config}
}

// allServers returns the names of all backend servers of the tables.
func allServers(snapshot *control.Snapshot) []string {
	names := make([]string, 0, len(snapshot.Servers))
	for name := range snapshot.Servers {
		names = append(names, name)
	}
	return names
}

// probeRate returns the rate of the probes by one instance in a fleet of the given size, in probes per second.
//
// It decreases as the fleet grows, since every instance probes every server.
func probeRate(instances int) float64 {
	return max(minRate, min(maxRate, fleetRate/float64(max(1, instances))))
}

// Serve probes the selected servers until ctx ends; it returns the error of ctx.
func (p *Prober) Serve(ctx context.Context) error {
	schedule := health.NewSchedule(health.DefaultScheduleConfig(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))))
	results := make(chan probeResult)
	var scheduled *control.Snapshot
	for {
		snapshot := p.config.Control.Snapshot()
		if scheduled == nil || scheduled.Tables != snapshot.Tables {
			schedule.SetServers(p.config.Select(snapshot), time.Now())
			scheduled = snapshot
		}
		schedule.SetRate(probeRate(len(snapshot.KnownInstances)))
		name, wait := schedule.Next(time.Now())
		if name != "" {
			go p.probe(ctx, name, snapshot.Servers[name].Address, results)
			continue
		}
		select {
		case result := <-results:
			schedule.Complete(result.name, result.ok, time.Now())
		case <-time.After(min(wait, refreshInterval)):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// probe sends one probe and passes its result to the control goroutine and to results.
func (p *Prober) probe(ctx context.Context, name, address string, results chan<- probeResult) {
	sentAt := time.Now()
	status, err := p.requestStatus(ctx, address)
	if err == nil && status.Server != name {
		err = fmt.Errorf("backend server reports the name %q", status.Server)
	}
	if err != nil {
		p.config.Control.Send(ctx, control.ServerFailed{Name: name, SentAt: sentAt, At: time.Now()})
	} else {
		p.config.Control.Send(ctx, control.ServerReported{Name: name, Status: status, SentAt: sentAt, At: time.Now()})
	}
	select {
	case results <- probeResult{name: name, ok: err == nil}:
	case <-ctx.Done():
	}
}

// requestStatus requests the status of the backend server at the address.
func (p *Prober) requestStatus(ctx context.Context, address string) (status engine.Status, err error) {
	defer errors.DeferredAnnotatef(&err, "status of %s", address)
	ctx, cancel := p.config.Clock.WithTimeout(ctx, statusTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+engine.PathStatus, nil)
	if err != nil {
		return status, err
	}
	response, err := p.config.HTTP.Do(request)
	if err != nil {
		return status, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return status, fmt.Errorf("responded with status code %d", response.StatusCode)
	}
	err = json.NewDecoder(http.MaxBytesReader(nil, response.Body, maxStatusBytes)).Decode(&status)
	return status, err
}
