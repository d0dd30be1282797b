package table

import (
	"testing"
)

// BenchmarkTables measures the processor time of an edit and of an installation at 4,700 routes.
func BenchmarkTables(b *testing.B) {
	tables := sample(4700)
	first, err := UpdateHead(new(Head), tables, HistoryEntry{ID: "first"})
	if err != nil {
		b.Fatal(err)
	}
	known := keep(make(map[Hash][]byte), first.Chunks)
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
			decoded, err := DecodeTables(&first.Head.Manifest, finder(known))
			if err != nil {
				b.Fatal(err)
			}
			if problems := decoded.Validate(); len(problems) > 0 {
				b.Fatal(problems)
			}
		}
	})
}
