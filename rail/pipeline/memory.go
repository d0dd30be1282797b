package pipeline

import (
	"time"

	"github.com/comfreyrail/comfreyrail/rail/backend"
)

// Parameters of the estimate of the memory that requests use.
const (
	// minSampleFill and maxSampleFill bound the reserved fraction of an engine's memory for which its report is taken into the
	// estimate.
	minSampleFill, maxSampleFill = 0.3, 1.2
	// kvUseReports is the number of reports over which the use is averaged.
	kvUseReports = 8
	// kvUseMargin multiplies the reported use, as reports are some hundred milliseconds old.
	kvUseMargin = 1.15
	// minKVUseRatio and maxKVUseRatio bound the fraction of the reserved memory that counts as used.
	minKVUseRatio, maxKVUseRatio = 0.7, 1.3
)

// updateKVUseRatio updates the fraction of the reserved memory that requests use from the memory that an engine reported as
// used. Memory is reserved for whole answers, but answers grow from nothing to the expected length, and many stay shorter.
func (c *Chooser) updateKVUseRatio(now time.Time, server backend.Server, used float64) {
	card, ok := c.spec.Card(server.Card)
	if !ok || used <= 0 {
		return
	}
	capacity := c.spec.KVCapacity(card, server.Layers.Len()) * float64(server.Layers.Len())
	reserved := c.totalUsage(now, server.ID, c.state(server.ID)).ReservedKV
	if reserved < minSampleFill*capacity || reserved > maxSampleFill*capacity {
		return
	}
	c.kvUseRatio += (used*kvUseMargin/reserved - c.kvUseRatio) / kvUseReports
	c.kvUseRatio = min(max(c.kvUseRatio, minKVUseRatio), maxKVUseRatio)
}
