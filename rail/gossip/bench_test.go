package gossip

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// quietTime is the virtual time over which the steady cost is measured.
const quietTime = 20 * time.Second

// BenchmarkFleet measures what a node spends on heartbeats, and how long a failure takes to reach every view.
func BenchmarkFleet(b *testing.B) {
	for _, size := range []int{9, 100, 490} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for b.Loop() {
				measureFleet(b, size)
			}
		})
	}
}

func measureFleet(b *testing.B, size int) {
	b.Helper()
	b.StopTimer()
	before := heapBytes()
	f := newFleet(size, 6, 1)
	f.run(30 * time.Second)
	b.ReportMetric(float64(heapBytes()-before)/float64(size), "heap-B/node")
	f.messages, f.bytes = 0, 0
	f.measure = func(message Message) int {
		content, err := cbor.Marshal(message)
		if err != nil {
			b.Fatal(err)
		}
		return len(content)
	}
	f.run(quietTime)
	seconds := quietTime.Seconds() * float64(size)
	b.ReportMetric(float64(f.messages)/seconds, "messages/node/s")
	b.ReportMetric(float64(f.bytes)/seconds, "payload-B/node/s")
	f.measure = nil
	b.StartTimer()
	started := time.Now()
	f.run(quietTime)
	b.ReportMetric(float64(time.Since(started).Microseconds())/seconds, "cpu-us/node/s")
	b.StopTimer()
	b.ReportMetric(timeToRight(f, func() { f.hosts[0].up = false }).Seconds(), "kill-s")
	b.ReportMetric(timeToRight(f, func() { f.start(f.hosts[0]) }).Seconds(), "join-s")
	b.ReportMetric(timeToRight(f, func() { f.killZone("zone-0") }).Seconds(), "zone-s")
	b.StartTimer()
}

// timeToRight returns the virtual time until every view is right after the change.
func timeToRight(f *fleet, change func()) time.Duration {
	began := f.now
	change()
	for f.wrong() > 0 && f.now.Sub(began) < 5*time.Minute {
		f.run(time.Second)
	}
	return f.now.Sub(began)
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
