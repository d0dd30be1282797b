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
	// InstancePrefix is the parent of the records of the live instances.
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
	// askTimeout is the longest time for another instance's answer.
	askTimeout = 300 * time.Millisecond
	// unheardTime is how long an instance that had no news is not asked again.
	unheardTime = 4 * time.Second
	// freshMargin is how much older than the pace another instance's word may be.
	freshMargin = 600 * time.Millisecond
	// directPause is the time for which an instance that another one reads for leaves a failed store alone.
	directPause = 1500 * time.Millisecond
	// lapseTime is how long after the store's return an entry may take to come back.
	lapseTime = 2500 * time.Millisecond
)

// Config configures a Catalog.
type Config struct {
	// Range reads items.
	Range func(ctx context.Context, prefix, after string) (store.Page, error)
	// Watch waits for changes.
	Watch func(ctx context.Context, prefix string, after uint64, wait time.Duration) (store.Changes, error)
	// Ask returns what another instance knows that changed after a revision.
	Ask func(ctx context.Context, address string, after uint64) (Changes, error)
	// Self is the record of this instance.
	Self Instance
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
	// Instances lists the live instances, the own one too once the store lists it.
	Instances []Instance
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

// Catalog reads the store, or asks an instance that does.
type Catalog struct {
	config    Config
	published atomic.Pointer[Snapshot]
	confirmed atomic.Int64
	log       changeLog

	revision  uint64
	table     *route.Table
	servers   map[string]backend.Server
	lapsed    map[string]time.Duration
	instances map[string]Instance
	placer    store.Item
	changed   bool
	connected bool
	outage    bool
	regained  time.Duration
	failedAt  time.Duration            // when the store last failed to answer, zero if it answered
	unheard   map[string]time.Duration // until when instances without news are not asked
}

// New returns a Catalog that knows nothing.
func New(config Config) *Catalog {
	c := &Catalog{
		config: config, servers: make(map[string]backend.Server), lapsed: make(map[string]time.Duration),
		instances: make(map[string]Instance), unheard: make(map[string]time.Duration), log: newChangeLog(),
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
		age, err := c.step(ctx)
		pause := c.config.Pace - (c.config.Elapsed() - began)
		switch {
		case err == nil:
			c.reached(began - age)
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

// reached notes that what is known is what the store held at the time.
func (c *Catalog) reached(confirmed time.Duration) {
	c.confirmed.Store(max(c.confirmed.Load(), int64(confirmed)))
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

// step brings in what has changed and returns how old that is: from the instance that reads the store for this one, from
// the store, or from any other instance.
func (c *Catalog) step(ctx context.Context) (age time.Duration, err error) {
	if reader, ok := readerOf(c.asked(), c.config.Self); ok && c.revision > 0 {
		age, asked := c.ask(ctx, reader)
		if asked == nil && age <= c.freshEnough() {
			return age, nil
		}
		c.unheard[reader.Name] = c.config.Elapsed() + unheardTime
		c.config.Log.WithField("reader", reader.Name).WithField("age", age.String()).Info("the instance that reads the store has no news")
	}
	if err = c.read(ctx); err == nil || errors.Is(err, store.ErrCompacted) {
		return 0, err
	}
	if helper, ok := helperOf(c.Snapshot().Instances, c.config.Self); ok {
		age, asked := c.ask(ctx, helper)
		if asked == nil && age <= c.freshEnough() {
			return age, nil
		}
	}
	return 0, err
}

// asked returns the instances that may be asked now.
func (c *Catalog) asked() (instances []Instance) {
	now := c.config.Elapsed()
	for _, instance := range c.Snapshot().Instances {
		if now >= c.unheard[instance.Name] {
			delete(c.unheard, instance.Name)
			instances = append(instances, instance)
		}
	}
	return instances
}

// freshEnough is the age up to which another instance's word is as good as the store's.
func (c *Catalog) freshEnough() time.Duration { return c.config.Pace + freshMargin }

// ask brings in what another instance knows.
func (c *Catalog) ask(ctx context.Context, instance Instance) (age time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	changes, err := c.config.Ask(ctx, instance.Peer, c.revision)
	if err != nil {
		return 0, err
	}
	if changes.Revision < c.revision {
		return 0, errBehind
	}
	if changes.All {
		c.replace(changes.Items)
	} else {
		c.applyAll(changes.Items)
	}
	c.advance(changes.Revision)
	return changes.Age, nil
}

// errBehind means that another instance knows less than this one.
const errBehind = errors.ConstError("the other instance knows less")

// advance notes the revision up to which everything is known.
func (c *Catalog) advance(revision uint64) {
	c.revision = max(c.revision, revision)
	c.log.advance(c.revision)
	if c.changed {
		c.changed = false
		c.publish()
	}
}

// errAway means that the store did not answer just now and is left to those that read it for others.
const errAway = errors.ConstError("the store did not answer just now")

// read reads the store, which is not asked again at once by all instances after it has failed.
func (c *Catalog) read(ctx context.Context) (err error) {
	now := c.config.Elapsed()
	if _, other := readerOf(c.Snapshot().Instances, c.config.Self); other && c.failedAt > 0 && now-c.failedAt < directPause {
		return errAway
	}
	err = c.readStore(ctx)
	c.failedAt = 0
	if err != nil && !errors.Is(err, store.ErrCompacted) {
		c.failedAt = now
	}
	return err
}

// readStore reads everything from the store, or what has changed there.
func (c *Catalog) readStore(ctx context.Context) (err error) {
	if c.revision == 0 {
		return c.readAll(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, c.config.Pace+callTimeout)
	defer cancel()
	changes, err := c.config.Watch(ctx, "", c.revision, c.config.Pace)
	if err != nil {
		return err
	}
	c.applyAll(changes.Items)
	c.advance(changes.Revision)
	return nil
}

func (c *Catalog) applyAll(items []store.Item) {
	for _, item := range items {
		c.apply(item)
	}
}

// Changes returns what changed after a revision, for another instance.
func (c *Catalog) Changes(after uint64) (changes Changes, ok bool) {
	age, ok := c.Age()
	if !ok {
		return changes, false
	}
	changes = c.log.since(after)
	changes.Age = age
	return changes, changes.Revision > 0
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
	c.advance(first)
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
	for _, item := range items {
		present[item.Key] = true
		c.apply(item)
	}
	for _, key := range c.log.keys() {
		if !present[key] {
			c.apply(store.Item{Key: key, Revision: c.log.revisionOf(key) + 1, Deleted: true})
		}
	}
}

// apply takes one change, unless a later one is known.
func (c *Catalog) apply(item store.Item) {
	if item.Revision <= c.log.revisionOf(item.Key) {
		return
	}
	changed := c.take(item)
	c.changed = c.changed || changed
	c.log.add(item, changed)
}

// take changes the state and reports whether anyone needs to know.
func (c *Catalog) take(item store.Item) (changed bool) {
	switch {
	case item.Key == c.config.ConfigKey:
		c.install(item)
		return true
	case item.Key == PlacerKey:
		c.placer = item
		if item.Deleted {
			c.placer = store.Item{}
		}
		return true
	case strings.HasPrefix(item.Key, InstancePrefix):
		c.instance(item)
		return true
	}
	if id, ok := c.config.ServerID(item.Key); ok {
		return c.entry(id, item)
	}
	return false
}

// instance takes the record of an instance.
func (c *Catalog) instance(item store.Item) {
	delete(c.instances, item.Key)
	if item.Deleted {
		return
	}
	decoded, err := DecodeInstance(item.Value)
	if err != nil {
		c.config.Log.WithError(err).WithField("key", item.Key).Warn("the record names no instance")
		return
	}
	c.instances[item.Key] = decoded
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

// entry takes the entry of a backend server and reports whether it says anything new.
func (c *Catalog) entry(id string, item store.Item) (changed bool) {
	if item.Deleted {
		return c.remove(id)
	}
	before, known := c.servers[id]
	server, err := c.config.DecodeServer(id, item.Value)
	if err != nil {
		delete(c.servers, id)
		c.config.Log.WithError(err).Warn("entry names no server")
		return known
	}
	delete(c.lapsed, id)
	c.servers[id] = server
	if known && before == server {
		return false
	}
	c.config.Log.WithFields(logrus.Fields{
		"server": id, "address": server.Address, "zone": server.Zone, "draining": server.Draining,
		"from": server.Layers.From, "to": server.Layers.To, "card": server.Card,
	}).Info("backend server")
	return true
}

// remove takes a backend server away, at once unless its entry may have lapsed with the store.
func (c *Catalog) remove(id string) (changed bool) {
	server, known := c.servers[id]
	if !known {
		return false
	}
	away := !c.connected || c.config.Elapsed()-c.regained < lapseTime
	if !server.Draining && c.outage && away {
		if _, waiting := c.lapsed[id]; !waiting {
			c.lapsed[id] = c.config.Elapsed() + lapseTime
		}
		return true
	}
	c.drop(id, "entry removed")
	return true
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
		Table: c.table, Servers: make(map[string][]backend.Server), Placer: c.placer,
	}
	if last := c.published.Load(); last != nil {
		snapshot.Changed = last.Changed + 1
	}
	for _, instance := range c.instances {
		snapshot.Instances = append(snapshot.Instances, instance)
	}
	for _, server := range c.servers {
		snapshot.Servers[server.Service] = append(snapshot.Servers[server.Service], server)
	}
	c.published.Store(snapshot)
}
