package control

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/rail/engine"
	"github.com/comfreyrail/comfreyrail/rail/install"
	"github.com/comfreyrail/comfreyrail/rail/invariant"
	"github.com/comfreyrail/comfreyrail/rail/member"
	"github.com/comfreyrail/comfreyrail/rail/table"
)

// size is the number of workspaces, backend servers, pools and instances of a deployment.
type size struct {
	workspaces, servers, pools, instances int
}

// sizes are a small deployment, one of medium size and the target size.
var sizes = []size{{10, 33, 2, 9}, {1000, 400, 5, 100}, {4700, 1900, 9, 490}}

// String returns the numbers of workspaces, servers and instances as the name of a benchmark.
func (s size) String() string {
	return fmt.Sprintf("workspaces=%d,servers=%d,instances=%d", s.workspaces, s.servers, s.instances)
}

// tables returns tables with a route for each workspace and the servers distributed evenly over the pools.
func (s size) tables(generation uint64) *table.Tables {
	tables := &table.Tables{Generation: generation}
	for i := range s.pools {
		pool := table.Pool{Name: fmt.Sprintf("pool%02d", i), Kind: table.ModelPool, Layers: 48, Version: 1}
		for server := i; server < s.servers; server += s.pools {
			pool.Servers = append(pool.Servers, table.Server{
				Name: fmt.Sprintf("server%04d", server), Address: fmt.Sprintf("10.0.%d.%d:7000", server/250, server%250), Zone: "zone-a", Version: 1,
			})
		}
		tables.Pools = append(tables.Pools, pool)
	}
	for i := range s.workspaces {
		tables.Routes = append(tables.Routes, table.Route{
			Name: fmt.Sprintf("route%04d", i), Model: fmt.Sprintf("model%d", i%s.pools),
			Workspaces: []string{fmt.Sprintf("workspace%04d", i)}, Pool: fmt.Sprintf("pool%02d", i%s.pools), Priority: i % 10, Version: generation,
		})
	}
	return tables
}

// BenchmarkState measures the heap size of the control state and the time to process an edit and a
// response to a probe.
func BenchmarkState(b *testing.B) {
	for _, s := range sizes {
		b.Run(s.String(), func(b *testing.B) { measureState(b, s) })
	}
}

func measureState(b *testing.B, s size) {
	b.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	before := heapBytes()
	c := New(Config{Log: logrus.NewEntry(logger), Checker: new(invariant.Checker)})
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	go func() { _ = c.Serve(ctx) }()
	head := new(table.Head)
	head = installTables(b, c, head, s.tables(1))
	register(b, c, s)
	b.ReportMetric(float64(heapBytes()-before), "heap-B")

	started := time.Now()
	const edits = 20
	for i := range edits {
		tables := s.tables(1)
		tables.Generation = uint64(i) + 2
		tables.Routes[0].Priority = i % 10
		head = installTables(b, c, head, tables)
	}
	b.ReportMetric(float64(time.Since(started).Microseconds())/edits, "us/edit+install")

	const reports = 2000
	started = time.Now()
	for i := range reports {
		c.Send(ctx, ServerReported{Name: fmt.Sprintf("server%04d", i%s.servers), Status: engine.Status{Slots: 8}, SentAt: time.Now(), At: time.Now()})
	}
	waitApplied(ctx, c)
	b.ReportMetric(float64(time.Since(started).Nanoseconds())/reports, "ns/report")
	runtime.KeepAlive(c)
}

// installTables encodes the tables as the successor of the previous head, installs them and returns the new head.
func installTables(b testing.TB, c *Control, previous *table.Head, tables *table.Tables) *table.Head {
	b.Helper()
	next, err := table.UpdateHead(previous, tables, table.HistoryEntry{ID: fmt.Sprint(tables.Generation), Generation: tables.Generation})
	if err != nil {
		b.Fatal(err)
	}
	actions := make(chan []install.Action, 1)
	c.Send(b.Context(), InstallerEvent{At: time.Now(), Event: install.HeadRead{Manifest: next.Head.Manifest}, Actions: actions})
	for _, action := range <-actions {
		fetch, ok := action.(install.Fetch)
		if !ok {
			continue
		}
		var contents [][]byte
		for _, chunk := range next.Chunks {
			contents = append(contents, chunk.Content)
		}
		c.Send(b.Context(), InstallerEvent{At: time.Now(), Event: install.Fetched{Generation: fetch.Generation, From: fetch.From, Contents: contents}, Actions: actions})
		<-actions
	}
	if got, want := c.Snapshot().Tables.Generation, tables.Generation; got != want {
		b.Fatalf("generation in force = %d, want %d", got, want)
	}
	return &next.Head
}

// register registers the instance and adds the other instances as members.
func register(b *testing.B, c *Control, s size) {
	b.Helper()
	record := func(i int) member.Member {
		return member.Member{
			Name: fmt.Sprintf("rail-%d", i), Zone: fmt.Sprintf("zone-%d", i%6), Epoch: uint64(i) + 1, Incarnation: "01234567890123456789012345",
			Address: "10.0.0.1:8050", Fingerprint: "0123456789012345678901234567890123456789012",
		}
	}
	members := make([]member.Member, 0, s.instances)
	for i := 1; i < s.instances; i++ {
		members = append(members, record(i))
	}
	c.Send(b.Context(), Registered{Self: record(0)})
	c.Send(b.Context(), MembersListed{At: time.Now(), Members: members})
	waitApplied(b.Context(), c)
}

// waitApplied waits until the control goroutine has applied every event that was sent before the call.
func waitApplied(ctx context.Context, c *Control) {
	actions := make(chan []install.Action, 1)
	c.Send(ctx, InstallerEvent{At: time.Now(), Event: install.Tick{}, Actions: actions})
	<-actions
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
