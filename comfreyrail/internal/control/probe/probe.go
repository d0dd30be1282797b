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
	"github.com/comfreyrail/comfreyrail/rail/engine"
	"github.com/comfreyrail/comfreyrail/rail/health"
)

// Limits of the status calls.
const (
	timeout        = 500 * time.Millisecond
	maxStatusBytes = 64 << 10
	// refreshInterval is the greatest time until servers that the tables added are asked.
	refreshInterval = 100 * time.Millisecond
)

// Rates of the status calls, in calls per second.
const (
	// fleetRate is the rate of all instances together, as long as each has at least minRate.
	fleetRate = 600
	maxRate   = 50
	minRate   = 10
)

// Config configures a Prober.
type Config struct {
	// Control lists the backend servers and receives their reports.
	Control *control.Control
	// HTTP makes the calls.
	HTTP *http.Client
	// Select returns the names of the servers to ask; nil means all that the tables list.
	Select func(snapshot *control.Snapshot) []string
}

// Prober asks the backend servers for their status, at a bounded rate and with one outstanding call to each.
type Prober struct {
	config Config
}

// answer is the end of one status call.
type answer struct {
	name string
	ok   bool
}

// New returns a Prober.
func New(config Config) *Prober {
	if config.Select == nil {
		config.Select = all
	}
	return &Prober{config: config}
}

// all returns the names of all backend servers of the tables.
func all(snapshot *control.Snapshot) []string {
	names := make([]string, 0, len(snapshot.Servers))
	for name := range snapshot.Servers {
		names = append(names, name)
	}
	return names
}

// callRate returns the rate of one of so many instances; it falls as the fleet grows, since every server answers all.
func callRate(instances int) float64 {
	return max(minRate, min(maxRate, fleetRate/float64(max(1, instances))))
}

// Serve probes until the context ends.
func (p *Prober) Serve(ctx context.Context) error {
	schedule := health.NewSchedule(health.DefaultScheduleConfig(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))))
	answers := make(chan answer)
	var listed *control.Snapshot
	for {
		snapshot := p.config.Control.Snapshot()
		if listed == nil || listed.Tables != snapshot.Tables {
			schedule.SetServers(p.config.Select(snapshot), time.Now())
			listed = snapshot
		}
		schedule.SetRate(callRate(len(snapshot.Fleet)))
		name, wait := schedule.Next(time.Now())
		if name != "" {
			go p.ask(ctx, name, snapshot.Servers[name].Address, answers)
			continue
		}
		select {
		case done := <-answers:
			schedule.Complete(done.name, done.ok, time.Now())
		case <-time.After(min(wait, refreshInterval)):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// ask makes one status call and tells the control goroutine and the schedule how it ended.
func (p *Prober) ask(ctx context.Context, name, address string, answers chan<- answer) {
	asked := time.Now()
	status, err := p.Status(ctx, address)
	if err == nil && status.Server != name {
		err = fmt.Errorf("backend server calls itself %q", status.Server)
	}
	if err != nil {
		p.config.Control.Send(ctx, control.ServerFailed{Name: name, SentAt: asked, At: time.Now()})
	} else {
		p.config.Control.Send(ctx, control.ServerReported{Name: name, Status: status, SentAt: asked, At: time.Now()})
	}
	select {
	case answers <- answer{name: name, ok: err == nil}:
	case <-ctx.Done():
	}
}

// Status asks one backend server for its status.
func (p *Prober) Status(ctx context.Context, address string) (status engine.Status, err error) {
	defer errors.DeferredAnnotatef(&err, "status of %s", address)
	ctx, cancel := context.WithTimeout(ctx, timeout)
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
		return status, fmt.Errorf("answered with status code %d", response.StatusCode)
	}
	err = json.NewDecoder(http.MaxBytesReader(nil, response.Body, maxStatusBytes)).Decode(&status)
	return status, err
}
