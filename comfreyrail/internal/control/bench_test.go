package control

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/rail/engine"
	"github.com/comfreyrail/comfreyrail/rail/invariant"
	"github.com/comfreyrail/comfreyrail/rail/table"
)

// BenchmarkServerReported measures the processing of one response to a probe, including the copy of the map of servers
// for the next snapshot.
func BenchmarkServerReported(b *testing.B) {
	for _, size := range []int{30, 1900} {
		b.Run(fmt.Sprintf("servers=%d", size), func(b *testing.B) {
			log := logrus.New()
			log.SetOutput(io.Discard)
			c := New(Config{Log: logrus.NewEntry(log), Checker: new(invariant.Checker), Observer: "self", ListLag: time.Second})
			next := *c.Snapshot()
			pool := table.Pool{Name: "model", Kind: table.ModelPool, Layers: 1}
			for n := range size {
				pool.Servers = append(pool.Servers, table.Server{Name: fmt.Sprint(n), Address: fmt.Sprintf("127.0.0.1:%d", n+1)})
			}
			next.Tables = &table.Tables{Generation: 1, Pools: []table.Pool{pool}}
			c.updateServers(&next)
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				n++
				name := fmt.Sprint(n % size)
				now := time.Now()
				ServerReported{Name: name, Status: engine.Status{Server: name}, SentAt: now, At: now}.apply(c, &next)
			}
		})
	}
}
