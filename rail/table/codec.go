package table

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
)

// Sizes of the encoded form. The limits keep a chunk below the maximum size of a value in the platform's
// store.
const (
	// rowsPerChunk is the mean number of rows in a chunk.
	rowsPerChunk = 32
	// maxChunkBytes is the maximum size of a chunk with more than one row.
	maxChunkBytes = 64 << 10
	// MaxRowBytes is the maximum size of an encoded row in bytes.
	MaxRowBytes = 512 << 10
	// MaxContentBytes is the maximum size of an encoded head or chunk in bytes.
	MaxContentBytes = 1 << 20
	// MaxRows is the maximum number of rows of a table.
	MaxRows = 1 << 16
	// maxNesting is the maximum nesting depth of encoded content.
	maxNesting = 8
)

var (
	encoder = mustEncoder()
	decoder = mustDecoder()
)

func mustEncoder() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		MaxNestedLevels:   maxNesting,
		MaxArrayElements:  MaxRows,
		MaxMapPairs:       64,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// encode returns the deterministic CBOR encoding of the value, so that equal content has equal hashes.
func encode(value any) ([]byte, error) { return encoder.Marshal(value) }

// decode decodes CBOR content and returns an error if it exceeds the limits.
func decode(content []byte, value any) error {
	if len(content) > MaxContentBytes {
		return fmt.Errorf("content of %d bytes exceeds %d", len(content), MaxContentBytes)
	}
	return decoder.Unmarshal(content, value)
}

// EncodeHead encodes the head; it returns an error if the result exceeds MaxContentBytes.
func EncodeHead(head *Head) (content []byte, err error) {
	defer errors.DeferredAnnotatef(&err, "encode head of generation %d", head.Generation)
	content, err = encode(head)
	if err == nil && len(content) > MaxContentBytes {
		err = fmt.Errorf("%d bytes exceed %d", len(content), MaxContentBytes)
	}
	return content, err
}

// DecodeHead decodes a head and checks the limits of its history.
func DecodeHead(content []byte) (head *Head, err error) {
	defer errors.DeferredAnnotatef(&err, "decode head")
	head = new(Head)
	if err = decode(content, head); err != nil {
		return nil, err
	}
	if len(head.Recent) > entriesPerChunk || len(head.Sealed) > maxSealed {
		return nil, fmt.Errorf("%d recent entries and %d sealed chunks exceed the limits", len(head.Recent), len(head.Sealed))
	}
	return head, nil
}

// EncodeManifest encodes the manifest as a chunk, whose hash identifies the content of the generation.
func EncodeManifest(manifest *Manifest) (chunk Chunk, err error) {
	defer errors.DeferredAnnotatef(&err, "encode manifest of generation %d", manifest.Generation)
	content, err := encode(manifest)
	if err != nil {
		return Chunk{}, err
	}
	return newChunk(content), nil
}

// DecodeManifest decodes a manifest.
func DecodeManifest(content []byte) (manifest *Manifest, err error) {
	defer errors.DeferredAnnotatef(&err, "decode manifest")
	manifest = new(Manifest)
	return manifest, decode(content, manifest)
}

// DecodeHistory decodes a sealed chunk of the history.
func DecodeHistory(content []byte) (entries []HistoryEntry, err error) {
	defer errors.DeferredAnnotatef(&err, "decode entries")
	if err = decode(content, &entries); err != nil {
		return nil, err
	}
	if len(entries) > entriesPerChunk {
		return nil, fmt.Errorf("%d entries exceed %d", len(entries), entriesPerChunk)
	}
	return entries, nil
}

// encodedRows is the content of a chunk with its rows already encoded.
type encodedRows struct {
	Routes []cbor.RawMessage `cbor:"1,keyasint,omitempty"`
	Pools  []cbor.RawMessage `cbor:"2,keyasint,omitempty"`
}

// decodedRows is the content of a chunk with its rows decoded.
type decodedRows struct {
	Routes []Route `cbor:"1,keyasint,omitempty"`
	Pools  []Pool  `cbor:"2,keyasint,omitempty"`
}

// encodeRows splits sorted tables into chunks. The boundaries depend on the names of the rows, so that an edit changes few chunks.
func encodeRows(tables *Tables) (chunks []Chunk, err error) {
	defer errors.DeferredAnnotatef(&err, "encode generation %d", tables.Generation)
	routes, err := groupRows(tables.Routes, func(r Route) string { return r.Name })
	if err != nil {
		return nil, err
	}
	pools, err := groupRows(tables.Pools, func(p Pool) string { return p.Name })
	if err != nil {
		return nil, err
	}
	groups := make([]encodedRows, 0, len(routes)+len(pools))
	for _, rows := range routes {
		groups = append(groups, encodedRows{Routes: rows})
	}
	for _, rows := range pools {
		groups = append(groups, encodedRows{Pools: rows})
	}
	for _, group := range groups {
		content, encodeErr := encode(group)
		if encodeErr != nil {
			return nil, encodeErr
		}
		chunks = append(chunks, newChunk(content))
	}
	return chunks, nil
}

// groupRows encodes the rows and groups them by chunk. A chunk ends after a row whose name hashes
// to a multiple of rowsPerChunk, or before a row that would exceed maxChunkBytes.
func groupRows[T any](rows []T, name func(T) string) (groups [][]cbor.RawMessage, err error) {
	var group []cbor.RawMessage
	size := 0
	endGroup := func() {
		if len(group) > 0 {
			groups, group, size = append(groups, group), nil, 0
		}
	}
	for _, row := range rows {
		content, encodeErr := encode(row)
		if encodeErr != nil {
			return nil, encodeErr
		}
		if size+len(content) > maxChunkBytes {
			endGroup()
		}
		group, size = append(group, content), size+len(content)
		if xxhash.Sum64String(name(row))%rowsPerChunk == 0 {
			endGroup()
		}
	}
	endGroup()
	return groups, nil
}

// DecodeTables decodes the tables of a manifest; find returns the content of a chunk.
func DecodeTables(manifest *Manifest, find func(Hash) ([]byte, bool)) (tables *Tables, err error) {
	defer errors.DeferredAnnotatef(&err, "decode generation %d", manifest.Generation)
	tables = &Tables{Generation: manifest.Generation}
	for _, hash := range manifest.Chunks {
		content, ok := find(hash)
		if !ok || HashOf(content) != hash {
			return nil, fmt.Errorf("chunk %s is absent or differs from its hash", hash)
		}
		var rows decodedRows
		if err = decode(content, &rows); err != nil {
			return nil, errors.Annotatef(err, "chunk %s", hash)
		}
		tables.Routes = append(tables.Routes, rows.Routes...)
		tables.Pools = append(tables.Pools, rows.Pools...)
	}
	return tables, tables.checkOrder()
}

// checkOrder returns an error unless the routes and the pools are sorted by name without duplicates, as Find requires. It does
// not check the order of the servers of a pool, which Find requires too.
func (t *Tables) checkOrder() error {
	for i := 1; i < len(t.Routes); i++ {
		if t.Routes[i-1].Name >= t.Routes[i].Name {
			return fmt.Errorf("route %q does not follow %q", t.Routes[i].Name, t.Routes[i-1].Name)
		}
	}
	for i := 1; i < len(t.Pools); i++ {
		if t.Pools[i-1].Name >= t.Pools[i].Name {
			return fmt.Errorf("pool %q does not follow %q", t.Pools[i].Name, t.Pools[i-1].Name)
		}
	}
	return nil
}
