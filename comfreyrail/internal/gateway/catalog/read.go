package catalog

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/comfreyrail/comfreyrail/rail/store"
)

// advance records the revision up to which all changes are applied, and publishes a snapshot if the state has changed.
func (c *Catalog) advance(revision uint64) {
	c.revision = max(c.revision, revision)
	c.changeLog.advance(c.revision)
	c.publishChanges()
}

// publishChanges publishes a snapshot if the state has changed.
func (c *Catalog) publishChanges() {
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
	if err != nil && !mustReadAll(err) {
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
	ctx, cancel := c.config.Clock.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	changes, err := c.config.Watch(ctx, "", c.revision, wait)
	if err != nil {
		return err
	}
	if !store.SameEra(changes.Era, c.era) {
		c.noticedEra = changes.Era
		return store.ErrRestored
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
	firstRevision, era, after := uint64(0), uint64(0), ""
	for {
		page, err := c.readPage(ctx, after)
		if err != nil {
			return err
		}
		if firstRevision == 0 {
			firstRevision = page.Revision
		}
		if era == 0 {
			era = page.Era
		}
		if !store.SameEra(page.Era, era) {
			return store.ErrRestored
		}
		items = append(items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			break
		}
		last := lastKey(page.Items)
		if last <= after {
			return errNoNextPage
		}
		after = last
	}
	c.applyWhole(items, era, firstRevision)
	return nil
}

// errNoNextPage means that the next page cannot be requested, because a page that is not the last has no key after those of the
// previous pages.
const errNoNextPage = errors.ConstError("a page that is not the last has no further key")

// lastKey returns the last key that could be read of a page's items, empty if there is none.
func lastKey(items []store.Item) string {
	for _, item := range slices.Backward(items) {
		if item.Key != "" {
			return item.Key
		}
	}
	return ""
}

func (c *Catalog) readPage(ctx context.Context, after string) (store.Page, error) {
	ctx, cancel := c.config.Clock.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.config.Range(ctx, "", after)
}
