package quarantine

import (
	"context"
	"reflect"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/catalog"
	"github.com/comfreyrail/comfreyrail/rail/poison"
	"github.com/comfreyrail/comfreyrail/rail/store"
)

// Times of writing the own report.
const (
	// publishRetryInterval is the minimum time between a failed write and the next one.
	publishRetryInterval = time.Second
	// leaseReuse is how long reports are written under one lease.
	leaseReuse = time.Minute
	// publishTimeout is the timeout of a write of the own report.
	publishTimeout = time.Second
)

// publisher writes the own report to the store.
type publisher struct {
	report    poison.Evidence // the last one that was written
	size      int             // of the last one in bytes
	at        time.Time       // when a write was last tried
	failed    bool            // whether that write failed
	lease     store.Lease     // of the record in the store
	grantedAt time.Time       // when the lease was granted, zero if a new one is needed
}

// forgetIfRestored forgets the last write if it was made before the era, the last known one of the store, so that the report is
// written again under a new lease.
func (p *publisher) forgetIfRestored(era uint64) {
	if p.lease.IsOutdated(era) {
		p.report, p.lease, p.grantedAt = poison.Evidence{}, store.Lease{}, time.Time{}
	}
}

// isDue reports whether a report must be written now, by the number of live instances.
func (p *publisher) isDue(report poison.Evidence, instances int) bool {
	interval := poison.WriteInterval(instances, p.size)
	if p.failed {
		interval = max(interval, publishRetryInterval)
	}
	return !report.IsEmpty() && !reflect.DeepEqual(report, p.report) && time.Since(p.at) >= interval
}

// publish writes a report under a lease that ends once its crashes no longer count. It returns store.ErrRestored if the store was
// restored between the grant of the lease and the write.
func (p *publisher) publish(ctx context.Context, config Config, report poison.Evidence) (err error) {
	defer errors.DeferredAnnotatef(&err, "write crash report")
	defer func() { p.failed = err != nil }()
	p.at = time.Now()
	value, err := report.Encode()
	if err != nil {
		return err
	}
	ctx, cancel := config.Clock.WithTimeout(ctx, publishTimeout)
	defer cancel()
	if time.Since(p.grantedAt) > leaseReuse {
		if p.lease, err = config.Grant(ctx, poison.ReportTTL+leaseReuse); err != nil {
			return err
		}
		p.grantedAt = p.at
	}
	key := catalog.CrashReportPrefix + config.Name
	era, err := config.Commit(ctx, store.Transaction{Writes: []store.Write{{Key: key, Value: value, Lease: p.lease.ID}}})
	if err == nil && p.lease.IsOutdated(era) {
		err = store.ErrRestored
	}
	if err != nil {
		p.grantedAt = time.Time{}
		return err
	}
	p.report, p.size = report, len(value)
	metrics.GetOrRegisterCounter("quarantine.reports", config.Metrics).Inc(1)
	metrics.GetOrRegisterCounter("quarantine.report-bytes", config.Metrics).Inc(int64(len(value)))
	return nil
}
