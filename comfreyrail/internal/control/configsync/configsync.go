package configsync

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/control"
	"github.com/comfreyrail/comfreyrail/rail/kv"
	"github.com/comfreyrail/comfreyrail/rail/table"
)

// headKey is the key of the record that holds the tables.
const headKey = "config-head"

// Times of the reads of the service.
const (
	watchWait  = 10 * time.Second
	retryPause = time.Second
)

// Config configures a Sync.
type Config struct {
	// Store is the platform's service.
	Store *kv.Client
	// Control receives the tables.
	Control *control.Control
	// Log receives the log.
	Log *logrus.Entry
}

// Sync reads the tables and writes edits.
type Sync struct {
	store   *kv.Client
	control *control.Control
	log     *logrus.Entry
}

// New returns a Sync.
func New(config Config) *Sync {
	return &Sync{store: config.Store, control: config.Control, log: config.Log}
}

// Serve watches the tables until the context ends.
func (s *Sync) Serve(ctx context.Context) error {
	var after uint64
	for {
		record, err := s.store.Watch(ctx, headKey, after, watchWait)
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case err == nil:
			after = record.Version
			s.accept(ctx, record)
		case !errors.Is(err, kv.ErrNotFound):
			s.log.WithError(err).Warn("cannot read the tables")
			pause(ctx, retryPause)
		}
	}
}

func (s *Sync) accept(ctx context.Context, record kv.Record) {
	tables := new(table.Tables)
	if err := json.Unmarshal(record.Value, tables); err != nil {
		s.log.WithError(err).Error("tables in the service are malformed")
		return
	}
	s.control.Send(ctx, control.TablesRead{Tables: tables})
}

// Replace writes both tables and returns the generation at which they were accepted.
func (s *Sync) Replace(ctx context.Context, tables table.Tables) (generation uint64, err error) {
	defer errors.DeferredAnnotatef(&err, "replace tables")
	record, err := s.store.Get(ctx, headKey)
	if err != nil && !errors.Is(err, kv.ErrNotFound) {
		return 0, err
	}
	var current table.Tables
	if record.Version != 0 {
		if err = json.Unmarshal(record.Value, &current); err != nil {
			return 0, err
		}
	}
	tables.Generation = current.Generation + 1
	value, err := json.Marshal(tables)
	if err != nil {
		return 0, err
	}
	_, err = s.store.Put(ctx, headKey, kv.Put{Value: value, Expect: record.Version})
	return tables.Generation, err
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
