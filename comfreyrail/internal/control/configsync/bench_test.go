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

// Sizes of the tables that are measured.
const (
	serversPerPool = 211
	measuredPools  = 9
)

// traffic counts the bytes of bodies, as JSON with content in base64, to and from the service.
type traffic struct {
	next          http.Handler
	written, read atomic.Int64
}

func (c *traffic) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.written.Add(max(0, r.ContentLength))
	c.next.ServeHTTP(&countingWriter{ResponseWriter: w, count: &c.read}, r)
}

type countingWriter struct {
	http.ResponseWriter
	count *atomic.Int64
}

func (w *countingWriter) Write(content []byte) (int, error) {
	w.count.Add(int64(len(content)))
	return w.ResponseWriter.Write(content)
}

// sized returns tables with a route for each workspace.
func sized(workspaces int) *table.Tables {
	tables := new(table.Tables)
	pools := min(measuredPools, workspaces)
	for p := range pools {
		pool := table.Pool{Name: fmt.Sprintf("model-%d", p), Kind: table.ModelPool, Layers: 32}
		for s := range min(serversPerPool, workspaces) {
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

// BenchmarkEdit measures what one edit costs: bytes and calls at the service, bytes from peers, time to be in force everywhere.
func BenchmarkEdit(b *testing.B) {
	for _, workspaces := range []int{10, 4700} {
		b.Run(fmt.Sprintf("workspaces=%d", workspaces), func(b *testing.B) { benchmarkEdit(b, workspaces) })
	}
}

func benchmarkEdit(b *testing.B, workspaces int) {
	f := newFleet(b, 3)
	wanted := sized(workspaces)
	whole, err := cbor.Marshal(wanted)
	if err != nil {
		b.Fatal(err)
	}
	first := f.nodes[0].Edit(context.Background(), table.Edit{ID: "first", Operations: table.Diff(new(table.Tables), wanted)})
	if first.State != edit.Accepted {
		b.Fatalf("first edit is %s: %s %v", first.State, first.Message, first.Problems)
	}
	f.await(first.Generation)
	writes, reads := f.platform.Calls()
	written, read, peers := f.traffic.written.Load(), f.traffic.read.Load(), f.fromPeers.Load()
	var times []time.Duration
	b.ResetTimer()
	for i := range b.N {
		tables := f.nodes[0].control.Snapshot().Tables
		route := tables.Routes[i*37%len(tables.Routes)]
		route.Priority = (route.Priority + 1) % table.MaxPriority
		start := time.Now()
		result := f.nodes[0].Edit(context.Background(), table.Edit{
			ID: fmt.Sprint("e", i), Author: "operator", Operations: []table.Operation{table.PutRoute(route, route.Version)},
		})
		if result.State != edit.Accepted {
			b.Fatalf("edit is %s: %s", result.State, result.Message)
		}
		f.await(result.Generation)
		times = append(times, time.Since(start))
	}
	b.StopTimer()
	n := float64(b.N)
	writesAfter, readsAfter := f.platform.Calls()
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	b.ReportMetric(float64(writesAfter-writes)/n, "writes/edit")
	b.ReportMetric(float64(readsAfter-reads)/n, "reads/edit")
	b.ReportMetric(float64(f.traffic.written.Load()-written)/n, "writtenB/edit")
	b.ReportMetric(float64(f.traffic.read.Load()-read)/n, "readB/edit")
	b.ReportMetric(float64(f.fromPeers.Load()-peers)/n/2, "peerB/instance")
	b.ReportMetric(float64(len(whole)), "wholeB")
	b.ReportMetric(float64(times[len(times)/2].Microseconds())/1000, "ms-p50")
	b.ReportMetric(float64(times[len(times)*99/100].Microseconds())/1000, "ms-p99")
}
