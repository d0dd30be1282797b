package claim

import (
	"crypto/sha256"
	"encoding/binary"
)

// Key is the hash of an idempotency key with its workspace and route.
type Key [16]byte

// Digest is the hash of a request.
type Digest [16]byte

// NewKey returns the Key of an idempotency key, which only the workspace and route give a meaning.
func NewKey(workspace, route, key string) Key {
	return hash([]byte(workspace), []byte(route), []byte(key))
}

// NewDigest returns the Digest of a request.
func NewDigest(method, path string, body []byte) Digest {
	return hash([]byte(method), []byte(path), body)
}

// Shard returns the shard of the key among a number of shards.
func (k Key) Shard(shards int) int {
	return int(binary.BigEndian.Uint64(k[:8]) % uint64(shards))
}

// hash hashes the parts, each after its length so that no two lists of parts look alike.
func hash(parts ...[]byte) (short [16]byte) {
	sum := sha256.New()
	var length [8]byte
	for _, part := range parts {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = sum.Write(length[:])
		_, _ = sum.Write(part)
	}
	copy(short[:], sum.Sum(nil))
	return short
}
