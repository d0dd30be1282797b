package catalog

import (
	"maps"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/rail/backend"
	"github.com/comfreyrail/comfreyrail/rail/event"
	"github.com/comfreyrail/comfreyrail/rail/poison"
	"github.com/comfreyrail/comfreyrail/rail/route"
	"github.com/comfreyrail/comfreyrail/rail/store"
)

// replaceAll applies the items as the whole content of the store at a revision and removes all others. The removals get that
// revision, since other instances may know all changes up to an earlier one.
func (c *Catalog) replaceAll(items []store.Item, revision uint64) {
	present := make(map[string]bool, len(items))
	for _, item := range items {
		present[item.Key] = true
		c.apply(item)
	}
	for _, key := range c.changeLog.keys() {
		if !present[key] {
			c.apply(store.Item{Key: key, Revision: revision, Deleted: true})
		}
	}
}

// apply applies a change unless the same or a later revision of the item has been applied.
func (c *Catalog) apply(item store.Item) {
	if item.Revision <= c.changeLog.revisionOf(item.Key) {
		return
	}
	if item.Deleted {
		delete(c.malformed, item.Key)
	}
	delete(c.restored.missing, item.Key)
	changed := c.updateState(item)
	c.unpublished = c.unpublished || changed
	c.changeLog.add(item, changed)
}

// updateState applies an item to the state and reports whether a new snapshot is needed.
func (c *Catalog) updateState(item store.Item) (changed bool) {
	switch {
	case item.Key == "":
		c.logMalformed(item, errors.New(item.Malformed), "item without a key ignored")
		return false
	case item.Key == c.config.ConfigKey:
		c.applyConfig(item)
		return true
	case item.Key == PlacerKey:
		c.placer = item
		if item.Deleted {
			c.placer = store.Item{}
		}
		return true
	case strings.HasPrefix(item.Key, InstancePrefix):
		c.applyInstance(item)
		return true
	case strings.HasPrefix(item.Key, CrashReportPrefix):
		c.applyCrashReport(item)
		return true
	}
	if id, ok := c.config.ServerID(item.Key); ok {
		return c.applyServer(id, item)
	}
	return false
}

// decode decodes the value of an item with decodeValue, or returns an error if the item is malformed.
func decode[T any](item store.Item, decodeValue func(value []byte) (T, error)) (decoded T, err error) {
	if item.Malformed != "" {
		return decoded, errors.New(item.Malformed)
	}
	return decodeValue(item.Value)
}

// logMalformed logs why an item is malformed, once until the item is well-formed again or removed: a server writes its entry with
// each heartbeat.
func (c *Catalog) logMalformed(item store.Item, err error, message string) {
	if c.malformed[item.Key] {
		return
	}
	c.malformed[item.Key] = true
	c.config.Log.WithError(err).WithField("key", item.Key).Warn(message)
}

// applyInstance adds, replaces or removes the record of an instance; a malformed record counts as removed.
func (c *Catalog) applyInstance(item store.Item) {
	delete(c.instances, item.Key)
	if item.Deleted {
		return
	}
	instance, err := decode(item, DecodeInstance)
	if err != nil {
		c.logMalformed(item, err, "malformed instance record")
		return
	}
	delete(c.malformed, item.Key)
	c.instances[item.Key] = instance
}

// applyCrashReport adds, replaces or removes the crash report of an instance; a malformed one counts as removed.
func (c *Catalog) applyCrashReport(item store.Item) {
	reports, name := c.changeableReports(), strings.TrimPrefix(item.Key, CrashReportPrefix)
	known, ok := reports[name]
	delete(reports, name)
	if item.Deleted {
		return
	}
	if ok && c.restored.applying {
		reports[name] = known // the copy may be older; the instance writes its report again
		return
	}
	report, err := decode(item, poison.DecodeEvidence)
	if err != nil {
		c.logMalformed(item, err, "malformed crash report")
		return
	}
	delete(c.malformed, item.Key)
	reports[name] = report
}

