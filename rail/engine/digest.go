package engine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Digest is a running hash of the tokens of a stream's answer.
type Digest uint64

// NewDigest returns the digest of an empty answer. It depends on the stream, so that equal answers of two streams have
// different digests.
func NewDigest(stream string) Digest { return Digest(xxhash.Sum64String(stream)) }

// Add returns the digest after one more token.
func (d Digest) Add(token string) Digest {
	var block [16]byte
	binary.LittleEndian.PutUint64(block[:8], uint64(d))
	binary.LittleEndian.PutUint64(block[8:], xxhash.Sum64String(token))
	return Digest(xxhash.Sum64(block[:]))
}

// AddAll returns the digest after all the given tokens.
func (d Digest) AddAll(tokens []string) Digest {
	for _, token := range tokens {
		d = d.Add(token)
	}
	return d
}

// Sizes for the cache of prompt prefixes.
const (
	// TokenBytes is the number of bytes of a prompt that count as one token.
	TokenBytes = 4
	// PrefixTokens is the number of tokens in a cached prompt prefix.
	PrefixTokens = 64
)

// PromptTokens returns the number of tokens in the prompt, at TokenBytes each, rounded up.
func PromptTokens(prompt string) int { return (len(prompt) + TokenBytes - 1) / TokenBytes }

// PrefixHash returns the hash of the first PrefixTokens tokens of the prompt, or zero if it has fewer.
func PrefixHash(prompt string) uint64 {
	if len(prompt) < PrefixTokens*TokenBytes {
		return 0
	}
	return xxhash.Sum64String(prompt[:PrefixTokens*TokenBytes])
}
