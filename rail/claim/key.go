package claim

import (
	"crypto/sha256"
	"encoding/binary"
)

// Key is the hash of an idempotency key with its workspace and route.
type Key [16]byte

// Digest is the hash of a request's method, path and body.
type Digest [16]byte

// NewKey returns the Key of an idempotency key, which is unique only within its workspace and route.
func NewKey(workspace, route, key string) Key {
	return hash([]byte(workspace), []byte(route), []byte(key))
}

// NewDigest returns the Digest of a request with the method, path and body.
func NewDigest(method, path string, body []byte) Digest {
	return hash([]byte(method), []byte(path), body)
}

// Shard returns the number of the key's shard, from zero to shards-1. Each shard has one record, which holds its claims.
func (k Key) Shard(shards int) int {
	return int(binary.BigEndian.Uint64(k[:8]) % uint64(shards))
}

// hash returns the first 16 bytes of the SHA-256 hash of the parts.
//
// Each part is preceded by its length, so that different lists of parts have different encodings.
func hash(parts ...[]byte) (digest [16]byte) {
	sum := sha256.New()
	var length [8]byte
	for _, part := range parts {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = sum.Write(length[:])
		_, _ = sum.Write(part)
	}
	copy(digest[:], sum.Sum(nil))
	return digest
}
