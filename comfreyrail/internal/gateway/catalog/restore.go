package catalog

import (
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/rail/backend"
	"github.com/comfreyrail/comfreyrail/rail/poison"
	"github.com/comfreyrail/comfreyrail/rail/store"
)

// Times after a restoration of the store from a copy.
const (
	// rewriteTimeout is the time in which instances and servers must have written their records and entries again. Until then, records
	// that the copy lacks are kept, and servers that had left get no requests although the copy lists them.
	rewriteTimeout = 5 * time.Second
	// departureTTL is how long it is remembered that a server has left.
	departureTTL = time.Minute
)

// restored holds what is needed to apply the content of a store that was restored from a copy. The copy may be older than what the
// catalog knows.
type restored struct {
	applying bool                     // whether the content of the copy is being applied
	config   store.Item               // the configuration in force
	left     map[string]departure     // servers that have left, by ID
	missing  map[string]time.Duration // when to remove records that the copy lacks, by key
	held     map[string]time.Duration // when servers that had left may get requests again, by ID
}

// departure records that a server has left.
type departure struct {
	born int64         // backend.Server.Born
	at   time.Duration // reading of Config.Elapsed
}

func newRestored() restored {
	return restored{left: make(map[string]departure), missing: make(map[string]time.Duration), held: make(map[string]time.Duration)}
}

// applyWhole applies the items as the whole content of the store at a revision.
func (c *Catalog) applyWhole(items []store.Item, era, revision uint64) {
	switch {
	case !c.hasContent():
		c.era = era
		c.changeLog.reset(era)
		c.replaceAll(items, revision)
	case store.SameEra(era, c.era):
		c.replaceAll(items, revision)
	default:
		c.restore(items, era, revision)
	}
	c.revision = revision
	c.advance(revision)
}

// hasContent reports whether the whole content of the store has been read before.
func (c *Catalog) hasContent() bool { return c.Snapshot().Sequence > 0 }

// restore replaces the state with the content of a store that was restored from a copy. It applies all items, since revisions of
// different eras cannot be compared. What the copy lacks may be written again soon, and what it holds may be older than what is known.
func (c *Catalog) restore(items []store.Item, era, revision uint64) {
	c.config.Log.WithFields(logrus.Fields{
		"era": era, "known_era": c.era, "revision": revision, "known_revision": c.changeLog.lastRevision(),
	}).Warn("the store was restored from a copy; what it had acknowledged since may be gone")
	known := c.changeLog.keys()
	c.beginEra(era)
	present := c.applyCopy(items)
	for _, key := range known {
		if !present[key] {
			c.applyMissing(store.Item{Key: key, Revision: revision, Deleted: true})
		}
	}
	c.keepConfig()
}

// beginEra makes the catalog wait for the confirmation of its content as after an outage, and empties the change log.
func (c *Catalog) beginEra(era uint64) {
	c.era, c.unpublished = era, true
	c.upToDate, c.hadOutage = false, true
	c.changeLog.reset(era)
}

// applyCopy applies the items of a copy and returns their keys.
func (c *Catalog) applyCopy(items []store.Item) (present map[string]bool) {
	present = make(map[string]bool, len(items))
	c.restored.applying = true
	for _, item := range items {
		present[item.Key] = true
		c.apply(item)
	}
	c.restored.applying = false
	return present
}

// applyMissing applies the removal of an item that the copy lacks. It puts off the removal of a record of an instance by
// rewriteTimeout, since each instance writes its own again, and that of a crash report for as long as its crashes count, since its
// instance may have ended.
func (c *Catalog) applyMissing(removal store.Item) {
	switch {
	case strings.HasPrefix(removal.Key, InstancePrefix):
		c.restored.missing[removal.Key] = c.config.Elapsed() + rewriteTimeout
	case strings.HasPrefix(removal.Key, CrashReportPrefix):
		c.restored.missing[removal.Key] = c.config.Elapsed() + poison.ReportTTL
	default:
		c.apply(removal)
	}
}

// keepConfig makes the configuration in force part of the changes for other instances if the store has another one.
func (c *Catalog) keepConfig() {
	inForce := c.restored.config
	item, ok := c.changeLog.item(c.config.ConfigKey)
	if inForce.Key == "" || ok && string(item.Value) == string(inForce.Value) {
		return
	}
	c.config.Log.WithField("version", c.index.Config.Version).Info("the copy has an older configuration; the one in force stays")
	c.changeLog.keep(inForce, c.index.Config.Version)
}

// applyKept applies Changes.Kept: it puts that configuration in force, and keeps it for other instances in turn.
func (c *Catalog) applyKept(kept store.Item) {
	if kept.Key != c.config.ConfigKey || kept.Key == "" {
		return
	}
	c.applyConfig(kept)
	c.unpublished = true
	c.keepConfig()
}

// correctRestored corrects the entry of a server that was read from a copy: a server that was draining is still draining, and one
// that had left is draining until rewriteTimeout has passed. It returns an entry that was written after the restoration unchanged,
// and no longer holds that server back.
func (c *Catalog) correctRestored(server, previous backend.Server, known bool) backend.Server {
	_, wasHeld := c.restored.held[server.ID]
	delete(c.restored.held, server.ID)
	if !c.restored.applying {
		return server
	}
	departed, hasLeft := c.restored.left[server.ID]
	switch {
	case known && previous.Draining && !wasHeld && previous.Born == server.Born:
		server.Draining = true
	case hasLeft && departed.born == server.Born && (!known || wasHeld) && !server.Draining:
		c.restored.held[server.ID] = c.config.Elapsed() + rewriteTimeout
		server.Draining = true
	}
	return server
}

// restartRestoredTimes gives missing records and held servers rewriteTimeout again after an outage, in which nothing could be written.
func (c *Catalog) restartRestoredTimes() {
	now := c.config.Elapsed()
	for key, until := range c.restored.missing {
		c.restored.missing[key] = max(until, now+rewriteTimeout)
	}
	for id := range c.restored.held {
		c.restored.held[id] = now + rewriteTimeout
	}
}

// expireRestored removes the missing records that were not written again in time, and ends the holds and forgets the departures
// whose times have passed.
func (c *Catalog) expireRestored() {
	if !c.upToDate {
		return
	}
	now := c.config.Elapsed()
	for key, until := range c.restored.missing {
		if c.confirmedAfter(until) {
			delete(c.restored.missing, key)
			c.unpublished = c.updateState(store.Item{Key: key, Deleted: true}) || c.unpublished
		}
	}
	for id, until := range c.restored.held {
		if now > until {
			delete(c.restored.held, id)
			c.unpublished = c.endHold(id) || c.unpublished
		}
	}
	for id, departed := range c.restored.left {
		if now-departed.at > departureTTL {
			delete(c.restored.left, id)
		}
	}
	c.publishChanges()
}

// endHold lets a server that was held back get requests again, and reports whether the server is listed.
func (c *Catalog) endHold(id string) bool {
	server, ok := c.servers[id]
	if ok {
		server.Draining = false
		c.servers[id] = server
	}
	return ok
}
