package claim

import (
	"encoding/binary"
	"fmt"
	"testing"
)

// BenchmarkRecord measures the time that an instance spends on one read and one write of a record of each size: to copy, encode
// and decode it.
func BenchmarkRecord(b *testing.B) {
	for _, entries := range []int{256, 2048, 8192} {
		record := Record{Current: make(map[Key]Entry), Previous: make(map[Key]Entry)}
		for i := range entries {
			var key Key
			binary.BigEndian.PutUint64(key[:], uint64(i)*0x9E3779B97F4A7C15)
			record.Current[key] = Entry{Digest: Digest(key), Owner: fmt.Sprintf("ABCDEFGHIJKLMNOPQRSTUVWXY%d", i%9), Sequence: uint64(i)}
		}
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			size := 0
			for b.Loop() {
				next := record.Clone()
				encoded, err := next.Encode()
				if err != nil {
					b.Fatal(err)
				}
				if _, err = Decode(encoded); err != nil {
					b.Fatal(err)
				}
				size = len(encoded)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
