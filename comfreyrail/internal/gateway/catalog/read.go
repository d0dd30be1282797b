package catalog

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/rail/store"
)

// refresh applies new changes and returns their age. It tries the reader that this instance is assigned to, then the
// store, then a random other instance. If all fail, it returns the error of the store, or errStoreSkipped if it skipped
// the store. It returns store.ErrCompacted at once.
func (c *Catalog) refresh(ctx context.Context) (age time.Duration, err error) {
	if reader, ok := storeReader(c.availableInstances(), c.config.Self); ok && c.revision > 0 {
		c.source = fromReader
		age, fetchErr := c.fetchFrom(ctx, reader)
		if fetchErr == nil && age <= c.config.WatchInterval+readerMargin {
			return age, nil
		}
		c.cooldowns[reader.Name] = c.config.Elapsed() + peerCooldown
		c.config.Log.WithError(fetchErr).WithFields(logrus.Fields{
			"reader": reader.Name, "age": age.String(),
		}).Info("no fresh changes from the instance that reads the store")
	}
	if c.revision == 0 || !c.skipsStore() {
		c.source = fromStore
		if err = c.readWithBackoff(ctx); err == nil || errors.Is(err, store.ErrCompacted) {
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

// errStoreSkipped means that this instance did not call the store in this refresh, so that only a few instances call it.
// Serve tries again after retryDelay.
const errStoreSkipped = errors.ConstError("store skipped in favor of other instances")

// meanFallbackReads is the mean number of instances besides the assigned readers that read the store in a refresh while
// the readers have no fresh changes. The other instances get the changes from these, directly or through others.
const meanFallbackReads = 3.0

// skipsStore reports whether this instance skips the store in this refresh. Instances that aren't assigned readers skip
// it at random, so that on average meanFallbackReads of them read it. None does while its content is so old that a change could
// take effect too late.
func (c *Catalog) skipsStore() bool {
	if age, ok := c.Age(); ok && age > maxSkipIntervals*c.config.WatchInterval {
		return false
	}
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
func (c *Catalog) maxPeerAge() time.Duration { return c.config.WatchInterval + freshMargin }

// fetchFrom fetches the changes after the known revision from another instance, applies them and returns their age.
func (c *Catalog) fetchFrom(ctx context.Context, peer Instance) (age time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	changes, err := c.config.FetchChanges(ctx, peer.PeerAddress, c.revision)
	if err != nil {
		return 0, err
	}
	if changes.Revision < c.revision {
		return 0, errPeerBehind
	}
	if changes.All {
		c.replaceAll(changes.Items)
	} else {
		c.applyAll(changes.Items)
	}
	c.advance(changes.Revision)
	return changes.Age, nil
}

// errPeerBehind means that another instance has an older revision than this one.
const errPeerBehind = errors.ConstError("the other instance has an older revision")

// advance records the revision up to which all changes are applied, and publishes a snapshot if the state has changed.
func (c *Catalog) advance(revision uint64) {
	c.revision = max(c.revision, revision)
	c.changeLog.advance(c.revision)
	if c.unpublished {
		c.unpublished = false
		c.publish()
	}
}

// errStoreBackoff means that the store was not called because the backoff after a failed call has not ended.
const errStoreBackoff = errors.ConstError("waiting for the backoff after a failed call to the store")

// readWithBackoff reads the store. After a failure, instances that aren't readers wait for a backoff that grows with the
// number of instances, so that they don't all retry at once.
func (c *Catalog) readWithBackoff(ctx context.Context) (err error) {
	now, instances := c.config.Elapsed(), c.Snapshot().Instances
	backoff := max(minStoreBackoff, time.Duration(len(instances))*storeBackoffPerInstance)
	if _, hasReader := storeReader(instances, c.config.Self); hasReader && c.storeFailedAt > 0 && now-c.storeFailedAt < backoff {
		return errStoreBackoff
	}
	err = c.readStore(ctx)
	c.storeFailedAt = 0
	if err != nil && !errors.Is(err, store.ErrCompacted) {
		c.storeFailedAt = now
	}
	return err
}

// readStore reads everything from the store if no revision is known, that is at the start and after a compaction. Otherwise
// it waits for the changes after the known revision.
func (c *Catalog) readStore(ctx context.Context) (err error) {
	if c.revision == 0 {
		return c.readAll(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, c.config.WatchInterval+callTimeout)
	defer cancel()
	changes, err := c.config.Watch(ctx, "", c.revision, c.watchWait())
	if err != nil {
		return err
	}
	c.applyAll(changes.Items)
	c.advance(changes.Revision)
	return nil
}

// watchWait returns how long a watch waits for changes. If the content is old, as when this instance took it from others until
// now, the store must confirm it at once.
func (c *Catalog) watchWait() time.Duration {
	if age, _ := c.Age(); age > c.config.WatchInterval+readerMargin {
		return minWatchWait
	}
	return c.config.WatchInterval
}

func (c *Catalog) applyAll(items []store.Item) {
	for _, item := range items {
		c.apply(item)
	}
}

// readAll reads the whole content of the store and replaces the state with it. The pages are not one consistent snapshot,
// so the watch continues from the revision of the first page.
func (c *Catalog) readAll(ctx context.Context) (err error) {
	var items []store.Item
	firstRevision, after := uint64(0), ""
	for {
		page, err := c.readPage(ctx, after)
		if err != nil {
			return err
		}
		if firstRevision == 0 {
			firstRevision = page.Revision
		}
		items = append(items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			break
		}
		after = page.Items[len(page.Items)-1].Key
	}
	c.replaceAll(items)
	c.revision = firstRevision
	c.advance(firstRevision)
	return nil
}

func (c *Catalog) readPage(ctx context.Context, after string) (store.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.config.Range(ctx, "", after)
}
