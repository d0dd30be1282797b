package catalog

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/rail/backend"
	"github.com/comfreyrail/comfreyrail/rail/route"
	"github.com/comfreyrail/comfreyrail/rail/store"
)

// Keys of the fleet's own items.
const (
	// Root is the parent of all items that instances write.
	Root = "comfreyrail/"
	// InstancePrefix is the parent of one item for each live instance.
	InstancePrefix = Root + "instance/"
	// PlacerKey is the item of the instance that places layers.
	PlacerKey = Root + "placer"
)

// Times of reading the store.
const (
	// callTimeout is the longest time for an answer beside the time that a watch may wait.
	callTimeout = 1500 * time.Millisecond
	// retryPause is the time between failed calls.
	retryPause = 250 * time.Millisecond
	// lapseTime is how long after the store's return an entry may take to come back.
	lapseTime = 2500 * time.Millisecond
)

// Config configures a Catalog.
type Config struct {
	// Range reads items.
	Range func(ctx context.Context, prefix, after string) (store.Page, error)
	// Watch waits for changes.
	Watch func(ctx context.Context, prefix string, after uint64, wait time.Duration) (store.Changes, error)
	// ConfigKey is the key of the configuration.
	ConfigKey string
	// DecodeConfig reads the configuration.
	DecodeConfig func(value []byte) (route.Config, error)
	// ServerID returns the backend server whose entry lies under a key.
	ServerID func(key string) (string, bool)
	// DecodeServer reads the entry of a backend server.
	DecodeServer func(id string, value []byte) (backend.Server, error)
	// Pace is the least time between two watches.
	Pace time.Duration
	// Elapsed is a clock that goes on while the machine is suspended.
	Elapsed func() time.Duration
	// Log receives the log.
	Log *logrus.Entry
}

// Snapshot is what the catalog knew at one moment.
type Snapshot struct {
	// Table is the configuration, nil until one is known.
	Table *route.Table
	// Servers lists the backend servers of each service.
	Servers map[string][]backend.Server
	// Instances is the number of live instances, at least 1.
	Instances int
	// Peers lists the addresses at which the live instances hear each other.
	Peers []string
	// Placer is the item of the instance that places layers; its revision is zero if there is none.
	Placer store.Item
	// Changed counts the snapshots.
	Changed uint64
}

// Server returns the backend server of that name.
func (s *Snapshot) Server(service, id string) (found backend.Server, ok bool) {
	for _, server := range s.Servers[service] {
		if server.ID == id {
			return server, true
		}
	}
	return found, false
}

// Catalog reads the store.
type Catalog struct {
	config    Config
	published atomic.Pointer[Snapshot]
	confirmed atomic.Int64

	revision  uint64
	table     *route.Table
	servers   map[string]backend.Server
	lapsed    map[string]time.Duration
	instances map[string]string
	placer    store.Item
	connected bool
	outage    bool
	regained  time.Duration
}

// New returns a Catalog that knows nothing.
func New(config Config) *Catalog {
	c := &Catalog{
		config: config, servers: make(map[string]backend.Server), lapsed: make(map[string]time.Duration), instances: make(map[string]string),
	}
	c.confirmed.Store(-1)
	c.publish()
	return c
}

// Snapshot returns what is known now.
func (c *Catalog) Snapshot() *Snapshot { return c.published.Load() }

// Age returns the time since the configuration was last confirmed by the store, and false if it never was.
func (c *Catalog) Age() (age time.Duration, ok bool) {
	at := c.confirmed.Load()
	if at < 0 {
		return 0, false
	}
	return c.config.Elapsed() - time.Duration(at), true
}

// Serve reads the store until the context ends.
func (c *Catalog) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		began := c.config.Elapsed()
		err := c.step(ctx)
		pause := c.config.Pace - (c.config.Elapsed() - began)
		switch {
		case err == nil:
			c.reached(began)
		case errors.Is(err, store.ErrCompacted):
			c.config.Log.WithError(err).Info("the store's history is gone: reading everything again")
			c.revision = 0
			pause = 0
		default:
			c.lost(ctx, err)
			pause = retryPause
		}
		c.expire()
		sleep(ctx, pause)
	}
	return ctx.Err()
}

// reached notes that the store answered a call that began at the time.
func (c *Catalog) reached(began time.Duration) {
	c.confirmed.Store(int64(began))
	if !c.connected {
		c.connected = true
		c.regained = c.config.Elapsed()
		for id := range c.lapsed {
			c.lapsed[id] = c.regained + lapseTime
		}
		c.config.Log.WithField("revision", c.revision).Info("the store answers")
	}
}

// lost notes that a call failed.
func (c *Catalog) lost(ctx context.Context, err error) {
	if c.connected && ctx.Err() == nil {
		c.connected, c.outage = false, true
		c.config.Log.WithError(err).Warn("the store does not answer")
	}
}

