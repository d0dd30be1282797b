package engine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Trace is a hash of the receipts of one token without their Queue.
type Trace uint64

// Add returns the trace after one more stage with the given receipt.
func (t Trace) Add(receipt Receipt) Trace {
	var block [40]byte
	binary.LittleEndian.PutUint64(block[0:], uint64(t))
	binary.LittleEndian.PutUint64(block[8:], xxhash.Sum64String(receipt.Server))
	binary.LittleEndian.PutUint64(block[16:], uint64(receipt.First))
	binary.LittleEndian.PutUint64(block[24:], uint64(receipt.Last))
	binary.LittleEndian.PutUint64(block[32:], xxhash.Sum64String(receipt.Version))
	return Trace(xxhash.Sum64(block[:]))
}

// TraceOf returns the trace of a token with the given receipts.
func TraceOf(receipts []Receipt) (trace Trace) {
	for _, receipt := range receipts {
		trace = trace.Add(receipt)
	}
	return trace
}
