package catalog

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
)

// refresh applies new changes and returns their age. It tries the reader that this instance is assigned to, then the
// store, then a random other instance. The store is skipped at random, but never while the content is old. The reader comes first
// also then: its changes leave out the heartbeats of the servers, which make up most of what the store sends. If all fail, refresh
// returns the error of the store, or errStoreSkipped if it skipped the store. It returns an error of mustReadAll at once.
func (c *Catalog) refresh(ctx context.Context) (age time.Duration, err error) {
	if c.revision > 0 {
		if age, ok := c.refreshFromReader(ctx); ok {
			return age, nil
		}
	}
	if c.mustReadStore() || !c.skipsStore() {
		c.source = fromStore
		if err = c.readWithBackoff(ctx); err == nil || mustReadAll(err) {
			return 0, err
		}
	} else {
		err = errStoreSkipped
	}
	if peer, ok := fallbackPeer(c.Snapshot().Instances, c.config.Self); ok {
		c.source = fromPeer
		age, fetchErr := c.fetchFrom(ctx, peer)
		if fetchErr == nil && age <= c.maxPeerAge() {
			return age, nil
		}
	}
	return 0, err
}

// mustReadStore reports whether this instance has no content, or content so old that a change could take effect too late if
// it waited for others.
func (c *Catalog) mustReadStore() bool {
	age, ok := c.Age()
	return c.revision == 0 || ok && age > c.oldAge()
}

// oldAge returns the age from which content counts as old.
func (c *Catalog) oldAge() time.Duration {
	return time.Duration(oldIntervals * float64(c.config.WatchInterval))
}

// skippedDelay returns the pause after a refresh that skipped the store. It ends when the content becomes old.
func (c *Catalog) skippedDelay() time.Duration {
	age, _ := c.Age()
	return max(min(retryDelay, c.oldAge()-age), 0)
}

// refreshFromReader applies new changes of the reader that this instance is assigned to, and returns their age; it returns
// false if there is no reader or if its changes are not fresh. A reader that does not respond, or has old content itself, is
// not used again until its cooldown ends.
func (c *Catalog) refreshFromReader(ctx context.Context) (age time.Duration, ok bool) {
	reader, ok := storeReader(c.availableInstances(), c.config.Self)
	if !ok {
		return 0, false
	}
	c.source = fromReader
	age, err := c.fetchFrom(ctx, reader)
	if err == nil && age <= c.config.WatchInterval+readerMargin {
		return age, true
	}
	readerResponded := err == nil || errors.Is(err, errPeerBehind) || errors.Is(err, errOmittedUnread)
	if !readerResponded || age > c.oldAge() {
		c.cooldowns[reader.Name] = c.config.Elapsed() + peerCooldown
	}
	c.config.Log.WithError(err).WithFields(logrus.Fields{
		"reader": reader.Name, "age": age.String(),
	}).Info("no fresh changes from the instance that reads the store")
	return 0, false
}

// refreshInterval returns the time from the start of a refresh that succeeds to that of the next one.
func (c *Catalog) refreshInterval() time.Duration {
	if c.isReader() {
		return c.config.WatchInterval / readerWatches
	}
	return c.config.WatchInterval
}

// isReader reports whether this instance reads the store for its zone, because it is assigned to or in place of a reader that
// has a cooldown.
func (c *Catalog) isReader() bool {
	_, hasReader := storeReader(c.availableInstances(), c.config.Self)
	return !hasReader
}

// errStoreSkipped means that this instance did not call the store in this refresh, so that only a few instances call it.
// Serve tries again after retryDelay.
const errStoreSkipped = errors.ConstError("store skipped in favor of other instances")

// meanFallbackReads is the mean number of instances besides the assigned readers that read the store in a refresh while
// the readers have no fresh changes. The other instances get the changes from these, directly or through others.
const meanFallbackReads = 3.0

// skipsStore reports whether this instance skips the store in this refresh. Instances that aren't assigned readers skip
// it at random, so that on average meanFallbackReads of them read it.
func (c *Catalog) skipsStore() bool {
	instances := c.Snapshot().Instances
	_, hasReader := storeReader(instances, c.config.Self)
	return hasReader && c.config.Random()*float64(len(instances)) >= meanFallbackReads
}

// availableInstances returns the instances, including this one, that have no cooldown or whose cooldown has ended.
func (c *Catalog) availableInstances() (available []Instance) {
	now := c.config.Elapsed()
	for _, instance := range c.Snapshot().Instances {
		if now >= c.cooldowns[instance.Name] {
			delete(c.cooldowns, instance.Name)
			available = append(available, instance)
		}
	}
	return available
}

// maxPeerAge returns the maximum age at which another instance's changes count as fresh.
func (c *Catalog) maxPeerAge() time.Duration {
	return time.Duration(freshIntervals * float64(c.config.WatchInterval))
}
