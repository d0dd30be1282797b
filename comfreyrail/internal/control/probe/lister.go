package probe

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/control"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/pause"
	"github.com/comfreyrail/comfreyrail/rail/kv"
)

// Rates of the readings of the platform's list.
const (
	// listInterval is the least mean time between readings by one instance.
	listInterval = 2 * time.Second
	// fleetListRate is the greatest number of readings per second by all instances together.
	fleetListRate = 10
	listTimeout   = 5 * time.Second
)

// ListerConfig configures a Lister.
type ListerConfig struct {
	// Store is the platform's service.
	Store *kv.Client
	// Control receives the readings and knows the size of the fleet.
	Control *control.Control
	// Log receives the log.
	Log *logrus.Entry
}

// Lister reads the platform's list of live and leaving instances and backend servers.
type Lister struct {
	config ListerConfig
}

// NewLister returns a Lister.
func NewLister(config ListerConfig) *Lister { return &Lister{config: config} }

// Serve reads the list until the context ends.
func (l *Lister) Serve(ctx context.Context) error {
	for {
		mean := listPause(len(l.config.Control.Snapshot().Members()))
		if err := pause.For(ctx, mean/2+rand.N(mean)); err != nil {
			return err
		}
		l.read(ctx)
	}
}

// listPause returns the mean time between readings by one of so many instances.
func listPause(members int) time.Duration {
	return max(listInterval, time.Duration(members)*time.Second/fleetListRate)
}

func (l *Lister) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	asked := time.Now()
	instances, err := l.config.Store.Instances(ctx)
	if err != nil {
		l.config.Log.WithError(err).Debug("cannot read the list of instances")
		return
	}
	l.config.Control.Send(ctx, control.InstanceListRead{Instances: instances, SentAt: asked, At: time.Now()})
}
