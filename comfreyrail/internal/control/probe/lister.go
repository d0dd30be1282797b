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

// Limits of the reads of the platform's list.
const (
	// minMeanInterval is the minimum mean time between reads by one instance.
	minMeanInterval = 2 * time.Second
	// fleetListRate is the maximum number of reads per second by all instances together.
	fleetListRate = 10
	listTimeout   = 5 * time.Second
)

// ListerConfig configures a Lister.
type ListerConfig struct {
	// Store is the client of the platform's store.
	Store *kv.Client
	// Control receives the list and provides the number of instances.
	Control *control.Control
	// Log receives a debug line for each failed read of the list.
	Log *logrus.Entry
}

// Lister periodically reads the platform's list of live and leaving instances and backend servers.
type Lister struct {
	config ListerConfig
}

// NewLister returns a Lister that reads the list while Serve runs.
func NewLister(config ListerConfig) *Lister { return &Lister{config: config} }

// Serve reads the list at random intervals until ctx ends; it returns the error of ctx.
func (l *Lister) Serve(ctx context.Context) error {
	for {
		mean := meanListInterval(len(l.config.Control.Snapshot().Members()))
		if err := pause.For(ctx, mean/2+rand.N(mean)); err != nil {
			return err
		}
		l.readList(ctx)
	}
}

// meanListInterval returns the mean time between reads by one instance in a fleet with the given number of members.
func meanListInterval(members int) time.Duration {
	return max(minMeanInterval, time.Duration(members)*time.Second/fleetListRate)
}

func (l *Lister) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	sentAt := time.Now()
	entries, err := l.config.Store.Instances(ctx)
	if err != nil {
		l.config.Log.WithError(err).Debug("cannot read the platform's list of instances")
		return
	}
	l.config.Control.Send(ctx, control.InstanceListRead{Entries: entries, SentAt: sentAt, At: time.Now()})
}
