package gossip

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// steadyTime is the virtual time over which the cost without faults is measured.
const steadyTime = 20 * time.Second

// BenchmarkFleet measures the cost of heartbeats for each node, and the time until a change is in every view.
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
	f.advance(30 * time.Second)
	b.ReportMetric(float64(heapBytes()-before)/float64(size), "heap-B/node")
	f.messages, f.bytes = 0, 0
	f.messageSize = func(message Message) int {
		content, err := cbor.Marshal(message)
		if err != nil {
			b.Fatal(err)
		}
		return len(content)
	}
	f.advance(steadyTime)
	seconds := steadyTime.Seconds() * float64(size)
	b.ReportMetric(float64(f.messages)/seconds, "messages/node/s")
	b.ReportMetric(float64(f.bytes)/seconds, "payload-B/node/s")
	f.messageSize = nil
	b.StartTimer()
	startedAt := time.Now()
	f.advance(steadyTime)
	b.ReportMetric(float64(time.Since(startedAt).Microseconds())/seconds, "cpu-us/node/s")
	b.StopTimer()
	b.ReportMetric(timeToConverge(f, func() { f.hosts[0].up = false }).Seconds(), "kill-s")
	b.ReportMetric(timeToConverge(f, func() { f.restart(f.hosts[0]) }).Seconds(), "join-s")
	b.ReportMetric(timeToConverge(f, func() { f.killZone("zone-0") }).Seconds(), "zone-s")
	b.StartTimer()
}

// timeToConverge returns the virtual time until every view is correct after the change, five minutes at most.
func timeToConverge(f *fleet, change func()) time.Duration {
	startedAt := f.now
	change()
	for f.wrongMembers() > 0 && f.now.Sub(startedAt) < 5*time.Minute {
		f.advance(time.Second)
	}
	return f.now.Sub(startedAt)
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
