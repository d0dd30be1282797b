package catalog

import (
	"strings"

	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/rail/event"
	"github.com/comfreyrail/comfreyrail/rail/route"
	"github.com/comfreyrail/comfreyrail/rail/store"
)

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
		delete(c.malformed, id)
		return c.remove(id)
	}
	before, known := c.servers[id]
	server, err := c.config.DecodeServer(id, item.Value)
	if err != nil {
		delete(c.servers, id)
		if !c.malformed[id] {
			c.malformed[id] = true
			c.config.Log.WithError(err).Warn("entry names no server")
		}
		return known
	}
	delete(c.malformed, id)
	delete(c.lapsed, id)
	c.servers[id] = server
	if known && before == server {
		return false
	}
	c.config.Log.WithFields(logrus.Fields{
		"server": id, "address": server.Address, "zone": server.Zone, "draining": server.Draining,
		"from": server.Layers.From, "to": server.Layers.To, "card": server.Card,
	}).Info(event.ServerUpdated)
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
	c.config.Log.WithFields(logrus.Fields{"server": id, "reason": reason}).Info(event.ServerRemoved)
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
