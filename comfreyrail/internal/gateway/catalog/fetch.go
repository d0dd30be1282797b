package catalog

import (
	"context"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/comfreyrail/comfreyrail/rail/store"
)

// fetchFrom fetches the changes after the known revision from another instance, applies them and returns their age.
func (c *Catalog) fetchFrom(ctx context.Context, peer Instance) (age time.Duration, err error) {
	changes, err := c.fetchChanges(ctx, peer)
	if err != nil {
		return 0, err
	}
	c.countFetched(changes.Items)
	if c.isBehind(changes) {
		return 0, errPeerBehind
	}
	if err = c.readOmitted(ctx, &changes); err != nil {
		return 0, err
	}
	if changes.All {
		c.applyWhole(changes.Items, changes.Era, changes.Revision)
	} else {
		c.applyAll(changes.Items)
		c.advance(changes.Revision)
	}
	c.applyKept(changes.Kept)
	c.publishChanges()
	return changes.Age, nil
}

// Names of the counters of the bytes of values that were fetched from other instances.
const (
	fetchedBytes       = "catalog.fetched.bytes"
	fetchedReportBytes = "catalog.fetched.crash-report-bytes"
)

// countFetched counts the bytes of values that another instance sent, and those of crash reports among them.
func (c *Catalog) countFetched(items []store.Item) {
	var all, reports int
	for _, item := range items {
		all += len(item.Value)
		if strings.HasPrefix(item.Key, CrashReportPrefix) {
			reports += len(item.Value)
		}
	}
	metrics.GetOrRegisterCounter(fetchedBytes, c.config.Metrics).Inc(int64(all))
	metrics.GetOrRegisterCounter(fetchedReportBytes, c.config.Metrics).Inc(int64(reports))
}

// isBehind reports whether changes of another instance cannot be applied: they are of an earlier era or revision than this instance
// knows of, or they are of a later era but not the whole content.
func (c *Catalog) isBehind(changes Changes) bool {
	if changes.Era != c.era {
		return changes.Era < max(c.era, c.noticedEra) || !changes.All
	}
	return changes.Revision < c.revision || changes.Era < c.noticedEra
}

// fetchChanges fetches the changes after the known revision from another instance, without large values. If some were left out
// and the last call to the store failed, it fetches the changes again with all values.
func (c *Catalog) fetchChanges(ctx context.Context, peer Instance) (changes Changes, err error) {
	request := ChangesRequest{Era: c.era, After: c.revision, MaxValueBytes: maxFetchedValue}
	if c.index != nil {
		request.Version = c.index.Config.Version
	}
	changes, err = c.fetchWithin(ctx, fetchTimeout, peer, request)
	if err == nil && len(changes.Omitted) > 0 && c.storeFailedAt > 0 {
		request.MaxValueBytes = 0
		return c.fetchWithin(ctx, fetchAllTimeout, peer, request)
	}
	return changes, err
}

func (c *Catalog) fetchWithin(ctx context.Context, timeout time.Duration, peer Instance, request ChangesRequest) (Changes, error) {
	ctx, cancel := c.config.Clock.WithTimeout(ctx, timeout)
	defer cancel()
	return c.config.FetchChanges(ctx, peer.PeerAddress, request)
}

// readOmitted reads the items that another instance left out of its changes from the store, and adds them. An item that the store
// no longer has stays out.
func (c *Catalog) readOmitted(ctx context.Context, changes *Changes) (err error) {
	for _, key := range changes.Omitted {
		item, era, err := c.readItem(ctx, key)
		if errors.Is(err, store.ErrNotFound) {
			continue
		}
		if err == nil && !store.SameEra(era, changes.Era) {
			err = store.ErrRestored
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

func (c *Catalog) readItem(ctx context.Context, key string) (item store.Item, era uint64, err error) {
	ctx, cancel := c.config.Clock.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.config.Get(ctx, key)
}

// errOmittedUnread means that an item which another instance left out of its changes could not be read from the store.
const errOmittedUnread = errors.ConstError("an item that the other instance left out could not be read")

// errPeerBehind means that another instance has an older era or revision than this one.
const errPeerBehind = errors.ConstError("the other instance has an older revision")
