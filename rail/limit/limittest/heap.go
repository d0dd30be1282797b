package limittest

import (
	"runtime"
	"runtime/debug"
	"time"
)

// Parameters of the measurement.
const (
	// gcPercent makes the collector run often, so that the growth is that of memory in use.
	gcPercent = 10
	// sampleInterval is the time between two readings of the size of the heap.
	sampleInterval = 2 * time.Millisecond
)

// HeapGrowth returns the largest growth of the heap in bytes while run runs.
func HeapGrowth(run func()) uint64 {
	defer debug.SetGCPercent(debug.SetGCPercent(gcPercent))
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	before, peak := stats.HeapAlloc, stats.HeapAlloc
	done, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-done:
				return
			case <-time.After(sampleInterval):
				runtime.ReadMemStats(&stats)
				peak = max(peak, stats.HeapAlloc)
			}
		}
	}()
	run()
	close(done)
	<-stopped
	return peak - before
}
