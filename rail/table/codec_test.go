package table

import (
	"reflect"
	"testing"
	"time"
)

// addChunks adds the chunks to byHash and returns it.
func addChunks(byHash map[Hash][]byte, chunks []Chunk) map[Hash][]byte {
	for _, chunk := range chunks {
		byHash[chunk.Hash] = chunk.Content
	}
	return byHash
}

func chunkFinder(byHash map[Hash][]byte) func(Hash) ([]byte, bool) {
	return func(hash Hash) ([]byte, bool) {
		content, ok := byHash[hash]
		return content, ok
	}
}

// TestUpdateHeadNewChunks guards against an edit of one row that rewrites chunks without the row, and against tables that
// differ after decoding.
func TestUpdateHeadNewChunks(t *testing.T) {
	const routes = 4700
	first, err := UpdateHead(new(Head), testTables(routes), HistoryEntry{ID: "first"})
	if err != nil {
		t.Fatal(err)
	}
	stored := addChunks(make(map[Hash][]byte), first.Chunks)
	tests := []struct {
		name      string
		operation Operation
		maxChunks int
	}{
		{"insert", PutRoute(Route{Name: "r01000a", Prefix: "/new", Pool: "mill"}, 0), 2},
		{"replace", PutRoute(Route{Name: "r00500", Prefix: "/new", Pool: "mill"}, 1), 1},
		{"delete", Operation{Action: Delete, Row: RowKey{Type: RouteRow, Name: "r04000"}, Version: 1}, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			edit := Edit{ID: "e", Operations: []Operation{test.operation}}
			tables, err := Apply(testTables(routes), edit)
			if err != nil {
				t.Fatal(err)
			}
			next, err := UpdateHead(&first.Head, tables, NewHistoryEntry(edit, tables.Generation, time.UnixMilli(1)))
			if err != nil {
				t.Fatal(err)
			}
			if got := len(next.Chunks); got > test.maxChunks {
				t.Errorf("new chunks: got %d of %d, want at most %d", got, len(next.Head.Chunks), test.maxChunks)
			}
			got, err := DecodeTables(&next.Head.Manifest, chunkFinder(addChunks(stored, next.Chunks)))
			if err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(got, tables) {
				t.Error("decoded tables differ from the encoded ones")
			}
		})
	}
}

// TestHistoryIsBounded guards against a history that grows without limit or loses its newest entry.
func TestHistoryIsBounded(t *testing.T) {
	head, stored := new(Head), make(map[Hash][]byte)
	const entries = entriesPerChunk*(maxSealed+2) + 5
	for i := range entries {
		next, err := Withdraw(head, HistoryEntry{ID: string(rune('a' + i))})
		if err != nil {
			t.Fatal(err)
		}
		head, stored = &next.Head, addChunks(stored, next.Chunks)
	}
	count := len(head.Recent)
	for _, hash := range head.Sealed {
		sealed, err := DecodeHistory(stored[hash])
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

// fuzzSeeds returns an encoded head, a chunk of rows, a chunk of history entries and malformed inputs.
func fuzzSeeds(f *testing.F) [][]byte {
	f.Helper()
	next, err := UpdateHead(new(Head), testTables(40), HistoryEntry{ID: "e", Generation: 1, Author: "a", Summary: "put route x"})
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

// FuzzDecodeHead guards against a panic on malformed content, and against a decoded head that changes when it is
// encoded and decoded again.
func FuzzDecodeHead(f *testing.F) {
	for _, seed := range fuzzSeeds(f) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		head, err := DecodeHead(content)
		if err != nil {
			return
		}
		reencoded, err := EncodeHead(head)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := DecodeHead(reencoded); err != nil || got.Generation != head.Generation || len(got.Chunks) != len(head.Chunks) {
			t.Errorf("decoded again: got %+v, %v, want %+v", got, err, head)
		}
	})
}

// FuzzDecodeManifest guards against a panic on malformed content, and against a decoded manifest that changes when it
// is encoded and decoded again.
func FuzzDecodeManifest(f *testing.F) {
	for _, seed := range fuzzSeeds(f) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		manifest, err := DecodeManifest(content)
		if err != nil {
			return
		}
		reencoded, err := EncodeManifest(manifest)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := DecodeManifest(reencoded.Content); err != nil || got.Generation != manifest.Generation {
			t.Errorf("decoded again: got %+v, %v, want %+v", got, err, manifest)
		}
	})
}

// FuzzDecodeTables guards against a panic on malformed content, and against decoded tables that lose rows when they are
// encoded and decoded again.
func FuzzDecodeTables(f *testing.F) {
	for _, seed := range fuzzSeeds(f) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		manifest := &Manifest{Generation: 1, Chunks: []Hash{HashOf(content)}}
		tables, err := DecodeTables(manifest, func(Hash) ([]byte, bool) { return content, true })
		if err != nil {
			return
		}
		tables.Validate()
		chunks, err := encodeRows(tables)
		if err != nil {
			t.Fatal(err)
		}
		manifest.Chunks = nil
		for _, chunk := range chunks {
			manifest.Chunks = append(manifest.Chunks, chunk.Hash)
		}
		got, err := DecodeTables(manifest, chunkFinder(addChunks(make(map[Hash][]byte), chunks)))
		if err != nil || len(got.Routes) != len(tables.Routes) || len(got.Pools) != len(tables.Pools) {
			t.Errorf("decoded again: got %+v, %v, want %+v", got, err, tables)
		}
	})
}

// FuzzDecodeHistory guards against a panic on malformed content, and against decoded entries that cannot be encoded.
func FuzzDecodeHistory(f *testing.F) {
	for _, seed := range fuzzSeeds(f) {
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
