package engine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// ReceiptsHash is a hash of the receipts of one token without their Queue.
type ReceiptsHash uint64

// Add returns the hash after one more stage with the given receipt.
func (h ReceiptsHash) Add(receipt Receipt) ReceiptsHash {
	var block [40]byte
	binary.LittleEndian.PutUint64(block[0:], uint64(h))
	binary.LittleEndian.PutUint64(block[8:], xxhash.Sum64String(receipt.Server))
	binary.LittleEndian.PutUint64(block[16:], uint64(receipt.First))
	binary.LittleEndian.PutUint64(block[24:], uint64(receipt.Last))
	binary.LittleEndian.PutUint64(block[32:], xxhash.Sum64String(receipt.Version))
	return ReceiptsHash(xxhash.Sum64(block[:]))
}

// HashReceipts returns the hash of the receipts of one token.
func HashReceipts(receipts []Receipt) (hash ReceiptsHash) {
	for _, receipt := range receipts {
		hash = hash.Add(receipt)
	}
	return hash
}