// changeableReports returns the crash reports in a map that no snapshot holds.
func (c *Catalog) changeableReports() map[string]poison.Evidence {
	if c.crashReports == nil {
		c.crashReports = make(map[string]poison.Evidence)
	}
	if c.reportsPublished {
		c.crashReports, c.reportsPublished = maps.Clone(c.crashReports), false
	}
	return c.crashReports
}

// applyConfig puts a configuration in force if its version is greater than that of the one in force. A removed or
// malformed configuration changes nothing.
func (c *Catalog) applyConfig(item store.Item) {
	if item.Deleted {
		return
	}
	config, err := decode(item, c.config.DecodeConfig)
	if err != nil {
		c.config.Log.WithError(err).Error("malformed configuration; the previous one stays in force")
		return
	}
	if c.index != nil && config.Version <= c.index.Config.Version {
		return
	}
	c.index, c.restored.config = route.New(config), item
	c.changeLog.keep(store.Item{}, 0)
	age, _ := c.Age()
	c.config.Log.WithFields(logrus.Fields{
		"version": config.Version, "revision": item.Revision, "routes": len(config.Routes), "bytes": len(item.Value), "source": string(c.source), "unconfirmed_ms": age.Milliseconds(),
	}).Info("configuration in force")
}

// applyServer adds, replaces or removes a backend server and reports whether it has changed.
func (c *Catalog) applyServer(id string, item store.Item) (changed bool) {
	if item.Deleted {
		return c.removeServer(id)
	}
	previous, known := c.servers[id]
	server, err := decode(item, func(value []byte) (backend.Server, error) { return c.config.DecodeServer(id, value) })
	if err != nil {
		c.logMalformed(item, err, "malformed server entry")
		if known {
			c.deleteServer(id, "entry malformed")
		}
		return known
	}
	delete(c.malformed, item.Key)
	delete(c.expiring, id)
	server = c.correctRestored(server, previous, known)
	c.servers[id] = server
	if known && previous == server {
		return false
	}
	c.config.Log.WithFields(logrus.Fields{
		"server": id, "address": server.Address, "zone": server.Zone, "draining": server.Draining,
		"from": server.Layers.From, "to": server.Layers.To, "card": server.Card,
	}).Info(event.ServerUpdated)
	return true
}

// removeServer removes a backend server and reports whether it was known. If its entry may have expired because of an
// outage, a server that isn't draining is kept until reappearTimeout after the outage.
func (c *Catalog) removeServer(id string) (changed bool) {
	server, known := c.servers[id]
	if !known {
		return false
	}
	until := c.upToDateSince + reappearTimeout
	if !c.upToDate {
		until = c.config.Elapsed() + reappearTimeout
	}
	if !server.Draining && c.hadOutage && !c.confirmedAfter(until) {
		if _, expiring := c.expiring[id]; !expiring {
			c.expiring[id] = until
		}
		return true
	}
	c.deleteServer(id, "entry removed")
	return true
}

func (c *Catalog) deleteServer(id, reason string) {
	c.restored.left[id] = departure{born: c.servers[id].Born, at: c.config.Elapsed()}
	delete(c.restored.held, id)
	delete(c.servers, id)
	delete(c.expiring, id)
	c.config.Log.WithFields(logrus.Fields{"server": id, "reason": reason}).Info(event.ServerRemoved)
}

// confirmedAfter reports whether the time until has passed, and the content shows whether something was written again by then. The
// content may be older if this instance was held up.
func (c *Catalog) confirmedAfter(until time.Duration) bool {
	return c.config.Elapsed() > until && time.Duration(c.confirmedAt.Load()) >= until-maxContentLag
}

// expireServers removes the servers whose entries did not reappear in time after an outage.
func (c *Catalog) expireServers() {
	if !c.upToDate {
		return
	}
	deleted := false
	for id, until := range c.expiring {
		if c.confirmedAfter(until) {
			c.deleteServer(id, "entry not written again")
			deleted = true
		}
	}
	if deleted {
		c.publish()
	}
}
