package catalog

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/rail/store"
)

// step brings in what has changed and returns how old that is: from the instance that reads the store for this one, from
// the store, or from any other instance.
func (c *Catalog) step(ctx context.Context) (age time.Duration, err error) {
	if reader, ok := readerOf(c.asked(), c.config.Self); ok && c.revision > 0 {
		age, askErr := c.ask(ctx, reader)
		if askErr == nil && age <= c.freshEnough() {
			return age, nil
		}
		c.unheard[reader.Name] = c.config.Elapsed() + unheardTime
		c.config.Log.WithError(askErr).WithFields(logrus.Fields{
			"reader": reader.Name, "age": age.String(),
		}).Info("the instance that reads the store has no news")
	}
	if c.revision == 0 || !c.leavesStore() {
		if err = c.read(ctx); err == nil || errors.Is(err, store.ErrCompacted) {
			return 0, err
		}
	} else {
		err = errLater
	}
	if helper, ok := helperOf(c.Snapshot().Instances, c.config.Self); ok {
		age, askErr := c.ask(ctx, helper)
		if askErr == nil && age <= c.freshEnough() {
			return age, nil
		}
	}
	return 0, err
}

// errLater means that the store is left to a few instances for now, and that another one is asked soon.
const errLater = errors.ConstError("the store is left to other instances for now")

// direct is the number of instances that turn to the store on average at each step once those that read it for others have no
// news; the others ask these.
const direct = 3.0

// leavesStore reports whether this instance leaves the store to others at this step: one that others read it for, by chance.
func (c *Catalog) leavesStore() bool {
	instances := c.Snapshot().Instances
	_, other := readerOf(instances, c.config.Self)
	return other && c.config.Random()*float64(len(instances)) >= direct
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
func (c *Catalog) freshEnough() time.Duration { return c.config.WatchInterval + freshMargin }

// ask brings in what another instance knows.
func (c *Catalog) ask(ctx context.Context, instance Instance) (age time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	changes, err := c.config.FetchChanges(ctx, instance.PeerAddress, c.revision)
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
	now, instances := c.config.Elapsed(), c.Snapshot().Instances
	alone := max(directPause, time.Duration(len(instances))*directShare)
	if _, other := readerOf(instances, c.config.Self); other && c.failedAt > 0 && now-c.failedAt < alone {
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
	ctx, cancel := context.WithTimeout(ctx, c.config.WatchInterval+callTimeout)
	defer cancel()
	changes, err := c.config.Watch(ctx, "", c.revision, c.config.WatchInterval)
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
