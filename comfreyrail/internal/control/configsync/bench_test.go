package configsync

import (
	"context"
	"fmt"
	"net/http"
	"sort"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/comfreyrail/comfreyrail/rail/edit"
	"github.com/comfreyrail/comfreyrail/rail/table"
)

// Sizes of the measured tables.
const (
	maxPoolServers = 211
	maxPools       = 9
)

// countingHandler counts the bytes of the bodies to and from the store, which are JSON with content in base64.
type countingHandler struct {
	next          http.Handler
	written, read atomic.Int64
}

func (h *countingHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.written.Add(max(0, r.ContentLength))
	h.next.ServeHTTP(&countingWriter{ResponseWriter: w, count: &h.read}, r)
}

type countingWriter struct {
	http.ResponseWriter
	count *atomic.Int64
}

func (w *countingWriter) Write(content []byte) (int, error) {
	w.count.Add(int64(len(content)))
	return w.ResponseWriter.Write(content)
}

// makeTables returns tables with a route for each workspace and up to maxPools pools.
func makeTables(workspaces int) *table.Tables {
	tables := new(table.Tables)
	pools := min(maxPools, workspaces)
	for p := range pools {
		pool := table.Pool{Name: fmt.Sprintf("model-%d", p), Kind: table.ModelPool, Layers: 32}
		for s := range min(maxPoolServers, workspaces) {
			name := fmt.Sprintf("engine-%d-%03d", p, s)
			pool.Servers = append(pool.Servers, table.Server{Name: name, Address: fmt.Sprintf("10.%d.0.%d:9000", p, s), Zone: "zone-a"})
		}
		tables.Pools = append(tables.Pools, pool)
	}
	for i := range workspaces {
		name := fmt.Sprintf("workspace-%04d", i)
		tables.Routes = append(tables.Routes, table.Route{
			Name: name, Model: fmt.Sprintf("model-%d", i%pools), Workspaces: []string{name}, Pool: fmt.Sprintf("model-%d", i%pools),
		})
	}
	return tables
}

// BenchmarkEdit measures the calls to the store and the bytes sent to and from it, the bytes fetched from peers, and
// the time until all instances have the edit in force.
func BenchmarkEdit(b *testing.B) {
	for _, workspaces := range []int{10, 4700} {
		b.Run(fmt.Sprintf("workspaces=%d", workspaces), func(b *testing.B) { benchmarkEdit(b, workspaces) })
	}
}

func benchmarkEdit(b *testing.B, workspaces int) {
	f := newFleet(b, 3)
	initial := makeTables(workspaces)
	encoded, err := cbor.Marshal(initial)
	if err != nil {
		b.Fatal(err)
	}
	first := f.syncs[0].Edit(context.Background(), table.Edit{ID: "first", Operations: table.Diff(new(table.Tables), initial)})
	if first.State != edit.Accepted {
		b.Fatalf("first edit is %s: %s %v", first.State, first.Message, first.Problems)
	}
	f.waitInForce(first.Generation)
	writes, reads := f.platform.Calls()
	written, read, peerBytes := f.traffic.written.Load(), f.traffic.read.Load(), f.fromPeers.Load()
	var times []time.Duration
	b.ResetTimer()
	for i := range b.N {
		tables := f.syncs[0].control.Snapshot().Tables
		route := tables.Routes[i*37%len(tables.Routes)]
		route.Priority = (route.Priority + 1) % table.MaxPriority
		start := time.Now()
		result := f.syncs[0].Edit(context.Background(), table.Edit{
			ID: fmt.Sprint("e", i), Author: "operator", Operations: []table.Operation{table.PutRoute(route, route.Version)},
		})
		if result.State != edit.Accepted {
			b.Fatalf("edit is %s: %s", result.State, result.Message)
		}
		f.waitInForce(result.Generation)
		times = append(times, time.Since(start))
	}
	b.StopTimer()
	edits := float64(b.N)
	writesAfter, readsAfter := f.platform.Calls()
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	b.ReportMetric(float64(writesAfter-writes)/edits, "writes/edit")
	b.ReportMetric(float64(readsAfter-reads)/edits, "reads/edit")
	b.ReportMetric(float64(f.traffic.written.Load()-written)/edits, "writtenB/edit")
	b.ReportMetric(float64(f.traffic.read.Load()-read)/edits, "readB/edit")
	b.ReportMetric(float64(f.fromPeers.Load()-peerBytes)/edits/2, "peerB/instance")
	b.ReportMetric(float64(len(encoded)), "wholeB")
	b.ReportMetric(float64(times[len(times)/2].Microseconds())/1000, "ms-p50")
	b.ReportMetric(float64(times[len(times)*99/100].Microseconds())/1000, "ms-p99")
}
