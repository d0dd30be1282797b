package table

import (
	"testing"
)

// BenchmarkTables measures applying and encoding an edit, and decoding and validating the tables, with 4,700 routes.
func BenchmarkTables(b *testing.B) {
	tables := testTables(4700)
	first, err := UpdateHead(new(Head), tables, HistoryEntry{ID: "first"})
	if err != nil {
		b.Fatal(err)
	}
	stored := addChunks(make(map[Hash][]byte), first.Chunks)
	edit := Edit{ID: "e", Operations: []Operation{PutRoute(Route{Name: "r01000a", Prefix: "/new", Pool: "mill"}, 0)}}
	b.Run("edit", func(b *testing.B) {
		for b.Loop() {
			next, err := Apply(tables, edit)
			if err != nil {
				b.Fatal(err)
			}
			if _, err = UpdateHead(&first.Head, next, HistoryEntry{ID: "e"}); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("install", func(b *testing.B) {
		for b.Loop() {
			decoded, err := DecodeTables(&first.Head.Manifest, chunkFinder(stored))
			if err != nil {
				b.Fatal(err)
			}
			if problems := decoded.Validate(); len(problems) > 0 {
				b.Fatal(problems)
			}
		}
	})
}
