package table

import (
	"reflect"
	"testing"
	"time"
)

// keep returns the chunks by hash together with those that were known.
func keep(known map[Hash][]byte, chunks []Chunk) map[Hash][]byte {
	for _, chunk := range chunks {
		known[chunk.Hash] = chunk.Content
	}
	return known
}

func finder(known map[Hash][]byte) func(Hash) ([]byte, bool) {
	return func(hash Hash) ([]byte, bool) {
		content, ok := known[hash]
		return content, ok
	}
}

func TestFollowWritesLittle(t *testing.T) {
	const routes = 4700
	first, err := UpdateHead(new(Head), sample(routes), HistoryEntry{ID: "first"})
	if err != nil {
		t.Fatal(err)
	}
	known := keep(make(map[Hash][]byte), first.Chunks)
	tests := []struct {
		name      string
		operation Operation
		chunks    int
	}{
		{"insert", PutRoute(Route{Name: "r01000a", Prefix: "/new", Pool: "mill"}, 0), 2},
		{"replace", PutRoute(Route{Name: "r00500", Prefix: "/new", Pool: "mill"}, 1), 1},
		{"delete", Operation{Action: Delete, Row: Row{Type: RouteRow, Name: "r04000"}, Version: 1}, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			edit := Edit{ID: "e", Operations: []Operation{test.operation}}
			tables, err := Apply(sample(routes), edit)
			if err != nil {
				t.Fatal(err)
			}
			next, err := UpdateHead(&first.Head, tables, NewHistoryEntry(edit, tables.Generation, time.UnixMilli(1)))
			if err != nil {
				t.Fatal(err)
			}
			if got := len(next.Chunks); got > test.chunks {
				t.Errorf("new chunks: got %d of %d, want at most %d", got, len(next.Head.Chunks), test.chunks)
			}
			got, err := DecodeTables(&next.Head.Manifest, finder(keep(known, next.Chunks)))
			if err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(got, tables) {
				t.Error("decoded tables differ from the encoded ones")
			}
		})
	}
}

func TestRecordIsBounded(t *testing.T) {
	head, known := new(Head), make(map[Hash][]byte)
	const entries = entriesPerChunk*(maxSealed+2) + 5
	for i := range entries {
		next, err := Withdraw(head, HistoryEntry{ID: string(rune('a' + i))})
		if err != nil {
			t.Fatal(err)
		}
		head, known = &next.Head, keep(known, next.Chunks)
	}
	count := len(head.Recent)
	for _, hash := range head.Sealed {
		sealed, err := DecodeHistory(known[hash])
		if err != nil {
			t.Fatal(err)
		}
		count += len(sealed)
	}
	if got, want := count, entriesPerChunk*maxSealed+5; got != want {
		t.Errorf("entries: got %d, want %d", got, want)
	}
	if _, ok := head.FindRecent(string(rune('a' + entries - 1))); !ok {
		t.Error("newest entry: got none, want it in the head")
	}
}

// seeds returns an encoded head, chunk of rows and chunk of entries.
func seeds(f *testing.F) [][]byte {
	f.Helper()
	next, err := UpdateHead(new(Head), sample(40), HistoryEntry{ID: "e", Generation: 1, Author: "a", Summary: "put route x"})
	if err != nil {
		f.Fatal(err)
	}
	head, err := EncodeHead(&next.Head)
	if err != nil {
		f.Fatal(err)
	}
	entries, err := encode(next.Head.Recent)
	if err != nil {
		f.Fatal(err)
	}
	return [][]byte{head, next.Chunks[0].Content, entries, {}, {0xa1, 0x02, 0x9b, 0xff}, {0x9f, 0xff}}
}

func FuzzDecodeHead(f *testing.F) {
	for _, seed := range seeds(f) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		head, err := DecodeHead(content)
		if err != nil {
			return
		}
		again, err := EncodeHead(head)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := DecodeHead(again); err != nil || got.Generation != head.Generation || len(got.Chunks) != len(head.Chunks) {
			t.Errorf("decoded again: got %+v, %v, want %+v", got, err, head)
		}
	})
}

func FuzzDecodeManifest(f *testing.F) {
	for _, seed := range seeds(f) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		manifest, err := DecodeManifest(content)
		if err != nil {
			return
		}
		again, err := EncodeManifest(manifest)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := DecodeManifest(again.Content); err != nil || got.Generation != manifest.Generation {
			t.Errorf("decoded again: got %+v, %v, want %+v", got, err, manifest)
		}
	})
}

func FuzzDecodeTables(f *testing.F) {
	for _, seed := range seeds(f) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		head := &Manifest{Generation: 1, Chunks: []Hash{HashOf(content)}}
		tables, err := DecodeTables(head, func(Hash) ([]byte, bool) { return content, true })
		if err != nil {
			return
		}
		tables.Validate()
		chunks, err := encodeRows(tables)
		if err != nil {
			t.Fatal(err)
		}
		head.Chunks = nil
		for _, chunk := range chunks {
			head.Chunks = append(head.Chunks, chunk.Hash)
		}
		got, err := DecodeTables(head, finder(keep(make(map[Hash][]byte), chunks)))
		if err != nil || len(got.Routes) != len(tables.Routes) || len(got.Pools) != len(tables.Pools) {
			t.Errorf("decoded again: got %+v, %v, want %+v", got, err, tables)
		}
	})
}

func FuzzDecodeEntries(f *testing.F) {
	for _, seed := range seeds(f) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		entries, err := DecodeHistory(content)
		if err != nil {
			return
		}
		if _, err = encode(entries); err != nil {
			t.Fatal(err)
		}
	})
}