func sleep(ctx context.Context, pause time.Duration) {
	if pause <= 0 {
		return
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// step reads everything, or what has changed.
func (c *Catalog) step(ctx context.Context) (err error) {
	if c.revision == 0 {
		return c.readAll(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, c.config.Pace+callTimeout)
	defer cancel()
	changes, err := c.config.Watch(ctx, "", c.revision, c.config.Pace)
	if err != nil {
		return err
	}
	for _, item := range changes.Items {
		c.apply(item)
	}
	c.revision = max(c.revision, changes.Revision)
	if len(changes.Items) > 0 {
		c.publish()
	}
	return nil
}

// readAll reads every page; the watch goes on from the first one, as pages are no snapshot.
func (c *Catalog) readAll(ctx context.Context) (err error) {
	var items []store.Item
	first, after := uint64(0), ""
	for {
		page, err := c.page(ctx, after)
		if err != nil {
			return err
		}
		if first == 0 {
			first = page.Revision
		}
		items = append(items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			break
		}
		after = page.Items[len(page.Items)-1].Key
	}
	c.replace(items)
	c.revision = first
	c.publish()
	return nil
}

func (c *Catalog) page(ctx context.Context, after string) (store.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.config.Range(ctx, "", after)
}

// replace takes items as all that there are.
func (c *Catalog) replace(items []store.Item) {
	present := make(map[string]bool, len(items))
	c.instances = make(map[string]string)
	c.placer = store.Item{}
	for _, item := range items {
		c.apply(item)
		if id, ok := c.config.ServerID(item.Key); ok {
			present[id] = true
		}
	}
	for id := range c.servers {
		if !present[id] {
			c.remove(id)
		}
	}
}

// apply takes one change.
func (c *Catalog) apply(item store.Item) {
	switch {
	case item.Key == c.config.ConfigKey:
		c.install(item)
	case item.Key == PlacerKey:
		c.placer = item
		if item.Deleted {
			c.placer = store.Item{}
		}
	case strings.HasPrefix(item.Key, InstancePrefix):
		c.instances[item.Key] = string(item.Value)
		if item.Deleted {
			delete(c.instances, item.Key)
		}
	default:
		if id, ok := c.config.ServerID(item.Key); ok {
			c.entry(id, item)
		}
	}
}

// install takes a configuration of a greater version.
func (c *Catalog) install(item store.Item) {
	if item.Deleted {
		return
	}
	decoded, err := c.config.DecodeConfig(item.Value)
	if err != nil {
		c.config.Log.WithError(err).Error("configuration refused: the one before stays in force")
		return
	}
	if c.table != nil && decoded.Version <= c.table.Config.Version {
		return
	}
	c.table = route.New(decoded)
	c.config.Log.WithFields(logrus.Fields{"version": decoded.Version, "routes": len(decoded.Routes)}).Info("configuration in force")
}

// entry takes the entry of a backend server.
func (c *Catalog) entry(id string, item store.Item) {
	if item.Deleted {
		c.remove(id)
		return
	}
	server, err := c.config.DecodeServer(id, item.Value)
	if err != nil {
		if _, known := c.servers[id]; known {
			delete(c.servers, id)
		}
		c.config.Log.WithError(err).Warn("entry names no server")
		return
	}
	before, known := c.servers[id]
	if !known || before.Born != server.Born || before.Draining != server.Draining || before.Layers != server.Layers {
		c.config.Log.WithFields(logrus.Fields{
			"server": id, "address": server.Address, "zone": server.Zone, "draining": server.Draining,
			"from": server.Layers.From, "to": server.Layers.To, "card": server.Card,
		}).Info("backend server")
	}
	delete(c.lapsed, id)
	c.servers[id] = server
}

// remove takes a backend server away, at once unless its entry may have lapsed with the store.
func (c *Catalog) remove(id string) {
	server, known := c.servers[id]
	if !known {
		return
	}
	away := !c.connected || c.config.Elapsed()-c.regained < lapseTime
	if !server.Draining && c.outage && away {
		if _, waiting := c.lapsed[id]; !waiting {
			c.lapsed[id] = c.config.Elapsed() + lapseTime
		}
		return
	}
	c.drop(id, "entry removed")
}

func (c *Catalog) drop(id, reason string) {
	delete(c.servers, id)
	delete(c.lapsed, id)
	c.config.Log.WithFields(logrus.Fields{"server": id, "reason": reason}).Info("backend server is gone")
}

// expire drops the servers whose entries did not come back in time.
func (c *Catalog) expire() {
	if !c.connected {
		return
	}
	now, dropped := c.config.Elapsed(), false
	for id, until := range c.lapsed {
		if now > until {
			c.drop(id, "entry did not come back")
			dropped = true
		}
	}
	if dropped {
		c.publish()
	}
}

// publish makes a snapshot of the state.
func (c *Catalog) publish() {
	snapshot := &Snapshot{
		Table: c.table, Servers: make(map[string][]backend.Server), Instances: max(len(c.instances), 1), Placer: c.placer,
	}
	if last := c.published.Load(); last != nil {
		snapshot.Changed = last.Changed + 1
	}
	for _, address := range c.instances {
		snapshot.Peers = append(snapshot.Peers, address)
	}
	for _, server := range c.servers {
		snapshot.Servers[server.Service] = append(snapshot.Servers[server.Service], server)
	}
	c.published.Store(snapshot)
}
