package catalog

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/rail/store"
)

// refresh applies new changes and returns their age. It tries the reader that this instance is assigned to, then the
// store, then a random other instance. While its content is old, the store comes first: the reader may have its changes
// from others, and reading the store must not wait until another source has failed. If all fail, it returns the error of
// the store, or errStoreSkipped if it skipped the store. It returns store.ErrCompacted at once.
func (c *Catalog) refresh(ctx context.Context) (age time.Duration, err error) {
	storeFirst := c.mustReadStore()
	if !storeFirst {
		if age, ok := c.refreshFromReader(ctx); ok {
			return age, nil
		}
	}
	if storeFirst || c.mustReadStore() || !c.skipsStore() {
		c.source = fromStore
		if err = c.readWithBackoff(ctx); err == nil || errors.Is(err, store.ErrCompacted) {
			return 0, err
		}
	} else {
		err = errStoreSkipped
	}
	if storeFirst && c.revision > 0 {
		if age, ok := c.refreshFromReader(ctx); ok {
			return age, nil
		}
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
	if err != nil && !errors.Is(err, errPeerBehind) && !errors.Is(err, errOmittedUnread) || age > c.oldAge() {
		c.cooldowns[reader.Name] = c.config.Elapsed() + peerCooldown
	}
	c.config.Log.WithError(err).WithFields(logrus.Fields{
		"reader": reader.Name, "age": age.String(),
	}).Info("no fresh changes from the instance that reads the store")
	return 0, false
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

// isReader reports whether this instance reads the store for its zone, because it is assigned to or in place of a reader that
// has a cooldown.
func (c *Catalog) isReader() bool {
	_, hasReader := storeReader(c.availableInstances(), c.config.Self)
	return !hasReader
}

// refreshInterval returns the time from the start of a refresh that succeeds to that of the next one.
func (c *Catalog) refreshInterval() time.Duration {
	if c.isReader() {
		return c.config.WatchInterval / readerWatches
	}
	return c.config.WatchInterval
}

// maxPeerAge returns the maximum age at which another instance's changes count as fresh.
func (c *Catalog) maxPeerAge() time.Duration {
	return time.Duration(freshIntervals * float64(c.config.WatchInterval))
}

// fetchFrom fetches the changes after the known revision from another instance, applies them and returns their age.
func (c *Catalog) fetchFrom(ctx context.Context, peer Instance) (age time.Duration, err error) {
	changes, err := c.fetchChanges(ctx, peer)
	if err != nil {
		return 0, err
	}
	if changes.Revision < c.revision {
		return 0, errPeerBehind
	}
	if err = c.readOmitted(ctx, &changes); err != nil {
		return 0, err
	}
	if changes.All {
		c.replaceAll(changes.Items, changes.Revision)
	} else {
		c.applyAll(changes.Items)
	}
	c.advance(changes.Revision)
	return changes.Age, nil
}

// fetchChanges fetches the changes after the known revision from another instance. It asks for values of any size only if the
// last call to the store failed.
func (c *Catalog) fetchChanges(ctx context.Context, peer Instance) (changes Changes, err error) {
	request, timeout := ChangesRequest{After: c.revision, MaxValueBytes: maxFetchedValue}, fetchTimeout
	if c.storeFailedAt > 0 {
		request.MaxValueBytes, timeout = 0, fetchAllTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return c.config.FetchChanges(ctx, peer.PeerAddress, request)
}

// readOmitted reads the items that another instance left out of its changes from the store, and adds them. An item that the store
// no longer has stays out.
func (c *Catalog) readOmitted(ctx context.Context, changes *Changes) (err error) {
	for _, key := range changes.Omitted {
		item, err := c.readItem(ctx, key)
		if errors.Is(err, store.ErrNotFound) {
			continue
		}
		if err != nil {
			c.storeFailedAt = c.config.Elapsed()
			c.config.Log.WithError(err).WithField("key", key).Info("cannot read an item that another instance left out")
			return errOmittedUnread
		}
		changes.Items = append(changes.Items, item)
	}
	return nil
}

func (c *Catalog) readItem(ctx context.Context, key string) (store.Item, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.config.Get(ctx, key)
}

// errOmittedUnread means that an item which another instance left out of its changes could not be read from the store.
const errOmittedUnread = errors.ConstError("an item that the other instance left out could not be read")

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
	wait := c.watchWait()
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	changes, err := c.config.Watch(ctx, "", c.revision, wait)
	if err != nil {
		return err
	}
	c.applyAll(changes.Items)
	c.advance(changes.Revision)
	return nil
}

// watchWait returns how long a watch waits for changes. A watch that waits confirms the content only as of its start, so a
// reader waits for a part of WatchInterval, and no one waits whose content is to be confirmed at once.
func (c *Catalog) watchWait() time.Duration {
	if age, _ := c.Age(); age > c.config.WatchInterval+readerMargin || !c.isReader() {
		return minWatchWait
	}
	return c.config.WatchInterval / readerWatches
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
	c.replaceAll(items, firstRevision)
	c.revision = firstRevision
	c.advance(firstRevision)
	return nil
}

func (c *Catalog) readPage(ctx context.Context, after string) (store.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.config.Range(ctx, "", after)
}
