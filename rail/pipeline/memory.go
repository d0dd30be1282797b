package pipeline

import (
	"time"

	"github.com/comfreyrail/comfreyrail/rail/backend"
)

// Parameters of the estimate of the memory that requests use.
const (
	// minSampleFill and maxSampleFill bound the reserved fraction of an engine's KV memory at which its report changes
	// the estimate.
	minSampleFill, maxSampleFill = 0.3, 1.2
	// kvUseReports is the number of reports over which the moving average of the ratio is taken; each report has the
	// weight 1/kvUseReports.
	kvUseReports = 8
	// kvUseMargin multiplies the reported use, which may have grown since the report was made some hundred milliseconds
	// ago.
	kvUseMargin = 1.15
	// minKVUseRatio and maxKVUseRatio bound the ratio of used to reserved memory.
	minKVUseRatio, maxKVUseRatio = 0.7, 1.3
)

// updateKVUseRatio updates the ratio of used to reserved memory after an engine has reported its used memory. Memory is
// reserved for whole answers, but an answer needs it only as it grows, and many answers end before the expected length.
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
