package probe

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/control"
	"github.com/comfreyrail/comfreyrail/rail/engine"
)

// Times of the status calls.
const (
	interval = 500 * time.Millisecond
	timeout  = time.Second
)

// Config configures a Prober.
type Config struct {
	// Control lists the backend servers and receives their reports.
	Control *control.Control
	// HTTP makes the calls.
	HTTP *http.Client
}

// Prober asks every listed backend server for its status.
type Prober struct {
	control *control.Control
	http    *http.Client
}

// New returns a Prober.
func New(config Config) *Prober {
	return &Prober{control: config.Control, http: config.HTTP}
}

// Serve probes until the context ends.
func (p *Prober) Serve(ctx context.Context) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		for name, server := range p.control.Snapshot().Servers {
			go p.report(ctx, name, server.Address)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (p *Prober) report(ctx context.Context, name, address string) {
	status, err := p.Status(ctx, address)
	if err != nil {
		p.control.Send(ctx, control.ServerFailed{Name: name})
		return
	}
	p.control.Send(ctx, control.ServerReported{Name: name, Status: status, At: time.Now()})
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
	response, err := p.http.Do(request)
	if err != nil {
		return status, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return status, fmt.Errorf("answered with status code %d", response.StatusCode)
	}
	err = json.NewDecoder(response.Body).Decode(&status)
	return status, err
}
