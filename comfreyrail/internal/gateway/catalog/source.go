package catalog

import (
	"github.com/rcrowley/go-metrics"
)

// source is where a refresh got its changes from; it is written to the log and part of the names of counters.
type source string

const (
	// fromStore means a read or a watch of the store.
	fromStore source = "store"
	// fromReader means the instance that reads the store for this one.
	fromReader source = "reader"
	// fromPeer means a random other instance.
	fromPeer source = "peer"
)

// Prefix and suffix of the names of the counters of refreshes.
const (
	refreshCounterPrefix = "catalog.refresh."
	noSource             = "none"
)

// countRefresh counts a refresh by the source that confirmed the content.
func (c *Catalog) countRefresh(err error) {
	if mustReadAll(err) {
		return
	}
	name := string(c.source)
	if err != nil {
		name = noSource
	}
	metrics.GetOrRegisterCounter(refreshCounterPrefix+name, c.config.Metrics).Inc(1)
}
